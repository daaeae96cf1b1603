package engine

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
)

// NewProber returns a Client that opens a new connection for every call. A probe over a
// pooled connection could fail because that connection is dead, not the engine.
func NewProber(timeout time.Duration) *Client {
	c := NewClient(timeout)
	c.http.Transport.(*httpbounds.Transport).DisableKeepAlives = true
	return c
}

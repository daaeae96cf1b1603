// Package vmlist reads the platform's VM list and keeps the latest one in memory.
//
// The list may be outdated and is therefore not authoritative: consumers get its
// AsOf and age and decide how far to rely on it.
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
)

// Path is the URL path of the list, relative to the platform's base URL.
const Path = "/vms"

// DefaultTimeout limits one read of the list.
const DefaultTimeout = 2 * time.Second

// maxListBytes limits the size of the list: 145,000 VMs (4,500 replicas of 32 VMs)
// take about 150 bytes each.
const maxListBytes = 64 << 20

// Client reads the VM list from the platform.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client for the platform at base, such as
// "http://10.0.0.5:2379"; a zero timeout means DefaultTimeout.
func NewClient(base string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	// Each read opens a new connection: reads are seconds apart, and a connection
	// that died in between would cost a full timeout.
	transport := httpbounds.New(&http.Transport{DisableKeepAlives: true})
	return &Client{
		url:  strings.TrimRight(base, "/") + Path,
		http: &http.Client{Timeout: timeout, Transport: transport},
	}
}

// Fetch reads the list once.
func (c *Client) Fetch(ctx context.Context) (cluster.VMList, error) {
	var list cluster.VMList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return list, newFetchError(err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return list, newFetchError(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return list, newFetchError(errors.Errorf("status %d", res.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&list); err != nil {
		return cluster.VMList{}, newFetchError(err)
	}
	return list, nil
}

func newFetchError(err error) error {
	return fennelerr.Wrap(err, fennelerr.StoreUnavailable, "cannot read the VM list").WithOp("vmlist.fetch")
}

// Package vmlist reads the platform's VM list and keeps the newest one in memory.
//
// The list lags, so it is evidence and no proof: consumers get its AsOf and its
// age and decide for themselves what to make of an old one.
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
)

// Path of the list below the platform's base URL.
const Path = "/vms"

// DefaultTimeout bounds one read of the list.
const DefaultTimeout = 2 * time.Second

// maxList bounds the list's size: 145,000 VMs (4,500 replicas of 32) take about
// 150 bytes each.
const maxList = 64 << 20

// Client reads the VM list.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client for the platform at base, such as
// "http://10.0.0.5:2379"; timeout zero is DefaultTimeout.
func NewClient(base string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	// A connection per read: reads are seconds apart, and a connection that went
	// silent in between would cost a whole timeout.
	transport := &http.Transport{DisableKeepAlives: true}
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
		return list, fetchFailed(err)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return list, fetchFailed(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return list, fetchFailed(errors.Errorf("status %d", res.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxList)).Decode(&list); err != nil {
		return cluster.VMList{}, fetchFailed(err)
	}
	return list, nil
}

func fetchFailed(err error) error {
	return fennelerr.Wrap(err, fennelerr.StoreUnavailable, "the VM list can't be read").WithOp("vmlist.fetch")
}

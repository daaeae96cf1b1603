package capacity_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

const (
	servingCallers  = 64
	servingRequests = 640
	heldStreams     = 1000
	bearer          = "Bearer test" // the token of nodeRules
)

// servingShape is one node before two replicas of two VMs.
func servingShape(tokens time.Duration) shape {
	return shape{zones: 1, nodes: 1, replicas: 2, vms: 2, tokens: tokens}
}

// BenchmarkServing sends streamed requests through one real node and reports the
// node's own processor time: for each request without its tokens, for each token,
// and its memory for each open stream.
func BenchmarkServing(b *testing.B) {
	bins := build(b)
	for b.Loop() {
		f := newFleet(b, bins, servingShape(5*time.Millisecond))
		f.settle()
		f.ready(servingCallers)
		short := f.processor(func() { f.serve(servingRequests, 16) })
		long := f.processor(func() { f.serve(servingRequests, 240) })
		perToken := (long - short) / (240 - 16) / servingRequests
		b.ReportMetric(perToken*1e6, "cpu-µs/token")
		b.ReportMetric((short/servingRequests-16*perToken)*1e6, "cpu-µs/request")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkHeldStreams is by how much a real node's resident memory grows with each
// open stream of a token in 75 ms.
func BenchmarkHeldStreams(b *testing.B) {
	bins := build(b)
	for b.Loop() {
		f := newFleet(b, bins, servingShape(75*time.Millisecond))
		f.settle()
		before := f.metrics(f.controls[0])[residentMemory]
		f.ready(heldStreams)
		f.holdStreams(func() {
			b.ReportMetric((f.metrics(f.controls[0])[residentMemory]-before)/heldStreams, "rss-bytes/stream")
		})
		b.ReportMetric(0, "ns/op")
	}
}

// ready waits until the node serves so many streams at once: right after the
// replicas are whole it doesn't know yet how many they batch, and refuses with 429.
func (f *fleet) ready(streams int) {
	f.b.Helper()
	const tokens = 40 // long enough that a short queue doesn't serve all in turn
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	require.Eventually(f.b, func() bool {
		var refused atomic.Int64
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				if whole, err := f.stream(f.b.Context(), client, tokens, nil); err != nil || !whole {
					refused.Add(1)
				}
			})
		}
		wg.Wait()
		return refused.Load() == 0
	}, waitTimeout, time.Second)
}

// processor is the node's processor time for work, in seconds.
func (f *fleet) processor(work func()) float64 {
	const name = "process_cpu_seconds_total"
	before := f.metrics(f.controls[0])[name]
	work()
	return f.metrics(f.controls[0])[name] - before
}

func (f *fleet) serve(requests, tokens int) {
	f.b.Helper()
	left := make(chan struct{}, requests)
	for range requests {
		left <- struct{}{}
	}
	close(left)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: servingCallers}}
	defer client.CloseIdleConnections()
	var failed atomic.Int64
	var wg sync.WaitGroup
	for range servingCallers {
		wg.Go(func() {
			for range left {
				if whole, err := f.stream(f.b.Context(), client, tokens, nil); err != nil || !whole {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	require.Zero(f.b, failed.Load(), "streams refused or cut")
}

// stream reads one answer and reports whether it ended whole; first, if not nil,
// is called after the first event.
func (f *fleet) stream(ctx context.Context, client *http.Client, tokens int, first func()) (bool, error) {
	body := fmt.Sprintf(`{"model":"assistente-fit","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"cold toes in a narrow shell"}]}`, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers[0]+engine.ChatPath, strings.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", bearer)
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", resp.StatusCode)
	}
	whole := false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if first != nil && strings.HasPrefix(lines.Text(), "data: ") {
			first()
			first = nil
		}
		whole = whole || lines.Text() == "data: "+engine.DoneMarker
	}
	return whole, lines.Err()
}

const residentMemory = "process_resident_memory_bytes"

// holdStreams runs meanwhile with heldStreams open streams.
func (f *fleet) holdStreams(meanwhile func()) {
	f.b.Helper()
	ctx, cancel := context.WithTimeout(f.b.Context(), waitTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var open, ended sync.WaitGroup
	var failed atomic.Int64
	open.Add(heldStreams)
	for range heldStreams {
		ended.Go(func() {
			if _, err := f.stream(ctx, client, 100_000, open.Done); err != nil && ctx.Err() == nil {
				failed.Add(1)
			}
		})
	}
	opened := make(chan struct{})
	go func() { open.Wait(); close(opened) }()
	select {
	case <-opened:
	case <-time.After(waitTimeout):
		require.FailNow(f.b, "streams did not open", "%d ended at once", failed.Load())
	}
	meanwhile()
	cancel()
	ended.Wait()
}

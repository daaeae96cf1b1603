package capacity_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
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
		f.serve(servingCallers, 8) // warm: connections and the estimates of slot times
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
		b.ReportMetric(f.memoryOfStreams()/heldStreams, "rss-bytes/stream")
		b.ReportMetric(0, "ns/op")
	}
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
	var wg sync.WaitGroup
	for range servingCallers {
		wg.Go(func() {
			for range left {
				if whole, err := f.stream(f.b.Context(), client, tokens, nil); err != nil || !whole {
					f.b.Errorf("stream whole: %t, err: %v", whole, err)
				}
			}
		})
	}
	wg.Wait()
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

// memoryOfStreams is by how much the node's resident memory grows with
// heldStreams open streams, in bytes.
func (f *fleet) memoryOfStreams() float64 {
	f.b.Helper()
	const name = "process_resident_memory_bytes"
	before := f.metrics(f.controls[0])[name]
	ctx, cancel := context.WithTimeout(f.b.Context(), patience)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var open, ended sync.WaitGroup
	open.Add(heldStreams)
	for range heldStreams {
		ended.Go(func() {
			if _, err := f.stream(ctx, client, 100_000, open.Done); err != nil && ctx.Err() == nil {
				f.b.Errorf("a stream ended: %v", err)
			}
		})
	}
	opened := make(chan struct{})
	go func() { open.Wait(); close(opened) }()
	select {
	case <-opened:
	case <-time.After(patience):
		require.FailNow(f.b, "streams did not open")
	}
	after := f.metrics(f.controls[0])[name]
	cancel()
	ended.Wait()
	return after - before
}

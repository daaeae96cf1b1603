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
	bearerToken     = "Bearer test" // the token in nodeRules
)

// servingShape returns the shape of one node in front of two replicas of two VMs.
func servingShape(tokenInterval time.Duration) shape {
	return shape{zones: 1, nodes: 1, replicas: 2, vms: 2, tokenInterval: tokenInterval}
}

// BenchmarkServing sends streamed requests through one real node and reports the processor
// time of the node process per request, without its tokens, and per token.
func BenchmarkServing(b *testing.B) {
	binDir := build(b)
	for b.Loop() {
		f := newFleet(b, binDir, servingShape(5*time.Millisecond))
		f.awaitHealthy()
		f.awaitCapacity(servingCallers)
		short := f.cpuSeconds(func() { f.serve(servingRequests, 16) })
		long := f.cpuSeconds(func() { f.serve(servingRequests, 240) })
		perToken := (long - short) / (240 - 16) / servingRequests
		b.ReportMetric(perToken*1e6, "cpu-µs/token")
		b.ReportMetric((short/servingRequests-16*perToken)*1e6, "cpu-µs/request")
		b.ReportMetric(0, "ns/op")
	}
}

// BenchmarkHeldStreams measures the growth of a real node's resident memory per open stream
// with one token every 75 ms.
func BenchmarkHeldStreams(b *testing.B) {
	binDir := build(b)
	for b.Loop() {
		f := newFleet(b, binDir, servingShape(75*time.Millisecond))
		f.awaitHealthy()
		before := f.metrics(f.controls[0])[residentMemory]
		f.awaitCapacity(heldStreams)
		f.holdStreams(func() {
			b.ReportMetric((f.metrics(f.controls[0])[residentMemory]-before)/heldStreams, "rss-bytes/stream")
		})
		b.ReportMetric(0, "ns/op")
	}
}

// awaitCapacity waits until the node serves the given number of concurrent streams. Right
// after the replicas become healthy, the node does not know their batch size yet and
// refuses requests with 429.
func (f *fleet) awaitCapacity(streams int) {
	f.b.Helper()
	const tokens = 40 // long enough that a short queue can't serve all streams one after the other
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	require.Eventually(f.b, func() bool {
		var refused atomic.Int64
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				if complete, err := f.stream(f.b.Context(), client, tokens, nil); err != nil || !complete {
					refused.Add(1)
				}
			})
		}
		wg.Wait()
		return refused.Load() == 0
	}, waitTimeout, time.Second)
}

// cpuSeconds returns the processor time that the node uses during work, in seconds.
func (f *fleet) cpuSeconds(work func()) float64 {
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
				if complete, err := f.stream(f.b.Context(), client, tokens, nil); err != nil || !complete {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	require.Zero(f.b, failed.Load(), "streams refused or truncated")
}

// stream sends one request, reads its response and reports whether that is complete. It
// calls first, if not nil, after the first event.
func (f *fleet) stream(ctx context.Context, client *http.Client, tokens int, first func()) (bool, error) {
	body := fmt.Sprintf(`{"model":"assistente-fit","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"cold toes in a narrow shell"}]}`, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers[0]+engine.ChatPath, strings.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", bearerToken)
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", resp.StatusCode)
	}
	complete := false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if first != nil && strings.HasPrefix(lines.Text(), "data: ") {
			first()
			first = nil
		}
		complete = complete || lines.Text() == "data: "+engine.DoneMarker
	}
	return complete, lines.Err()
}

const residentMemory = "process_resident_memory_bytes"

// holdStreams calls meanwhile while heldStreams streams are open.
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
		require.FailNow(f.b, "streams did not open", "%d failed", failed.Load())
	}
	meanwhile()
	cancel()
	ended.Wait()
}

package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

// newBenchmark is a bench without a log, before one engine whose tokens come as fast as they can.
func newBenchmark(b *testing.B, opts standinengine.Options, change func(*bench)) *bench {
	b.Helper()
	opts.MaxRunning = 4096
	return newBench(b, 1, opts, change)
}

// timing is how one streamed answer went.
type timing struct {
	first time.Duration
	// perToken is the time between the first and the last event, divided by the events.
	perToken time.Duration
}

// stream reads one whole answer from url and times it.
func stream(tb testing.TB, client *http.Client, url, body string, header http.Header) timing {
	tb.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(tb, err)
	req.Header = header
	began := time.Now()
	resp, err := client.Do(req)
	require.NoError(tb, err)
	defer resp.Body.Close()
	require.Equal(tb, http.StatusOK, resp.StatusCode)
	var t timing
	events := 0
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if !strings.HasPrefix(sc.Text(), "data: ") {
			continue
		}
		if events == 0 {
			t.first = time.Since(began)
		}
		events++
	}
	require.NoError(tb, sc.Err())
	t.perToken = (time.Since(began) - t.first) / time.Duration(events)
	return t
}

// BenchmarkAddedTime compares answers through the gateway with answers straight
// from the engine, in pairs; it reports medians and 99th percentiles of the
// differences in microseconds.
func BenchmarkAddedTime(b *testing.B) {
	for _, tokens := range []int{16, 128} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			bn := newBenchmark(b, standinengine.Options{TokenInterval: time.Millisecond}, nil)
			body := strings.Replace(chatStrm, `"max_tokens":12`, fmt.Sprintf(`"max_tokens":%d`, tokens), 1)
			through := http.Header{"Authorization": {"Bearer " + testToken}}
			client := &http.Client{}
			defer client.CloseIdleConnections()
			var first, perToken []time.Duration
			for i := 0; b.Loop(); i++ {
				direct := http.Header{engine.HeaderRequestID: {fmt.Sprintf("direct-%d", i)}, engine.HeaderReplica: {"r0"}, engine.HeaderGeneration: {"1"}}
				d := stream(b, client, "http://"+bn.addrs[0]+engine.ChatPath, body, direct)
				g := stream(b, client, bn.server.URL+engine.ChatPath, body, through)
				first = append(first, g.first-d.first)
				perToken = append(perToken, g.perToken-d.perToken)
			}
			reportQuantiles(b, first, "first")
			reportQuantiles(b, perToken, "token")
		})
	}
}

func reportQuantiles(b *testing.B, d []time.Duration, name string) {
	slices.Sort(d)
	b.ReportMetric(float64(d[len(d)/2].Nanoseconds())/1e3, "µs-"+name+"-p50")
	b.ReportMetric(float64(d[len(d)*99/100].Nanoseconds())/1e3, "µs-"+name+"-p99")
}

// BenchmarkRequests is the cost of whole streamed answers of 16 tokens, caller,
// gateway and engine stand-in together in one process.
func BenchmarkRequests(b *testing.B) {
	bn := newBenchmark(b, standinengine.Options{TokenInterval: 100 * time.Microsecond}, nil)
	body := strings.Replace(chatStrm, `"max_tokens":12`, `"max_tokens":16`, 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		header := http.Header{"Authorization": {"Bearer " + testToken}}
		for pb.Next() {
			stream(b, client, bn.server.URL+engine.ChatPath, body, header)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkTake is the gateway's own work for one event of a stream: checking it
// and handing it on, without any socket.
func BenchmarkTake(b *testing.B) {
	s := testSession(b, discard{http.Header{}})
	data := []byte(`{"id":"chatcmpl-r","object":"chat.completion.chunk","created":1700000000,"model":"assistente-fit","choices":[{"index":0,"delta":{"content":" shell"},"finish_reason":null}]}`)
	b.ReportAllocs()
	for i := int64(1); b.Loop(); i++ {
		if err := s.take(engine.Event{ID: i, Data: data}); err != nil {
			b.Fatal(err)
		}
	}
}

// discard is a caller that takes everything.
type discard struct{ header http.Header }

func (d discard) Header() http.Header            { return d.header }
func (discard) WriteHeader(int)                  {}
func (discard) Write(p []byte) (int, error)      { return len(p), nil }
func (discard) FlushError() error                { return nil }
func (discard) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkOpenStreams reports the memory of one open stream in the gateway's
// process, which here also holds the caller and the engine stand-in.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	for b.Loop() {
		bn := newBenchmark(b, standinengine.Options{TokenInterval: time.Hour, MaxGap: time.Minute}, nil)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		ctx, end := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		client := &http.Client{Transport: &http.Transport{}}
		for range streams {
			wg.Go(func() { holdStream(ctx, client, bn.server.URL) })
		}
		for bn.admitter.held.Load() < streams {
			runtime.Gosched()
		}
		require.Eventually(b, func() bool { return bn.runs() == streams }, time.Minute, time.Millisecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := after.HeapInuse + after.StackInuse - before.HeapInuse - before.StackInuse
		b.ReportMetric(float64(used)/streams, "bytes/stream")
		end()
		wg.Wait()
		client.CloseIdleConnections()
	}
}

func holdStream(ctx context.Context, client *http.Client, url string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+engine.ChatPath, strings.NewReader(chatStrm))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := client.Do(req)
	if err == nil {
		resp.Body.Close()
	}
}

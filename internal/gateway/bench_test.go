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

// newBenchmarkFixture returns a fixture with one engine that admits 4,096 requests at a time.
func newBenchmarkFixture(b *testing.B, opts standinengine.Options, change func(*fixture)) *fixture {
	b.Helper()
	opts.MaxRunning = 4096
	return newFixture(b, 1, opts, change)
}

// timing holds the measured times of one streamed answer.
type timing struct {
	first time.Duration
	// perToken is the time from the first event to the end, divided by the number of events.
	perToken time.Duration
}

// stream reads one complete streamed answer from url and measures its times.
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

// BenchmarkAddedTime measures the latency that the gateway adds. It compares pairs of answers,
// one through the gateway and one directly from the engine, and reports the median and the
// 99th percentile of the differences in microseconds.
func BenchmarkAddedTime(b *testing.B) {
	for _, tokens := range []int{16, 128} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			bn := newBenchmarkFixture(b, standinengine.Options{TokenInterval: time.Millisecond}, nil)
			body := strings.Replace(chatStreamBody, `"max_tokens":12`, fmt.Sprintf(`"max_tokens":%d`, tokens), 1)
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

// BenchmarkRequests measures the throughput of streamed answers of 16 tokens, with the caller,
// the gateway and the stand-in engine in one process.
func BenchmarkRequests(b *testing.B) {
	bn := newBenchmarkFixture(b, standinengine.Options{TokenInterval: 100 * time.Microsecond}, nil)
	body := strings.Replace(chatStreamBody, `"max_tokens":12`, `"max_tokens":16`, 1)
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

// BenchmarkHandleEvent measures the gateway's work for one event of a stream, which is to
// validate and forward it, without sockets.
func BenchmarkHandleEvent(b *testing.B) {
	s := testSession(b, discard{http.Header{}})
	data := []byte(`{"id":"chatcmpl-r","object":"chat.completion.chunk","created":1700000000,"model":"assistente-fit","choices":[{"index":0,"delta":{"content":" shell"},"finish_reason":null}]}`)
	b.ReportAllocs()
	for i := int64(1); b.Loop(); i++ {
		if err := s.handleEvent(engine.Event{ID: i, Data: data}); err != nil {
			b.Fatal(err)
		}
	}
}

// discard is an http.ResponseWriter that discards all data.
type discard struct{ header http.Header }

func (d discard) Header() http.Header            { return d.header }
func (discard) WriteHeader(int)                  {}
func (discard) Write(p []byte) (int, error)      { return len(p), nil }
func (discard) FlushError() error                { return nil }
func (discard) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkOpenStreams measures the memory of one open stream. The process includes the caller
// and the stand-in engine.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	for b.Loop() {
		bn := newBenchmarkFixture(b, standinengine.Options{TokenInterval: time.Hour, MaxGap: time.Minute}, nil)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		ctx, end := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		client := &http.Client{Transport: &http.Transport{}}
		for range streams {
			wg.Go(func() { openStream(ctx, client, bn.server.URL) })
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

func openStream(ctx context.Context, client *http.Client, url string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+engine.ChatPath, strings.NewReader(chatStreamBody))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := client.Do(req)
	if err == nil {
		resp.Body.Close()
	}
}

package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/admission"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

// useRealRouterAndAdmitter replaces the fixture's fake router, and its admitter if admit is set,
// by those of the daemon.
func useRealRouterAndAdmitter(b *fixture, policy routing.Policy, admit bool, batch int) {
	table := routing.NewTable(routing.Options{Policy: policy})
	var entries []routing.Entry
	for i, c := range b.router.choices {
		entries = append(entries, routing.Entry{Replica: c.Replica, Addr: b.addrs[i]})
	}
	table.SetReplicas("", entries)
	for _, e := range entries {
		table.SetHealthy(e.Replica.ID, e.Replica.Generation, true)
		table.ReportLoad(e.Replica.ID, engine.Load{AsOf: time.Now(), MaxRunning: batch}, time.Now())
	}
	b.opts.Router = table
	if admit {
		c := admission.New(admission.Options{Self: admission.Node{ID: "n1"}})
		c.SetCapacity("fit", table.Capacities(time.Now())["fit"])
		b.opts.Admitter = c
	}
}

// numberedChat returns the body of the i-th of a series of different chat requests.
func numberedChat(i int) string {
	return fmt.Sprintf(`{"model":"assistente-fit","messages":[{"role":"user","content":"boot %d"}],"max_tokens":20,"stream":true}`, i)
}

// Far more callers send requests at once than the replicas can serve in time. Each must receive a
// complete answer or an error with Retry-After, and requests refused as not run must not have
// run.
func TestBurstIsAnsweredCompletelyOrRefusedTruthfully(t *testing.T) {
	const callers, batch = 120, 2
	b := newFixture(t, 3, standinengine.Options{MaxRunning: batch, TokenInterval: 2 * time.Millisecond}, func(b *fixture) {
		useRealRouterAndAdmitter(b, nil, true, batch)
		b.opts.FirstTokenTimeout = 400 * time.Millisecond
	})
	for i := range 6 { // so that the admitter has measured hold times
		requireCompleteStream(t, b.chat(numberedChat(i)), numberedChat(i))
	}
	replies := make([]reply, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { replies[i] = b.chat(numberedChat(i)) })
	}
	wg.Wait()
	runs := map[string]int{}
	for _, e := range b.engines {
		for id, n := range e.Runs().ByRequest {
			runs[id] += n
		}
	}
	complete := 0
	for i, r := range replies {
		if r.status == http.StatusOK {
			requireCompleteStream(t, r, numberedChat(i))
			complete++
			continue
		}
		if r.header.Get(HeaderRun) == string(fennelerr.NotRun) {
			require.Zero(t, runs[r.header.Get(engine.HeaderRequestID)], r.body)
			require.NotEmpty(t, r.header.Get("Retry-After"), r.body)
		}
	}
	require.Positive(t, complete)
	require.Less(t, complete, callers, "the burst must exceed the capacity")
}

// BenchmarkOverloadHTTP sends requests at a multiple of the capacity for five seconds over real
// connections to four engines with batch size 4 (20 tokens of 5 ms each, 160 requests/s in
// total). Good answers are complete and their first token arrives within the 500 ms that
// callers wait.
func BenchmarkOverloadHTTP(b *testing.B) {
	const batch, seconds, capacity = 4, 5, 160
	for _, times := range []int{1, 2} {
		for _, naive := range []bool{false, true} {
			b.Run(fmt.Sprintf("naive=%v/load=%dx", naive, times), func(b *testing.B) {
				var got replyCounts
				for range b.N {
					runOverload(b, naive, batch, times*capacity*seconds, time.Second/time.Duration(times*capacity), &got)
				}
				b.ReportMetric(float64(got.good.Load())/float64(b.N)/seconds, "good/s")
				b.ReportMetric(float64(got.notRun.Load())/float64(b.N)/seconds, "not-run/s")
				if n := got.failed.Load(); n > 0 {
					b.ReportMetric(time.Duration(got.failureTime.Load()/n).Seconds()*1000, "ms-to-failure")
				}
			})
		}
	}
}

// replyCounts counts the results that callers received. failureTime is the total time to the
// failed ones, in nanoseconds.
type replyCounts struct{ good, failed, notRun, failureTime atomic.Int64 }

func (t *replyCounts) add(r reply, took time.Duration) {
	if _, complete := streamText(r.body); r.status == http.StatusOK && complete && r.err == nil {
		t.good.Add(1)
		return
	}
	t.failed.Add(1)
	t.failureTime.Add(int64(took))
	if r.header.Get(HeaderRun) == string(fennelerr.NotRun) {
		t.notRun.Add(1)
	}
}

func runOverload(tb *testing.B, naive bool, batch, requests int, gap time.Duration, got *replyCounts) {
	engines := standinengine.Options{MaxRunning: batch, MaxWaiting: 1 << 20, TokenInterval: 5 * time.Millisecond}
	b := newFixture(tb, 4, engines, func(b *fixture) {
		var policy routing.Policy
		if naive {
			policy = routing.Naive{}
		}
		useRealRouterAndAdmitter(b, policy, !naive, batch)
		b.opts.FirstTokenTimeout = 500 * time.Millisecond
	})
	b.server.Client().Transport.(*http.Transport).MaxIdleConnsPerHost = 1 << 10
	tick := time.NewTicker(gap)
	defer tick.Stop()
	var wg sync.WaitGroup
	for i := range requests {
		<-tick.C
		wg.Go(func() {
			began := time.Now()
			got.add(b.chat(numberedChat(i)), time.Since(began))
		})
	}
	wg.Wait()
}

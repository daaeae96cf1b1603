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

// realChoice gives the bench the daemon's router and admitter instead of its fakes.
func realChoice(b *bench, policy routing.Policy, admit bool, batch int) {
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

func numbered(i int) string {
	return fmt.Sprintf(`{"model":"assistente-fit","messages":[{"role":"user","content":"boot %d"}],"max_tokens":20,"stream":true}`, i)
}

// Far more callers come at once than the replicas can serve in time. Everyone is
// either answered whole or refused with the time to come back, and what was
// refused as not run did run nowhere.
func TestBurstIsAnsweredWholeOrRefusedHonestly(t *testing.T) {
	const callers, batch = 120, 2
	b := newBench(t, 3, standinengine.Options{MaxRunning: batch, TokenInterval: 2 * time.Millisecond}, func(b *bench) {
		realChoice(b, nil, true, batch)
		b.opts.FirstTokenTimeout = 400 * time.Millisecond
	})
	for i := range 6 { // so that hold times are known
		requireWhole(t, b.chat(numbered(i)), numbered(i))
	}
	replies := make([]reply, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { replies[i] = b.chat(numbered(i)) })
	}
	wg.Wait()
	runs := map[string]int{}
	for _, e := range b.engines {
		for id, n := range e.Runs().ByRequest {
			runs[id] += n
		}
	}
	whole := 0
	for i, r := range replies {
		if r.status == http.StatusOK {
			requireWhole(t, r, numbered(i))
			whole++
			continue
		}
		if r.header.Get(HeaderRun) == string(fennelerr.NotRun) {
			require.Zero(t, runs[r.header.Get(engine.HeaderRequestID)], r.body)
			require.NotEmpty(t, r.header.Get("Retry-After"), r.body)
		}
	}
	require.Positive(t, whole)
	require.Less(t, whole, callers, "this was meant to be too much")
}

// BenchmarkOverloadHTTP offers requests at a multiple of the capacity for five
// seconds through real connections to four engines of batch 4 (20 tokens, 5 ms
// each: 160 requests a second). Good answers are whole and their first token
// came within the 500 ms that callers wait.
func BenchmarkOverloadHTTP(b *testing.B) {
	const batch, seconds, capacity = 4, 5, 160
	for _, times := range []int{1, 2} {
		for _, naive := range []bool{false, true} {
			b.Run(fmt.Sprintf("naive=%v/load=%dx", naive, times), func(b *testing.B) {
				var got tally
				for range b.N {
					overloadOnce(b, naive, batch, times*capacity*seconds, time.Second/time.Duration(times*capacity), &got)
				}
				b.ReportMetric(float64(got.good.Load())/float64(b.N)/seconds, "good/s")
				b.ReportMetric(float64(got.notRun.Load())/float64(b.N)/seconds, "not-run/s")
				if n := got.failed.Load(); n > 0 {
					b.ReportMetric(time.Duration(got.failedFor.Load()/n).Seconds()*1000, "ms-to-failure")
				}
			})
		}
	}
}

// tally counts what callers saw; failedFor is the sum of their waits, in nanoseconds.
type tally struct{ good, failed, notRun, failedFor atomic.Int64 }

func (t *tally) note(r reply, took time.Duration) {
	if _, whole := streamText(r.body); r.status == http.StatusOK && whole && r.err == nil {
		t.good.Add(1)
		return
	}
	t.failed.Add(1)
	t.failedFor.Add(int64(took))
	if r.header.Get(HeaderRun) == string(fennelerr.NotRun) {
		t.notRun.Add(1)
	}
}

func overloadOnce(tb *testing.B, naive bool, batch, requests int, gap time.Duration, got *tally) {
	engines := standinengine.Options{MaxRunning: batch, MaxWaiting: 1 << 20, TokenInterval: 5 * time.Millisecond}
	b := newBench(tb, 4, engines, func(b *bench) {
		var policy routing.Policy
		if naive {
			policy = routing.Naive{}
		}
		realChoice(b, policy, !naive, batch)
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
			got.note(b.chat(numbered(i)), time.Since(began))
		})
	}
	wg.Wait()
}

package claims

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdgw"
)

// benchAnswer has the size of a typical booking confirmation.
var benchAnswer = Answer{Status: 201, ContentType: "application/json", Body: make([]byte, 200)}

// BenchmarkClaim measures claiming a key and recording its answer through the JSON
// gateway on loopback, for several numbers of concurrent callers. It also reports the
// store calls and the live bytes in the store per claim. The naive variant uses one
// lease and two transactions per call.
//
//	go test -bench Claim -run '^$' ./internal/claims
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("batched/callers=%d", callers), func(b *testing.B) {
			benchClaims(b, callers, func(s store.Store) (func(string), func()) {
				m := New(Options{Store: s, Node: cluster.NodeID("a"), Incarnation: 1, Log: slog.New(slog.DiscardHandler)})
				once := func(key string) {
					claim, _, err := m.Claim(b.Context(), callOf(key, "body"))
					if err != nil {
						b.Error(err)
						return
					}
					claim.Finish(b.Context(), benchAnswer)
				}
				return once, func() { m.Close(context.Background()) }
			})
		})
		b.Run(fmt.Sprintf("naive/callers=%d", callers), func(b *testing.B) {
			benchClaims(b, callers, func(s store.Store) (func(string), func()) {
				return func(key string) { naiveClaimAndFinish(b, s, key) }, func() {}
			})
		})
	}
}

func naiveClaimAndFinish(b *testing.B, s store.Store, key string) {
	call := callOf(key, "body")
	rec := newRecord(processID{Node: "a", Incarnation: 1}.writeID(1), call, time.Now())
	at := digestOf(call).storeKey()
	lease, err := s.Grant(b.Context(), DefaultRetention)
	if err != nil {
		b.Error(err)
		return
	}
	res, err := s.Txn(b.Context(), store.Txn{Guards: []store.Guard{store.Absent(at)}, Then: []store.Op{store.Put(at, rec.encode(), lease)}})
	if err != nil || !res.Succeeded {
		b.Error("not claimed", err)
		return
	}
	rec.State, rec.Answer = Done, limitAnswer(benchAnswer)
	_, err = s.Txn(b.Context(), store.Txn{Then: []store.Op{store.Put(at, rec.encode(), lease)}})
	if err != nil {
		b.Error(err)
	}
}

func benchClaims(b *testing.B, callers int, open func(store.Store) (once func(key string), finish func())) {
	p := platform.New(platform.Options{})
	srv := httptest.NewServer(p.Handler())
	b.Cleanup(srv.Close)
	b.Cleanup(p.Store().Close)
	client := etcdgw.New(etcdgw.Options{Endpoints: []string{srv.URL}})
	b.Cleanup(client.Close)
	once, finish := open(client)
	var n atomic.Int64
	work := make(chan struct{})
	done := make(chan struct{})
	for range callers {
		go func() {
			for range work {
				once(fmt.Sprintf("booking-%d", n.Add(1)))
			}
			done <- struct{}{}
		}()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	for range callers {
		<-done
	}
	finish() // recording the pending outcomes is part of the measured work
	b.StopTimer()
	reportStore(b, p)
}

func reportStore(b *testing.B, p *platform.Server) {
	var calls int64
	for _, n := range p.Calls() {
		calls += n
	}
	_, bytes := p.Store().Size()
	b.ReportMetric(float64(calls)/float64(b.N), "calls/claim")
	b.ReportMetric(float64(bytes)/float64(b.N), "store-B/claim")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

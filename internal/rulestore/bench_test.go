package rulestore

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// largeText returns a file of 10,000 lines: teams, their limits and their routes.
func largeText(changed int) string {
	var b strings.Builder
	b.WriteString("service name=s # asked for by: A\n")
	for i := range 3333 {
		share := 10
		if i == changed%3333 {
			share = 11 + changed%900
		}
		fmt.Fprintf(&b, "team name=t%d token=sha256:%064x # asked for by: A\n", i, i)
		fmt.Fprintf(&b, "limit team=t%d share=%d # asked for by: A\n", i, share)
		fmt.Fprintf(&b, "route path=/t%d/* team=t%d to=s # asked for by: A\n", i%100, i)
	}
	return b.String()
}

// BenchmarkFollowChange measures the handling of a watched one-line change.
func BenchmarkFollowChange(b *testing.B) {
	s := memstore.New(memstore.Options{})
	h, writer := New(Options{Store: s}), New(Options{Store: s})
	last := mustApply(b, writer, 0, largeText(0))
	require.NoError(b, h.adopt(candidate{revision: last, text: largeText(0), source: "bench"}))
	i := 0
	for b.Loop() {
		b.StopTimer()
		i++
		base := last
		last = mustApply(b, writer, base, largeText(i))
		kv, _, err := s.Get(b.Context(), historyKey(base))
		require.NoError(b, err)
		b.StartTimer()
		h.handleWatchEvent(&store.Event{Type: store.EventPut, KV: *kv})
	}
	require.Equal(b, last, h.Revision())
}

// BenchmarkObservePeer measures the handling of the revision in a peer's datagram.
func BenchmarkObservePeer(b *testing.B) {
	h := New(Options{Store: memstore.New(memstore.Options{})})
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	defer func() { cancel(); <-done }()
	mustApply(b, h, 0, text("a"))
	b.ReportAllocs()
	for b.Loop() {
		h.ObservePeer("n1", 0)
	}
}

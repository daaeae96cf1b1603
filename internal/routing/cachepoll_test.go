package routing

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// busyEngines returns new events at every poll, and an error for the address down.
type busyEngines struct {
	events int
	down   string
	polls  map[string]int
	after  map[string]int64
}

func (b *busyEngines) CacheEvents(_ context.Context, addr string, after int64) (engine.CacheEvents, error) {
	b.polls[addr]++
	b.after[addr] = after
	if addr == b.down {
		return engine.CacheEvents{}, fennelerr.New(fennelerr.Timeout, "no answer")
	}
	out := engine.CacheEvents{Boot: "b", Next: after + int64(b.events)}
	for i := range b.events {
		out.Events = append(out.Events, engine.CacheEvent{Seq: after + int64(i) + 1, PrefixHash: uint64(after) + uint64(i)})
	}
	return out, nil
}

// Engines with long prompts publish thousands of events. Without a limit the polls alone
// would exhaust a node's budget for control traffic.
func TestCachePollsKeepToTheirBudget(t *testing.T) {
	for _, events := range []int{0, 3, 200} {
		synctest.Test(t, func(t *testing.T) {
			table := newFleet(12, nil, "a", "b", "c")
			table.opts.Now = time.Now
			source := &busyEngines{events: events, down: "addr-r3", polls: map[string]int{}, after: map[string]int64{}}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			(&CachePoller{Table: table, Source: source, Log: slog.New(slog.DiscardHandler)}).Run(ctx)
			bytes := 0
			for _, n := range source.polls {
				bytes += n * (pollBytes + events*eventBytes)
			}
			require.LessOrEqual(t, bytes, 2*60*DefaultCacheBytesPerSecond+pollBytes+events*eventBytes+source.polls["addr-r3"]*events*eventBytes)
			require.Len(t, source.polls, 4, "the own zone's replicas only")
			require.GreaterOrEqual(t, source.polls["addr-r0"], 3)
			require.Zero(t, source.after["addr-r3"])
			require.EqualValues(t, events*(source.polls["addr-r0"]-1), source.after["addr-r0"], "each poll starts after the last event")
		})
	}
}

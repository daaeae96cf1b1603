package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// Bounds of a node's list of servers.
const (
	// maxRemovalDelay is the longest time for which a server is used after its entry was removed, and
	// maxReconnectedDelay the longest one after the node's own connection to the store was back.
	maxRemovalDelay     = 2 * time.Second
	maxReconnectedDelay = 3 * time.Second
	// maxReturnDelay is the longest time after an outage until a live server is listed again.
	maxReturnDelay = 2 * time.Second
)

// connState is the state of a node's connection to the store.
type connState int32

const (
	connOpen connState = iota
	// connSilent loses calls and their answers, connRefused fails them at once.
	connSilent
	connRefused
)

func (s connState) String() string { return [...]string{"open", "silent", "refused"}[s] }

var errRefused = errors.New("connection refused")

// polledStore is a store that is watched by long polls over a connection that can fail.
type polledStore struct {
	*memstore.Store
	conn atomic.Int32
}

func (p *polledStore) set(s connState) { p.conn.Store(int32(s)) }

// call sends a call that takes at most limit; a lost one fails after that.
func (p *polledStore) call(ctx context.Context, limit time.Duration) error {
	switch connState(p.conn.Load()) {
	case connSilent:
		clock.Pause(ctx, limit)
		return &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "call", Err: context.DeadlineExceeded}
	case connRefused:
		return &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "call", Err: errRefused}
	}
	return nil
}

func (p *polledStore) Range(ctx context.Context, prefix string, opts store.RangeOptions) (store.RangeResult, error) {
	if err := p.call(ctx, 2*time.Second); err != nil {
		return store.RangeResult{}, err
	}
	return p.Store.Range(ctx, prefix, opts)
}

// Watch polls for a second at a time; the first poll is answered at once.
func (p *polledStore) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	const pollTime, pollGrace = time.Second, time.Second
	out := make(chan store.WatchBatch)
	go func() {
		defer close(out)
		for wait := time.Millisecond; ctx.Err() == nil; wait = pollTime {
			batch := p.poll(ctx, prefix, from, wait, pollGrace)
			select {
			case out <- batch:
			case <-ctx.Done():
			}
			if batch.Err != nil {
				return
			}
			from = batch.Revision + 1
		}
	}()
	return out, nil
}

func (p *polledStore) poll(ctx context.Context, prefix string, from int64, wait, grace time.Duration) store.WatchBatch {
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	if err := p.call(ctx, wait+grace); err != nil {
		return store.WatchBatch{Err: err}
	}
	changes, err := p.Store.Watch(ctx, prefix, from)
	if err != nil {
		return store.WatchBatch{Err: err}
	}
	batch := store.WatchBatch{Revision: from - 1}
	timeout := time.After(wait)
	select {
	case got, ok := <-changes:
		if ok {
			batch = got
		}
	case <-timeout:
	}
	if err := p.call(ctx, wait+grace); err != nil { // the answer is lost
		return store.WatchBatch{Err: err}
	}
	return batch
}

// listing records when each server was last removed from the view of a mirror.
type listing struct {
	mu      sync.Mutex
	removed map[string]time.Time
	listed  map[string]bool
}

func (l *listing) change(c fleet.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, kv := range c.Written {
		l.listed[kv.Key] = true
	}
	for _, key := range c.Removed {
		l.listed[key], l.removed[key] = false, time.Now()
	}
}

// outage describes a node's connection that fails.
type outage struct {
	state  connState
	length time.Duration
	// offset is how long the connection has been open before.
	offset time.Duration
	// compacted is set if the store drops its history meanwhile, hasFeed if the node has feeds, none of which serves.
	compacted, hasFeed bool
}

func (o outage) String() string {
	return fmt.Sprintf("%s for %s after %s, compacted %v, feeds %v", o.state, o.length, o.offset, o.compacted, o.hasFeed)
}

// eachOutage runs play, in a synctest bubble, for outages of all forms.
func eachOutage(t *testing.T, play func(t *testing.T, o outage)) {
	for _, state := range []connState{connSilent, connRefused} {
		for _, compacted := range []bool{false, true} {
			for _, hasFeed := range []bool{false, true} {
				for length := 3050 * time.Millisecond; length < 9*time.Second; length += 630 * time.Millisecond {
					o := outage{state: state, length: length, offset: 3*time.Second + length/7, compacted: compacted, hasFeed: hasFeed}
					t.Run(o.String(), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { play(t, o) })
					})
				}
			}
		}
	}
}

// playOutage runs a mirror through an outage of its connection. before is called when it has read the store, and
// after when the connection is open again; it must be in a synctest bubble.
func playOutage(t *testing.T, o outage, mem *memstore.Store, before func(), after func(conn *polledStore)) *listing {
	source := &polledStore{Store: mem}
	l := &listing{removed: make(map[string]time.Time), listed: make(map[string]bool)}
	var feeds fleet.Feed
	if o.hasFeed {
		feeds = noFeed{}
	}
	mirror := fleet.NewMirror(source, feeds, slog.New(slog.DiscardHandler),
		fleet.View{Prefix: "config", OnChange: l.change}, fleet.View{Prefix: "servers/", OnChange: l.change, Renewed: true})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); mirror.Run(ctx) }()
	time.Sleep(o.offset)
	source.set(o.state)
	before()
	if o.compacted {
		mem.Compact(mem.Revision())
	}
	source.set(connOpen)
	after(source)
	cancel()
	<-done
	mem.Close()
	return l
}

func write(t *testing.T, mem *memstore.Store, ops ...store.Op) {
	t.Helper()
	_, err := mem.Txn(t.Context(), store.Txn{Then: ops})
	require.NoError(t, err)
}

// Guards against a node that is cut off from the store alone and uses servers after it has read that they are gone.
func TestServersThatLeaveAreNotUsedAfterADisconnection(t *testing.T) {
	removals := []time.Duration{-3e9, -1.5e9, -0.7e9, -0.2e9, 0, 0.2e9, 0.4e9, 0.6e9, 0.8e9, 1e9, 1.4e9, 2e9, 2.6e9}
	eachOutage(t, func(t *testing.T, o outage) {
		mem := memstore.New(memstore.Options{})
		name := func(i int) string { return fmt.Sprintf("servers/%d", i) }
		for i := range removals {
			write(t, mem, store.Put(name(i), []byte("x"), 0))
		}
		var restored time.Time
		var removedAt []time.Time
		remove := func(end time.Time, until time.Duration) {
			for i := len(removedAt); i < len(removals) && removals[i] < until; i++ {
				time.Sleep(time.Until(end.Add(removals[i])))
				write(t, mem, store.Delete(name(i)))
				removedAt = append(removedAt, time.Now())
			}
		}
		l := playOutage(t, o, mem, func() {
			restored = time.Now().Add(o.length)
			remove(restored, 0)
			time.Sleep(time.Until(restored))
		}, func(*polledStore) {
			remove(restored, time.Hour)
			time.Sleep(4 * time.Second)
		})
		for i, at := range removedAt {
			due := at.Add(maxRemovalDelay)
			if reconnected := restored.Add(maxReconnectedDelay); reconnected.After(due) {
				due = reconnected
			}
			require.False(t, l.listed[name(i)], "%s: server that left %s after the end", o, removals[i])
			assert.LessOrEqual(t, l.removed[name(i)].Sub(due), time.Duration(0), "%s: server that left %s after the end is used too long", o, removals[i])
		}
	})
}

// Guards against a node that drops live servers whose entries expired while the store was away for all.
func TestLiveServersStayListedAfterAnOutage(t *testing.T) {
	const servers = 8
	eachOutage(t, func(t *testing.T, o outage) {
		mem := memstore.New(memstore.Options{})
		name := func(i int) string { return fmt.Sprintf("servers/%d", i) }
		for i := range servers {
			write(t, mem, store.Put(name(i), []byte("x"), 0))
		}
		l := playOutage(t, o, mem, func() {
			time.Sleep(o.length - time.Millisecond)
			for i := range servers { // their leases end
				write(t, mem, store.Delete(name(i)))
			}
			time.Sleep(time.Millisecond)
		}, func(*polledStore) {
			restored := time.Now()
			for i := range servers {
				time.Sleep(time.Until(restored.Add(maxReturnDelay * time.Duration(i+1) / servers)))
				write(t, mem, store.Put(name(i), []byte("x"), 0))
			}
			time.Sleep(4 * time.Second)
		})
		assert.Empty(t, l.removed, "%s: live servers were dropped", o)
	})
}

// Guards against a node that drops live servers because the store goes away again before they could register.
func TestLiveServersStayListedWhenTheStoreIsLostAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New(memstore.Options{})
		write(t, mem, store.Put("servers/alive", []byte("x"), 0), store.Put("servers/gone", []byte("x"), 0))
		var restored time.Time
		l := playOutage(t, outage{state: connRefused, offset: 3 * time.Second}, mem, func() {
			time.Sleep(6 * time.Second)
			write(t, mem, store.Delete("servers/alive"), store.Delete("servers/gone"))
		}, func(conn *polledStore) {
			time.Sleep(time.Second)
			conn.set(connRefused)
			time.Sleep(1500 * time.Millisecond)
			conn.set(connOpen)
			restored = time.Now()
			time.Sleep(1900 * time.Millisecond)
			write(t, mem, store.Put("servers/alive", []byte("x"), 0))
			time.Sleep(4 * time.Second)
		})
		require.True(t, l.listed["servers/alive"])
		require.NotContains(t, l.removed, "servers/alive")
		require.False(t, l.listed["servers/gone"])
		require.LessOrEqual(t, l.removed["servers/gone"].Sub(restored), maxReconnectedDelay)
	})
}

// Guards against a lease or an order of the operator that counts as in force for seconds after its end was read.
func TestOnlyRenewedEntriesAreKeptAfterAnOutage(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			mem := memstore.New(memstore.Options{})
			write(t, mem, store.Put("config", []byte("x"), 0), store.Put("servers/alive", []byte("x"), 0))
			l := playOutage(t, outage{state: connRefused, compacted: compacted, offset: 3 * time.Second}, mem, func() {
				time.Sleep(6 * time.Second)
				write(t, mem, store.Delete("config"), store.Delete("servers/alive"))
			}, func(*polledStore) {
				time.Sleep(time.Second)
			})
			require.False(t, l.listed["config"])
			require.True(t, l.listed["servers/alive"])
		})
	}
}

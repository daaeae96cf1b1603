package relay_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
)

// tableRouter returns a routing table with a replica of one server for each id, all of plain service "s".
func tableRouter(ids ...cluster.ReplicaID) *routing.Table {
	table := routing.NewTable(routing.Options{})
	entries := make([]routing.Entry, 0, len(ids))
	for _, id := range ids {
		entries = append(entries, routing.Entry{Addr: string(id), Slots: 100, Replica: cluster.Replica{ID: id, Group: "service:s", Generation: 1, Serving: cluster.VMID(id)}})
	}
	table.SetReplicas("", entries)
	for _, id := range ids {
		table.SetHealthy(id, 1, true)
	}
	return table
}

// connectThen waits for a connection, which takes that long, and then answers.
func connectThen(wait time.Duration, cancelable bool, answer handler) handler {
	return func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
		if !cancelable {
			ctx = context.WithoutCancel(ctx)
		}
		if err := pause(ctx, wait); err != nil || !a.Gate.Enter() {
			return nil, &relay.NotRunError{Reason: "no connection", Err: io.ErrClosedPipe}
		}
		return answer(ctx, a)
	}
}

const askedPushback = 3 * time.Second

var errPushedBack = &relay.NotRunError{Reason: "status 503", Received: true, State: relay.ServerState{Pushback: askedPushback}}

// Guards against calls that wait for a connection to a server which has asked for no requests, and are sent once it opens.
func TestCallsThatWaitForAConnectionAreWithdrawnInAPushback(t *testing.T) {
	for name, c := range map[string]struct {
		cancelable bool
		ids        []cluster.ReplicaID
		longest    time.Duration
	}{
		"refused":                         {true, []cluster.ReplicaID{"a"}, 150 * time.Millisecond},
		"refused as the connection opens": {false, []cluster.ReplicaID{"a"}, 1100 * time.Millisecond},
		"routed elsewhere":                {true, []cluster.ReplicaID{"a", "b"}, 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				conns, reached := 0, 0
				at := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
					mu.Lock()
					wait := time.Second // its opening packet is sent again
					if conns++; conns == 1 {
						wait = 100 * time.Millisecond
					}
					mu.Unlock()
					return connectThen(wait, c.cancelable, func(context.Context, relay.Attempt) (*relay.Reply, error) {
						mu.Lock()
						defer mu.Unlock()
						reached++
						return nil, errPushedBack
					})(ctx, a)
				}
				f := newFixtureWith(t, 10, tableRouter(c.ids...), &fakeBackend{handlers: handlers{"a": at, "b": respondWith(200)}})
				var callers sync.WaitGroup
				for range 6 {
					callers.Go(func() {
						began := time.Now()
						got := f.serve(t.Context(), unsafeTerms)
						require.LessOrEqual(t, time.Since(began), c.longest)
						if len(c.ids) > 1 {
							require.True(t, got.ended)
							return
						}
						requireNotRun(t, got.refused)
						left := askedPushback - (time.Since(began) - 100*time.Millisecond)
						require.GreaterOrEqual(t, got.refused.RetryAfter, left)
						require.Less(t, got.refused.RetryAfter, left+time.Second)
					})
				}
				callers.Wait()
				require.LessOrEqual(t, reached, 1)
			})
		})
	}
}

// Guards against an attempt that is chosen as a pushback begins and is sent all the same.
func TestAttemptThatBeginsInAPushbackIsWithdrawn(t *testing.T) {
	table := tableRouter("a")
	late := &lateRouter{Table: table}
	f := newFixtureWith(t, 10, late, &fakeBackend{handlers: handlers{"a": respondWith(200)}})
	got := f.serve(t.Context(), unsafeTerms)
	requireNotRun(t, got.refused)
	require.Greater(t, got.refused.RetryAfter, 2*time.Second)
	require.Empty(t, f.backend.sent())
}

// lateRouter is a table in which a pushback begins after each choice.
type lateRouter struct{ *routing.Table }

func (r *lateRouter) Choose(req routing.Request) (routing.Choice, error) {
	choice, err := r.Table.Choose(req)
	if err == nil {
		r.ReportPushback(choice, askedPushback, time.Now())
	}
	return choice, err
}

package relay_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Guards against idle timers that fire before the attempt holds them, when the deadline has passed.
func TestAttemptAfterItsDeadline(t *testing.T) {
	f := newFixture(t, 10, ab, handlers{"a": respondWith(200), "b": respondWith(200)})
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 500 {
				terms := safeTerms
				terms.MaxAttempts, terms.Timeout, terms.Split = 2, time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
				f.relay.Serve(t.Context(), &call.Call{ID: "id-1", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now().Add(-time.Second)}, &recorder{})
			}
		})
	}
	callers.Wait()
}

// slowCloseBody takes a second to close.
type slowCloseBody struct{ fakeBody }

func (b *slowCloseBody) Close() { time.Sleep(time.Second) }

// answerRecorder counts the answers.
type answerRecorder struct {
	recorder
	answers int
}

func (r *answerRecorder) Respond(head call.Head, body []byte) error {
	r.answers++
	return r.recorder.Respond(head, body)
}

// Guards against a hedge that begins once the call is answered, and answers it again.
func TestAnsweredCallIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := func(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
			if err := pause(ctx, 2900*time.Millisecond); err != nil { // the idle timer is due after 3 s
				return nil, err
			}
			return &relay.Reply{Head: call.Head{Status: 200}, Body: &slowCloseBody{fakeBody{err: io.EOF}}}, nil
		}
		f := newFixture(t, 10, ab, handlers{"a": first, "b": respondWith(200)})
		terms := safeTerms
		terms.MaxAttempts, terms.Timeout, terms.Split = 2, 5*time.Second, []rules.WeightedService{{Service: "s", Weight: 1}}
		got := &answerRecorder{}
		f.relay.Serve(t.Context(), &call.Call{ID: "id-1", Route: &rules.Route{Policy: &terms}, ReceivedAt: time.Now()}, got)
		require.Equal(t, 1, got.answers)
		require.Len(t, f.backend.sent(), 1)
	})
}

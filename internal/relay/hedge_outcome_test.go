package relay_test

import (
	"sync"
	"testing"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/call"
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

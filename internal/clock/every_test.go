package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/clock"
)

func TestEveryCallsOncePerPeriodAndDropsMissedCalls(t *testing.T) {
	for _, c := range []struct {
		name  string
		takes map[int]time.Duration // by call
		want  []time.Duration       // when the calls begin
	}{
		{"short calls", nil, []time.Duration{1000, 2000, 3000, 4000}},
		{"a call as long as the period", map[int]time.Duration{0: 1000}, []time.Duration{1000, 2000, 3000, 4000}},
		{"a long call", map[int]time.Duration{0: 1500}, []time.Duration{1000, 2500, 3000, 4000}},
		{"a call of several periods", map[int]time.Duration{1: 3700}, []time.Duration{1000, 2000, 5700, 6000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				began := time.Now()
				var got []time.Duration
				clock.Every(ctx, time.Second, func(now time.Time) {
					got = append(got, now.Sub(began)/time.Millisecond)
					time.Sleep(c.takes[len(got)-1] * time.Millisecond)
					if len(got) == len(c.want) {
						cancel()
					}
				})
				require.Equal(t, c.want, got)
			})
		})
	}
}

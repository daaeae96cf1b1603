package player_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/player"
)

// oneNodeShare is how often first attempts must be served while all arrive at one node, compared
// with the seconds before.
const oneNodeShare = 0.75

// Guards against a node that refuses the calls of all others when new connections go to it alone, because its limits
// hold what it had before, also shortly after a burst in which these limits fell.
func TestCallsThatAllArriveAtOneNodeAreServed(t *testing.T) {
	for _, name := range []string{"overload", "few-large-many-small"} {
		for _, burst := range []float64{1, 1.6} {
			t.Run(fmt.Sprintf("%s/%v", name, burst), func(t *testing.T) {
				t.Parallel()
				s := load(t, name)
				s.Length = 18 * time.Second
				s.Bursts = []player.Burst{{At: time.Second, Duration: 5 * time.Second, Factor: burst}}
				fault := player.Fault{Kind: player.OneNode, At: 9 * time.Second, Duration: 8 * time.Second}
				s.Faults = []player.Fault{fault}
				res := simulate(t, s, player.Options{Seed: 1})
				before := firstServed(res, fault.At-contact, fault.At)
				during := firstServed(res, fault.At+contact, fault.At+fault.Duration)
				t.Logf("served at the first attempt: %.3f before, %.3f while all arrive at one node", before, during)
				require.GreaterOrEqual(t, during, oneNodeShare*before)
			})
		}
	}
}

// firstServed returns the share of the calls sent between two moments that were served at the
// first attempt.
func firstServed(res *player.Result, from, until time.Duration) float64 {
	calls, served := 0.0, 0.0
	for _, c := range res.Calls {
		if c.SentAt >= from && c.SentAt < until {
			calls++
			if c.FirstServed {
				served++
			}
		}
	}
	return served / calls
}

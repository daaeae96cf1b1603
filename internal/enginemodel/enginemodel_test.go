package enginemodel_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

// profile is one that an operator publishes.
var profile = enginemodel.Profile{
	Slots: 17, StepsPerPass: 5, PrefillChunk: 2048, BaseStep: 7800 * time.Microsecond, StepPerSequence: 94700 * time.Nanosecond,
	StepPerContext: 9600 * time.Nanosecond, PrefillPerSecond: 45900, AttentionPerPairs: 433 * time.Microsecond,
}

// On a replica whose slots are always in use, the RequestCost of the finished jobs must add
// up to the time that elapsed, for long and for short requests: the costs of requests to
// different models are compared on that basis.
func TestRequestCostMatchesFullReplicaThroughput(t *testing.T) {
	for _, c := range []struct{ prompt, output int }{{1420, 172}, {674, 174}, {1960, 22}, {200, 400}} {
		r := enginemodel.Replica{Profile: profile}
		elapsed, done := time.Duration(0), 0
		for elapsed < 2*time.Minute {
			for r.Waiting() < profile.Slots {
				r.Add(&enginemodel.Job{PromptTokens: c.prompt, OutputTokens: c.output})
			}
			took, generated := r.RunPass()
			elapsed += took
			for _, j := range generated {
				if j.Done() {
					done++
				}
			}
		}
		work := time.Duration(done) * profile.RequestCost(c.prompt, c.output)
		require.InEpsilon(t, elapsed.Seconds(), work.Seconds(), 0.1, "%+v", c)
	}
}

// A job on an idle replica generates its first tokens in the pass that prefills its prompt.
// A job beyond the slots waits for another to finish, and the more urgent of two waiting
// jobs gets the slot.
func TestPassAdmitsByPriority(t *testing.T) {
	r := enginemodel.Replica{Profile: profile}
	first := &enginemodel.Job{PromptTokens: 1420, OutputTokens: 10}
	r.Add(first)
	took, generated := r.RunPass()
	require.Equal(t, []*enginemodel.Job{first}, generated)
	require.InDelta(t, (profile.PrefillTime(1420, 0) + 5*profile.DecodeStepTime(1, 1420)).Seconds(), took.Seconds(), 1e-6)
	for range profile.Slots {
		r.Add(&enginemodel.Job{PromptTokens: 10, OutputTokens: 500, Priority: 5})
	}
	late, urgent := &enginemodel.Job{PromptTokens: 10, OutputTokens: 5, Priority: 5}, &enginemodel.Job{PromptTokens: 10, OutputTokens: 5, Priority: 1}
	r.Add(late)
	r.Add(urgent)
	_, generated = r.RunPass()
	require.True(t, first.Done())
	require.Contains(t, generated, urgent, "the most urgent job gets the free slot")
	require.NotContains(t, generated, late)
	require.Equal(t, 3, r.Waiting())
	r.Remove(late)
	require.Equal(t, 2, r.Waiting())
}

// A prompt longer than the prefill budget of a pass takes several passes.
func TestLongPromptsTakeSeveralPasses(t *testing.T) {
	r := enginemodel.Replica{Profile: profile}
	r.Add(&enginemodel.Job{PromptTokens: 2*5*2048 + 1, OutputTokens: 5})
	_, generated := r.RunPass()
	require.Empty(t, generated)
	_, generated = r.RunPass()
	require.Empty(t, generated)
	_, generated = r.RunPass()
	require.Len(t, generated, 1)
}

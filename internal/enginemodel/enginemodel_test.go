package enginemodel_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

// figures are those of a published sheet.
var figures = enginemodel.Profile{
	Slots: 17, StepsPerPass: 5, PrefillChunk: 2048, BaseStep: 7800 * time.Microsecond, StepPerSequence: 94700 * time.Nanosecond,
	StepPerContext: 9600 * time.Nanosecond, PrefillPerSecond: 45900, AttentionPerPairs: 433 * time.Microsecond,
}

// A replica that is never without work finishes as much of it as Work says, whatever
// the mix of long and short calls: that is what makes calls of two models comparable.
func TestFullReplicaDoesTheWorkThatIsReckoned(t *testing.T) {
	for _, c := range []struct{ prompt, answer int }{{1420, 172}, {674, 174}, {1960, 22}, {200, 400}} {
		r := enginemodel.Replica{Profile: figures}
		passed, done := time.Duration(0), 0
		for passed < 2*time.Minute {
			for r.Waiting() < figures.Slots {
				r.Add(&enginemodel.Job{PromptTokens: c.prompt, OutputTokens: c.answer})
			}
			took, wrote := r.RunPass()
			passed += took
			for _, j := range wrote {
				if j.Done() {
					done++
				}
			}
		}
		work := time.Duration(done) * figures.RequestCost(c.prompt, c.answer)
		require.InEpsilon(t, passed.Seconds(), work.Seconds(), 0.1, "%+v", c)
	}
}

// The first piece of a call to an idle replica comes after one pass, in which its
// prompt is read; a call beyond the slots waits until another has ended, and the more
// urgent of two that wait goes first.
func TestPasses(t *testing.T) {
	r := enginemodel.Replica{Profile: figures}
	first := &enginemodel.Job{PromptTokens: 1420, OutputTokens: 10}
	r.Add(first)
	took, wrote := r.RunPass()
	require.Equal(t, []*enginemodel.Job{first}, wrote)
	require.InDelta(t, (figures.PrefillTime(1420, 0) + 5*figures.DecodeStepTime(1, 1420)).Seconds(), took.Seconds(), 1e-6)
	for range figures.Slots {
		r.Add(&enginemodel.Job{PromptTokens: 10, OutputTokens: 500, Priority: 5})
	}
	late, urgent := &enginemodel.Job{PromptTokens: 10, OutputTokens: 5, Priority: 5}, &enginemodel.Job{PromptTokens: 10, OutputTokens: 5, Priority: 1}
	r.Add(late)
	r.Add(urgent)
	_, wrote = r.RunPass()
	require.True(t, first.Done())
	require.Contains(t, wrote, urgent, "the most urgent takes the slot that is free first")
	require.NotContains(t, wrote, late)
	require.Equal(t, 3, r.Waiting())
	r.Remove(late)
	require.Equal(t, 2, r.Waiting())
}

// A prompt longer than a pass can read is read over several.
func TestLongPromptsTakeSeveralPasses(t *testing.T) {
	r := enginemodel.Replica{Profile: figures}
	r.Add(&enginemodel.Job{PromptTokens: 2*5*2048 + 1, OutputTokens: 5})
	_, wrote := r.RunPass()
	require.Empty(t, wrote)
	_, wrote = r.RunPass()
	require.Empty(t, wrote)
	_, wrote = r.RunPass()
	require.Len(t, wrote, 1)
}

package recovery_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/recovery"
)

// A call fails in every way there is. Its caller must never get an answer made up of
// two runs, and a call that must not run twice must never be sent again once an
// earlier attempt can have run it: a deposit would be booked twice.
func TestDecideNeverStitchesOrRepeats(t *testing.T) {
	for _, proof := range []recovery.Outcome{recovery.Interrupted, recovery.NotRun, recovery.Rejected} {
		for flags := range 128 {
			asked := 0
			f := recovery.Failure{
				Outcome: proof, MayHaveRun: flags&1 > 0, Repeatable: flags&2 > 0, ResponseStarted: flags&4 > 0, CanContinue: flags&8 > 0,
				CanResume: flags&16 > 0, OutOfTime: flags&32 > 0, MaxAttempts: 3,
				TakeRetry: func() bool { asked++; return flags&64 > 0 },
			}
			got := recovery.Decide(f)
			requireSound(t, f, got, asked)
			f.Attempts = f.MaxAttempts
			require.Equal(t, recovery.GiveUp, recovery.Decide(f).Step, "attempts used")
		}
	}
}

func requireSound(t *testing.T, f recovery.Failure, got recovery.Decision, asked int) {
	t.Helper()
	name := fmt.Sprintf("%+v -> %+v", f, got)
	elsewhere := got.Step == recovery.Restart || got.Step == recovery.Continue
	if got.Step == recovery.Restart {
		require.False(t, f.ResponseStarted, name)
	}
	if got.Step == recovery.Continue {
		require.True(t, f.ResponseStarted && f.CanContinue, name)
	}
	if !f.Repeatable && (f.MayHaveRun || f.Outcome == recovery.Interrupted) {
		require.False(t, elsewhere, name)
	}
	if f.Outcome == recovery.Rejected || f.OutOfTime {
		require.Equal(t, recovery.GiveUp, got.Step, name)
	}
	if got.Step == recovery.Resume {
		require.True(t, f.CanResume && f.Outcome == recovery.Interrupted, name)
	}
	require.Equal(t, elsewhere || got.Reason == recovery.BudgetExhausted, asked == 1, name)
	require.LessOrEqual(t, asked, 1, name)
	require.NotEmpty(t, got.Reason, name)
	require.NotEmpty(t, got.Step.String(), name)
}

// script is a call whose attempts end as written.
type script struct {
	ends    []error
	steps   []recovery.Failure
	chosen  int
	tried   int
	gone    error
	decided []recovery.Decision
}

var (
	errBroken  = errors.New("broken")
	errGivenUp = errors.New("given up")
	errNone    = errors.New("no server left")
)

func (s *script) Choose(context.Context) error {
	s.chosen++
	if s.chosen > len(s.ends) {
		return errNone
	}
	return nil
}

func (s *script) Attempt(context.Context) error {
	s.tried++
	return s.ends[s.tried-1]
}

func (s *script) Abandoned(context.Context, error) error { return s.gone }

func (s *script) Classify(context.Context, error) recovery.Failure { return s.steps[s.tried-1] }

func (s *script) Apply(_ context.Context, d recovery.Decision, _ error) error {
	s.decided = append(s.decided, d)
	if d.Step == recovery.GiveUp {
		return errGivenUp
	}
	return nil
}

func TestRunGoesOnUntilTheAnswerIsWhole(t *testing.T) {
	budget := func() bool { return true }
	broken := recovery.Failure{Repeatable: true, MaxAttempts: 9, TakeRetry: budget}
	alive := broken
	alive.CanResume = true
	s := &script{ends: []error{errBroken, errBroken, nil}, steps: []recovery.Failure{alive, broken}}
	require.NoError(t, recovery.Run(t.Context(), s))
	require.Equal(t, 3, s.tried)
	require.Equal(t, 2, s.chosen, "a resume stays where it is")
	require.Equal(t, []recovery.Step{recovery.Resume, recovery.Restart}, []recovery.Step{s.decided[0].Step, s.decided[1].Step})
}

func TestRunEnds(t *testing.T) {
	once := recovery.Failure{MaxAttempts: 9, TakeRetry: func() bool { return true }}
	again := once
	again.Repeatable = true
	left := errors.New("caller left")
	for name, c := range map[string]struct {
		script *script
		want   error
		tried  int
	}{
		"given up":       {&script{ends: []error{errBroken, nil}, steps: []recovery.Failure{once}}, errGivenUp, 1},
		"no server left": {&script{ends: []error{errBroken}, steps: []recovery.Failure{again}}, errNone, 1},
		"caller gone":    {&script{ends: []error{errBroken, nil}, steps: []recovery.Failure{again}, gone: left}, left, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.ErrorIs(t, recovery.Run(t.Context(), c.script), c.want)
			require.Equal(t, c.tried, c.script.tried)
		})
	}
}

package recovery_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/recovery"
)

// Checks every combination of failure properties. A caller must never receive an answer
// combined from two executions, and a call that must not run twice must never be sent
// again once an earlier attempt may have run it: a deposit would be booked twice.
func TestDecideNeverMixesAnswersOrRepeatsUnsafeCalls(t *testing.T) {
	for _, outcome := range []recovery.Outcome{recovery.Interrupted, recovery.NotRun, recovery.Rejected} {
		for flags := range 128 {
			retriesTaken := 0
			f := recovery.Failure{
				Outcome: outcome, MayHaveRun: flags&1 > 0, Repeatable: flags&2 > 0, ResponseStarted: flags&4 > 0, CanContinue: flags&8 > 0,
				CanResume: flags&16 > 0, OutOfTime: flags&32 > 0, MaxAttempts: 3,
				TakeRetry: func() bool { retriesTaken++; return flags&64 > 0 },
			}
			got := recovery.Decide(f)
			requireValidDecision(t, f, got, retriesTaken)
			f.Attempts = f.MaxAttempts
			require.Equal(t, recovery.GiveUp, recovery.Decide(f).Step, "attempts used")
		}
	}
}

func requireValidDecision(t *testing.T, f recovery.Failure, got recovery.Decision, retriesTaken int) {
	t.Helper()
	name := fmt.Sprintf("%+v -> %+v", f, got)
	otherServer := got.Step == recovery.Restart || got.Step == recovery.Continue
	if got.Step == recovery.Restart {
		require.False(t, f.ResponseStarted, name)
	}
	if got.Step == recovery.Continue {
		require.True(t, f.ResponseStarted && f.CanContinue, name)
	}
	if !f.Repeatable && (f.MayHaveRun || f.Outcome == recovery.Interrupted) {
		require.False(t, otherServer, name)
	}
	if f.Outcome == recovery.Rejected || f.OutOfTime {
		require.Equal(t, recovery.GiveUp, got.Step, name)
	}
	if got.Step == recovery.Resume {
		require.True(t, f.CanResume && f.Outcome == recovery.Interrupted, name)
	}
	require.Equal(t, otherServer || got.Reason == recovery.BudgetExhausted, retriesTaken == 1, name)
	require.LessOrEqual(t, retriesTaken, 1, name)
	require.NotEmpty(t, got.Reason, name)
	require.NotEmpty(t, got.Step.String(), name)
}

// scriptedCall is a recovery.Call whose attempts fail as scripted.
type scriptedCall struct {
	results   []error
	failures  []recovery.Failure
	chosen    int
	attempts  int
	abandoned error
	decisions []recovery.Decision
}

var (
	errInterrupted = errors.New("broken")
	errGivenUp     = errors.New("given up")
	errNoServer    = errors.New("no server left")
)

func (s *scriptedCall) Choose(context.Context) error {
	s.chosen++
	if s.chosen > len(s.results) {
		return errNoServer
	}
	return nil
}

func (s *scriptedCall) Attempt(context.Context) error {
	s.attempts++
	return s.results[s.attempts-1]
}

func (s *scriptedCall) Abandoned(context.Context, error) error { return s.abandoned }

func (s *scriptedCall) Classify(context.Context, error) recovery.Failure {
	return s.failures[s.attempts-1]
}

func (s *scriptedCall) Apply(_ context.Context, d recovery.Decision, _ error) error {
	s.decisions = append(s.decisions, d)
	if d.Step == recovery.GiveUp {
		return errGivenUp
	}
	return nil
}

func TestRunRetriesUntilAnswerIsComplete(t *testing.T) {
	takeRetry := func() bool { return true }
	interrupted := recovery.Failure{Repeatable: true, MaxAttempts: 9, TakeRetry: takeRetry}
	resumable := interrupted
	resumable.CanResume = true
	s := &scriptedCall{results: []error{errInterrupted, errInterrupted, nil}, failures: []recovery.Failure{resumable, interrupted}}
	require.NoError(t, recovery.Run(t.Context(), s))
	require.Equal(t, 3, s.attempts)
	require.Equal(t, 2, s.chosen, "a resume keeps the server")
	require.Equal(t, []recovery.Step{recovery.Resume, recovery.Restart}, []recovery.Step{s.decisions[0].Step, s.decisions[1].Step})
}

func TestRunEnds(t *testing.T) {
	notRepeatable := recovery.Failure{MaxAttempts: 9, TakeRetry: func() bool { return true }}
	repeatable := notRepeatable
	repeatable.Repeatable = true
	errCallerLeft := errors.New("caller left")
	for name, c := range map[string]struct {
		call     *scriptedCall
		want     error
		attempts int
	}{
		"given up":       {&scriptedCall{results: []error{errInterrupted, nil}, failures: []recovery.Failure{notRepeatable}}, errGivenUp, 1},
		"no server left": {&scriptedCall{results: []error{errInterrupted}, failures: []recovery.Failure{repeatable}}, errNoServer, 1},
		"caller gone":    {&scriptedCall{results: []error{errInterrupted, nil}, failures: []recovery.Failure{repeatable}, abandoned: errCallerLeft}, errCallerLeft, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.ErrorIs(t, recovery.Run(t.Context(), c.call), c.want)
			require.Equal(t, c.attempts, c.call.attempts)
		})
	}
}

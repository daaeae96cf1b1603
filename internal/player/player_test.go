package player_test

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/player"
)

// load reads a scenario from testdata.
func load(t testing.TB, name string) *player.Scenario {
	t.Helper()
	s, err := player.Load(filepath.Join("testdata", name+".yaml"))
	require.NoError(t, err)
	return s
}

// simulate runs a scenario in virtual time and checks that no invariant of the replicas was
// violated.
func simulate(t *testing.T, s *player.Scenario, opts player.Options) (res *player.Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { res = player.Simulate(s, opts) })
	require.Empty(t, res.Violations)
	return res
}

// The simulated times to the first piece, computed from published figures alone, must be
// within 20% of those that callers of real deployments measured at the same low rates.
// Otherwise no conclusion from a simulation holds for them.
func TestFirstPieceTimesAtLowLoadMatchDeployments(t *testing.T) {
	for name, measured := range map[string]map[string]time.Duration{
		"drafts-quiet": {"draft": 235 * time.Millisecond, "summary": 169 * time.Millisecond, "note": 246 * time.Millisecond},
	} {
		for _, row := range simulate(t, load(t, name), player.Options{Seed: 1}).Summaries(0, time.Hour) {
			if want, ok := measured[row.Kind]; ok {
				require.InEpsilon(t, want.Seconds(), row.FirstP50.Seconds(), 0.2, row.Kind)
			}
		}
	}
}

// meanGoodput returns, by model, the mean over some seeds of the goodput share for the calls
// sent between two moments.
func meanGoodput(t *testing.T, name string, from, until time.Duration) map[string]float64 {
	t.Helper()
	const seeds = 4
	shares := make(map[string]float64)
	for seed := range uint64(seeds) {
		for _, c := range simulate(t, load(t, name), player.Options{Seed: seed + 1}).Goodput(from, until) {
			shares[c.Model] += c.Share() / seeds
		}
	}
	return shares
}

// For fifteen seconds twice the usual calls arrive, an eighth more than all replicas can
// serve. A node knows other nodes' requests only from older reports of the engines, and
// admits returning callers beyond the slots. Without further bounds, replicas get half as
// many requests again as they batch, and nearly every answer is late although most could
// be on time. At least two thirds of what the replicas can do must be done on time: less
// at an overload of an eighth is a collapse.
func TestGoodputUnderSustainedOverload(t *testing.T) {
	for model, share := range meanGoodput(t, "overload", 10*time.Second, 23*time.Second) {
		require.GreaterOrEqual(t, share, 2.0/3, model)
	}
}

// A burst of three seconds ends before any VM could switch its model. Calls beyond the
// replicas' capacity are refused and return after the burst; four fifths of what the
// replicas can do must be done on time.
func TestGoodputDuringShortBurst(t *testing.T) {
	for model, share := range meanGoodput(t, "short-burst", 8*time.Second, 11*time.Second) {
		require.GreaterOrEqual(t, share, 0.8, model)
	}
}

// A mistake in a scenario file is rejected with an error that names it, rather than ignored.
func TestInvalidScenarioIsRejected(t *testing.T) {
	for name, problem := range map[string]string{"no-such-model": "references an unknown model", "unknown-field": "unknown field"} {
		_, err := player.Load(filepath.Join("testdata", "bad", name+".yaml"))
		require.ErrorContains(t, err, problem)
	}
}

// With dozens of nodes, a stalled replica must not cost requests once per node, which it
// does if each node detects the stall by its own callers' requests alone.
func TestLostMemberCostsFewCallersAtManyNodes(t *testing.T) {
	const seeds, mostLate = 3, 0.025
	late := 0.0
	for seed := range uint64(seeds) {
		rows := simulate(t, load(t, "many-nodes"), player.Options{Seed: seed + 1}).Summaries(2*time.Second, 16*time.Second)
		late += rows[len(rows)-1].Late / seeds
	}
	t.Logf("late=%.4f", late)
	require.LessOrEqual(t, late, mostLate)
}

// Scenario files are written by hand: renaming a field in the code must not change its key.
func TestYAMLKeysOfCallKind(t *testing.T) {
	const text = `
length: 1s
zones: [{name: z, nodes: 1, domains: [1], share: 1}]
engine: {slots: 1, step: 1ms, read_per_second: 1, heartbeat: 1s}
models: [{name: m, vms: 1}]
kinds:
  - {name: k, model: m, rate: 2, target: 1s, pause: 2s, deadline: 3s, worth: 4, late: 0.5, priority: 6,
     prompt: {mean: 7, spread: 0.1, most: 8}, answer: {mean: 9, spread: 0.2, most: 10}}
`
	path := filepath.Join(t.TempDir(), "scenario.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	s, err := player.Load(path)
	require.NoError(t, err)
	require.Equal(t, []player.CallKind{{
		Name: "k", Model: "m", Rate: 2, Target: time.Second, TargetGap: 2 * time.Second, Deadline: 3 * time.Second,
		Prompt: player.TokenDistribution{Mean: 7, Spread: 0.1, Max: 8}, Answer: player.TokenDistribution{Mean: 9, Spread: 0.2, Max: 10},
		Value: 4, LateValue: 0.5, Priority: 6,
	}}, s.Kinds)
}

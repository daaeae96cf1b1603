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

// load reads a scenario of testdata.
func load(t testing.TB, name string) *player.Scenario {
	t.Helper()
	s, err := player.Load(filepath.Join("testdata", name+".yaml"))
	require.NoError(t, err)
	return s
}

// play plays a scenario in virtual time and checks that no promise about replicas was
// broken.
func play(t *testing.T, s *player.Scenario, opts player.Options) (res *player.Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { res = player.Simulate(s, opts) })
	require.Empty(t, res.Violations)
	return res
}

// The players' first pieces, from published figures alone, are those that callers of
// real deployments at the same quiet rates saw, within 20%. Without that no conclusion
// drawn from a play would hold there.
func TestFirstPiecesAtQuietRates(t *testing.T) {
	for name, seen := range map[string]map[string]time.Duration{
		"drafts-quiet": {"draft": 235 * time.Millisecond, "summary": 169 * time.Millisecond, "note": 246 * time.Millisecond},
	} {
		for _, row := range play(t, load(t, name), player.Options{Seed: 1}).Summaries(0, time.Hour) {
			if want, ok := seen[row.Kind]; ok {
				require.InEpsilon(t, want.Seconds(), row.FirstP50.Seconds(), 0.2, row.Kind)
			}
		}
	}
}

// shareOnTime is the mean, over some seeds, of the part of what the standing replicas of
// each model could do on time that they did, for the calls sent in some time.
func shareOnTime(t *testing.T, name string, from, until time.Duration) map[string]float64 {
	t.Helper()
	const seeds = 4
	shares := make(map[string]float64)
	for seed := range uint64(seeds) {
		for _, c := range play(t, load(t, name), player.Options{Seed: seed + 1}).Goodput(from, until) {
			shares[c.Model] += c.Share() / seeds
		}
	}
	return shares
}

// Twice the usual calls come for fifteen seconds, an eighth more than all replicas bear.
// Each node knows of the others' requests only what engines reported a while ago, and
// lets callers that come back have places beyond the slots: the replicas get half as many
// requests again as they batch, and nearly every caller gets a late answer, though most
// could have had theirs on time. Two thirds of what the replicas can do must be done on
// time; a system that is overloaded by an eighth and does less has collapsed.
func TestOverloadIsServedNearTheCeiling(t *testing.T) {
	for model, share := range shareOnTime(t, "overload", 10*time.Second, 23*time.Second) {
		require.GreaterOrEqual(t, share, 2.0/3, model)
	}
}

// A burst of three seconds is over before any VM could change its model. What the
// replicas can't take is refused and comes back after it; four fifths of what they can do
// are done on time.
func TestShortBurstIsRiddenOut(t *testing.T) {
	for model, share := range shareOnTime(t, "short-burst", 8*time.Second, 11*time.Second) {
		require.GreaterOrEqual(t, share, 0.8, model)
	}
}

// A scenario file with a slip is refused with the field, not played as something else.
func TestScenariosAreChecked(t *testing.T) {
	for name, problem := range map[string]string{"no-such-model": "names no model", "unknown-field": "unknown field"} {
		_, err := player.Load(filepath.Join("testdata", "bad", name+".yaml"))
		require.ErrorContains(t, err, problem)
	}
}

// Dozens of nodes that each find out by their own callers' requests that a replica stands still must not cost as many times those requests.
func TestLostMemberCostsFewCallersAtManyNodes(t *testing.T) {
	const seeds, mostLate = 3, 0.025
	late := 0.0
	for seed := range uint64(seeds) {
		rows := play(t, load(t, "many-nodes"), player.Options{Seed: seed + 1}).Summaries(2*time.Second, 16*time.Second)
		late += rows[len(rows)-1].Late / seeds
	}
	t.Logf("late=%.4f", late)
	require.LessOrEqual(t, late, mostLate)
}

// Scenario files are written by hand: a field renamed in the code must not rename their keys.
func TestKeysOfAKind(t *testing.T) {
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

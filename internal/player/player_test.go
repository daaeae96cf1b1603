package player_test

import (
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
	synctest.Test(t, func(t *testing.T) { res = player.Play(s, opts) })
	require.Empty(t, res.Wrong)
	return res
}

// The players' first pieces, from published figures alone, are those that callers of
// real deployments at the same quiet rates saw, within 20%. Without that no conclusion
// drawn from a play would hold there.
func TestFirstPiecesAtQuietRates(t *testing.T) {
	for name, seen := range map[string]map[string]time.Duration{
		"drafts-quiet": {"draft": 235 * time.Millisecond, "summary": 169 * time.Millisecond, "note": 246 * time.Millisecond},
	} {
		for _, row := range play(t, load(t, name), player.Options{Seed: 1}).Rows(0, time.Hour) {
			if want, ok := seen[row.Kind]; ok {
				require.InEpsilon(t, want.Seconds(), row.FirstP50.Seconds(), 0.2, row.Kind)
			}
		}
	}
}

// A scenario file with a slip is refused with the field, not played as something else.
func TestScenariosAreChecked(t *testing.T) {
	for name, problem := range map[string]string{"no-such-model": "names no model", "unknown-field": "unknown field"} {
		_, err := player.Load(filepath.Join("testdata", "bad", name+".yaml"))
		require.ErrorContains(t, err, problem)
	}
}

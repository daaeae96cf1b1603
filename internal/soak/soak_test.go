package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/soak"
)

// binary builds the daemon, with the race detector.
func binary(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fenneld")
	out, err := exec.Command("go", "build", "-race", "-o", path, "../../cmd/fenneld").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

// recorded are seeds that once showed a fault, with its cause.
var recorded = []uint64{
	100, // a SIGHUP that met a node while it started ended it: the daemon asked for the signal late
}

// Seeds that showed a fault are played again, as they were.
func TestRecordedSeeds(t *testing.T) {
	path := binary(t)
	for _, seed := range recorded {
		result, err := soak.Run(soak.Options{Binary: path, Dir: t.TempDir(), Seed: seed, Nodes: 3, Callers: 12, FaultDuration: 8 * time.Second, Log: t.Logf})
		require.NoError(t, err)
		require.Empty(t, result.Findings, "seed %d", seed)
	}
}

// A short series of faults around real daemons. Longer ones, with fresh seeds, are
// played by hand with fennel-soak.
func TestShortSoak(t *testing.T) {
	path := binary(t)
	for _, seed := range []uint64{1, 2} {
		result, err := soak.Run(soak.Options{Binary: path, Dir: t.TempDir(), Seed: seed, Nodes: 3, Callers: 8, FaultDuration: 5 * time.Second, Log: t.Logf})
		require.NoError(t, err)
		t.Logf("seed %d: %d whole, %d refused, %d broken; %v", seed, result.Completed, result.Refused, result.Failed, result.Faults)
		require.Empty(t, result.Findings, "seed %d", seed)
	}
}

// Backend servers misbehave meanwhile: they fail by themselves, break answers off and
// answer for another call. Callers must see none of it in an answer that looks whole.
func TestShortSoakBeforeAilingServers(t *testing.T) {
	path := binary(t)
	result, err := soak.Run(soak.Options{Binary: path, Dir: t.TempDir(), Seed: 3, Nodes: 3, Callers: 8, FaultDuration: 5 * time.Second, ServerFaults: true, Log: t.Logf})
	require.NoError(t, err)
	require.Empty(t, result.Findings)
}

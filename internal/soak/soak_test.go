package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/soak"
)

func TestMain(m *testing.M) {
	soak.RunHelper()
	os.Exit(m.Run())
}

// buildDaemon builds the daemon with the race detector and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fenneld")
	out, err := exec.Command("go", "build", "-race", "-o", path, "../../cmd/fenneld").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

// regressionSeeds are seeds that once revealed a bug, with its cause.
var regressionSeeds = []uint64{
	100, // a SIGHUP during a node's start ended the process, since the daemon registered its handler too late
}

// Replays the seeds that once revealed a bug with the options of that run.
func TestRegressionSeeds(t *testing.T) {
	path := buildDaemon(t)
	for _, seed := range regressionSeeds {
		result, err := soak.Run(soak.Options{Binary: path, Dir: t.TempDir(), Seed: seed, Nodes: 3, Callers: 12, FaultDuration: 8 * time.Second, Log: t.Logf})
		require.NoError(t, err)
		require.Empty(t, result.Findings, "seed %d", seed)
	}
}

// Runs a short series of faults against real daemons. Longer series with new seeds are
// run by hand with fennel-soak.
func TestShortSoak(t *testing.T) {
	path := buildDaemon(t)
	for _, seed := range []uint64{1, 2} {
		result, err := soak.Run(soak.Options{Binary: path, Dir: t.TempDir(), Seed: seed, Nodes: 3, Callers: 8, FaultDuration: 5 * time.Second, Log: t.Logf})
		require.NoError(t, err)
		t.Logf("seed %d: %d completed, %d refused, %d failed; %v", seed, result.Completed, result.Refused, result.Failed, result.Faults)
		require.Empty(t, result.Findings, "seed %d", seed)
	}
}

// Backend servers fail on their own in addition: they return errors, truncate responses,
// omit events and send the response to another call. No caller may receive such a
// response as a complete one with status 200.
func TestShortSoakWithServerFaults(t *testing.T) {
	path := buildDaemon(t)
	result, err := soak.Run(soak.Options{Binary: path, Dir: t.TempDir(), Seed: 3, Nodes: 3, Callers: 8, FaultDuration: 5 * time.Second, ServerFaults: true, Log: t.Logf})
	require.NoError(t, err)
	require.Empty(t, result.Findings)
}

// Guards against nodes that go on sending requests to servers which ask for none or say that they leave, or to services that a moved route never goes to, beside other faults.
func TestShortSoakWithServerSignals(t *testing.T) {
	path := buildDaemon(t)
	for _, seed := range []uint64{4, 5} {
		result, err := soak.Run(soak.Options{Binary: path, Dir: t.TempDir(), Seed: seed, Nodes: 3, Callers: 12, FaultDuration: 6 * time.Second, ServerSignals: true, RouteMoves: true, Log: t.Logf})
		require.NoError(t, err)
		require.Empty(t, result.Findings, "seed %d", seed)
	}
}

// Guards against calls that run twice, are refused though they ran, or stay unserved, because the nodes' path to the servers is cut, both ways or one way.
func TestShortSoakWithCutServers(t *testing.T) {
	path := buildDaemon(t)
	for _, seed := range []uint64{6, 7} {
		dir := t.TempDir()
		result, err := soak.Run(soak.Options{Binary: path, Dir: dir, Seed: seed, Nodes: 3, Callers: 12, FaultDuration: 6 * time.Second, ServerCuts: true, Log: t.Logf})
		require.NoError(t, err)
		t.Logf("seed %d: %d completed, %d refused, %d failed; %v", seed, result.Completed, result.Refused, result.Failed, result.Faults)
		require.Empty(t, result.Findings, "seed %d", seed)
		logs := ""
		for i := range 3 {
			log, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("node-%d.log", i)))
			require.NoError(t, err)
			logs += string(log)
		}
		require.True(t, strings.Contains(logs, "backend servers unreachable"), "no node lost its path")
		// The proxy of a server that ends goes on listening, so that only a cut has connections refused.
		require.False(t, strings.Contains(logs, "replica crashed under a request"), "a cut is no crash of servers")
	}
}

// Guards against answers that a node ends while servers, or the node itself, stand still for a second.
func TestShortSoakWithSilentServers(t *testing.T) {
	path := buildDaemon(t)
	for _, seed := range []uint64{210, 212} {
		result, err := soak.Run(soak.Options{Binary: path, Dir: t.TempDir(), Seed: seed, Nodes: 3, Callers: 24, FaultDuration: 5 * time.Second, Silence: true, Log: t.Logf})
		require.NoError(t, err)
		t.Logf("seed %d: %d begun, %d ended, %d broken off, %d late", seed, result.Begun, result.Ended, result.Broken, result.Late)
		require.Empty(t, result.Findings, "seed %d", seed)
		require.NotZero(t, result.Begun)
	}
}

// Guards against hedges, and hedges of hedges, that run a call on more replicas than its route allows.
func TestShortSoakWithServersSilentInTurn(t *testing.T) {
	result, err := soak.Run(soak.Options{Binary: buildDaemon(t), Dir: t.TempDir(), Seed: 211, Nodes: 3, Callers: 16, FaultDuration: 8 * time.Second, Silence: true, SingleSilences: true, Log: t.Logf})
	require.NoError(t, err)
	t.Logf("%d completed, %d ran on several replicas", result.Completed, result.Repeated)
	require.Empty(t, result.Findings)
}

// Guards against nodes without a live feed that run calls with a removed key for longer than the bounds allow after outages of the store.
func TestShortSoakWithOutagesOfTheStore(t *testing.T) {
	result, err := soak.Run(soak.Options{Binary: buildDaemon(t), Dir: t.TempDir(), Seed: 12, Nodes: 4, Callers: 4, FaultDuration: time.Second, StoreOutages: 3, Log: t.Logf})
	require.NoError(t, err)
	require.Empty(t, result.Findings)
}

// Guards against large bodies at once that take more memory than the process has, and against slow readers that lose their answers.
func TestShortSoakWithLargeBodiesAndSlowReaders(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fenneld")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/fenneld").CombinedOutput() // the race detector takes several times the memory
	require.NoError(t, err, "%s", out)
	result, err := soak.Run(soak.Options{Binary: path, Dir: t.TempDir(), Seed: 8, Nodes: 1, Callers: 4, FaultDuration: 6 * time.Second, Uploads: 40, MemoryMB: 160, Log: t.Logf})
	require.NoError(t, err)
	t.Logf("%d large bodies answered, %d read slowly, %d refused; %d kB", result.Uploads, result.SlowAnswers, result.RefusedUploads, result.PeakKB)
	require.Empty(t, result.Findings)
	require.NotZero(t, result.SlowAnswers)
	require.NotZero(t, result.RefusedUploads)
}

// Guards against a node that is cut off from the store alone and uses servers that have left for longer than the bounds allow.
func TestShortSoakWithNodesCutOffFromTheStore(t *testing.T) {
	result, err := soak.Run(soak.Options{Binary: buildDaemon(t), Dir: t.TempDir(), Seed: 13, Nodes: 3, Callers: 2, StoreCuts: 3, Log: t.Logf})
	require.NoError(t, err)
	require.Empty(t, result.Findings)
}

package main

import (
	"bufio"
	"net/http"
	"net/url"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	managed "github.com/fennelcourse/fennelcourse/platform"
)

// Each simulation must exit with status 0 on a stop signal. Otherwise the quick start
// would report a failure although nothing failed.
func TestProcessesServeAndStop(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "fennel-standin")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", bin, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	for path, args := range map[string][]string{
		engine.StatePath: {"engine", "--vm", "vm-1", "--checks-fence", "--max-gap", "200ms"},
		"/bookings/7":    {"service"},
		platform.PathVMs: {"platform"},
		// The managed platform returns its configuration.
		"/-/kv-key?key=" + url.QueryEscape(managed.ConfigKey): {"managed"},
	} {
		cmd := exec.Command(bin, args...)
		stdout, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		lines := bufio.NewScanner(stdout)
		require.True(t, lines.Scan())
		addr := regexp.MustCompile(`addr=(\S+)`).FindStringSubmatch(lines.Text())
		require.Len(t, addr, 2, lines.Text())
		resp, err := http.Get("http://" + addr[1] + path)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
		var rest []string
		for lines.Scan() {
			rest = append(rest, lines.Text())
		}
		require.NoError(t, cmd.Wait())
		require.Contains(t, strings.Join(rest, "\n"), "stopped")
	}
}

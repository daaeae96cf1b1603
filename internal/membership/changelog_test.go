package membership

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// When hundreds of nodes start, a node must not log one line for each of the others.
func TestManyChangesAreLoggedInOneLine(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	var changes changeLog
	for i := range 116 {
		changes.record([]Change{{Member: Member{Node: cluster.NodeID(fmt.Sprintf("node-%d", i)), Status: Alive}}}, log)
	}
	changes.record([]Change{{Member: Member{Node: "lost", Status: Dead}, From: Suspect}}, log)
	changes.flush(log)
	changes.flush(log)
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), "node-0,")
	require.Contains(t, out.String(), "108 more")
	require.Contains(t, out.String(), "dead=lost")
}

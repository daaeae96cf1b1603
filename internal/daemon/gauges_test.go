package daemon

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
)

// A node that does not observe its zone must not show a zero: a graph over it
// would say that no replica was ever down.
func TestOutageGaugesOnlyFromObservers(t *testing.T) {
	shown := func(l *ledgerDuty) string {
		set, text := metrics.NewSet(), &strings.Builder{}
		l.gauges(set)
		set.WritePrometheus(text)
		return text.String()
	}
	seen := map[cluster.ReplicaID]seenReplica{"a": {group: "fit"}, "b": {group: "fit", down: true}, "c": {group: "balcao"}}
	l := &ledgerDuty{down: downByGroup(seen), stranded: map[strandedKey]int{{"fit", causeNotWhole}: 3, {"", causeUnassigned}: 1}}
	require.Empty(t, shown(l))
	l.keeper = &ledger.Writer{}
	require.Equal(t, `fennel_ledger_down_replicas{group="balcao"} 0
fennel_ledger_down_replicas{group="fit"} 1
fennel_ledger_stranded_accelerators{group="",cause="unassigned"} 1
fennel_ledger_stranded_accelerators{group="fit",cause="not-whole"} 3
`, shown(l))
}

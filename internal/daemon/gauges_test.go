package daemon

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
)

// A node that does not observe its zone must not export a zero: a graph of it would show
// that no replica was ever down.
func TestOnlyObserversExportOutageGauges(t *testing.T) {
	render := func(o *outageObserver) string {
		set, text := metrics.NewSet(), &strings.Builder{}
		o.addGauges(set)
		set.WritePrometheus(text)
		return text.String()
	}
	replicas := map[cluster.ReplicaID]replicaState{"a": {group: "fit"}, "b": {group: "fit", down: true}, "c": {group: "balcao"}}
	o := &outageObserver{down: downByGroup(replicas), reportedStranded: map[strandedKey]int{{"fit", causeUnhealthy}: 3, {"", causeUnassigned}: 1}}
	require.Empty(t, render(o))
	o.keeper = &ledger.Writer{}
	require.Equal(t, `fennel_ledger_down_replicas{group="balcao"} 0
fennel_ledger_down_replicas{group="fit"} 1
fennel_ledger_stranded_accelerators{group="",cause="unassigned"} 1
fennel_ledger_stranded_accelerators{group="fit",cause="not-whole"} 3
`, render(o))
}

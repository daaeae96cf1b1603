package daemon

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// writeGauges writes the levels of now, which are worked out when they are asked
// for. What this node does not observe is left out: a zero would say that all is
// well where nobody looked.
func (n *Node) writeGauges(w io.Writer) {
	set := metrics.NewSet()
	n.ledger.gauges(set)
	set.GetOrCreateGauge(`fennel_membership_superseded`, nil).Set(asGauge(n.members.Superseded()))
	for _, t := range n.admission.Statuses() {
		set.GetOrCreateGauge(fmt.Sprintf(`fennel_admission_running_requests{team=%q}`, t.Team), nil).Set(float64(t.Running))
		set.GetOrCreateGauge(fmt.Sprintf(`fennel_admission_waiting_requests{team=%q}`, t.Team), nil).Set(float64(t.Waiting))
	}
	set.WritePrometheus(w)
}

func asGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// gauges adds the brief's two measures, as last told to the ledger.
func (l *ledgerDuty) gauges(set *metrics.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keeper == nil {
		return
	}
	for group, down := range l.down {
		set.GetOrCreateGauge(fmt.Sprintf(`fennel_ledger_down_replicas{group=%q}`, group), nil).Set(float64(down))
	}
	for key, count := range l.stranded {
		set.GetOrCreateGauge(fmt.Sprintf(`fennel_ledger_stranded_accelerators{group=%q,cause=%q}`, key.group, key.cause), nil).Set(float64(count))
	}
}

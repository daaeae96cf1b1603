package daemon

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// writeGauges writes the gauges, which are computed at each scrape. Values that this node
// does not observe are omitted: a zero would claim that nothing is wrong.
func (n *Node) writeGauges(w io.Writer) {
	set := metrics.NewSet()
	n.outages.addGauges(set)
	set.GetOrCreateGauge(`fennel_membership_superseded`, nil).Set(boolGauge(n.members.Superseded()))
	for _, t := range n.admission.Statuses() {
		set.GetOrCreateGauge(fmt.Sprintf(`fennel_admission_running_requests{team=%q}`, t.Team), nil).Set(float64(t.Running))
		set.GetOrCreateGauge(fmt.Sprintf(`fennel_admission_waiting_requests{team=%q}`, t.Team), nil).Set(float64(t.Waiting))
	}
	set.WritePrometheus(w)
}

func boolGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// addGauges adds group downtime and stranded accelerators as last reported to the ledger.
func (o *outageObserver) addGauges(set *metrics.Set) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.keeper == nil {
		return
	}
	for group, down := range o.down {
		set.GetOrCreateGauge(fmt.Sprintf(`fennel_ledger_down_replicas{group=%q}`, group), nil).Set(float64(down))
	}
	for key, count := range o.reportedStranded {
		set.GetOrCreateGauge(fmt.Sprintf(`fennel_ledger_stranded_accelerators{group=%q,cause=%q}`, key.group, key.cause), nil).Set(float64(count))
	}
}

package entry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// writeGauges writes the gauges of the calls in progress, which are computed at each scrape. All are 0
// while the node has none.
func (n *Node) writeGauges(w io.Writer) {
	open, outstanding := 0, 0
	n.open.Range(func(any, any) bool { open++; return true })
	for _, count := range n.table.Outstanding() {
		outstanding += count
	}
	set := metrics.NewSet()
	for name, value := range map[string]int{
		"fennel_entry_open_calls":             open,
		"fennel_relay_running_attempts":       n.relay.Running(),
		"fennel_relay_limited_requests":       n.relay.Limited(),
		"fennel_routing_outstanding_requests": outstanding,
	} {
		set.GetOrCreateGauge(name, nil).Set(float64(value))
	}
	set.WritePrometheus(w)
}

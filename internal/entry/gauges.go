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
	set.NewGauge("fennel_entry_open_calls", nil).Set(float64(open))
	set.NewGauge("fennel_relay_running_attempts", nil).Set(float64(n.relay.Running()))
	set.NewGauge("fennel_relay_limited_requests", nil).Set(float64(n.relay.Limited()))
	set.NewGauge("fennel_routing_outstanding_requests", nil).Set(float64(outstanding))
	set.WritePrometheus(w)
}

package operator

import (
	"fmt"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// AddReport adds a zone's report to a response. Unobserved time is added as
// separate intervals, so that it cannot be mistaken for uptime.
func AddReport(out *wirepb.OutagesResponse, zone cluster.ZoneID, report *ledger.Report) {
	for i, s := range report.Unobserved {
		out.Intervals = append(out.Intervals, &wirepb.OutageInterval{Id: fmt.Sprintf("unobserved/%s/%d", zone, i), Zone: string(zone), Measure: string(ledger.Unobserved),
			FromUnixMs: s.From.UnixMilli(), ToUnixMs: s.To.UnixMilli(), Cause: "no-observer"})
	}
	for i := range report.Intervals {
		out.Intervals = append(out.Intervals, outageInterval(zone, &report.Intervals[i]))
	}
	out.Totals = append(out.Totals, outageTotals(zone, report)...)
}

// outageTotals returns the report's sums and the total unobserved time.
func outageTotals(zone cluster.ZoneID, report *ledger.Report) []*wirepb.OutageTotal {
	unobserved := 0.0
	for _, s := range report.Unobserved {
		unobserved += s.To.Sub(s.From).Seconds()
	}
	out := []*wirepb.OutageTotal{{Zone: string(zone), Measure: string(ledger.Unobserved), LowSeconds: unobserved, HighSeconds: unobserved}}
	for _, r := range report.Rows {
		out = append(out, &wirepb.OutageTotal{Zone: string(zone), Group: string(r.Group), Measure: string(r.Measure), Cause: string(r.Cause),
			LowSeconds: r.Low, HighSeconds: r.High})
	}
	return out
}

func outageInterval(zone cluster.ZoneID, v *ledger.View) *wirepb.OutageInterval {
	return &wirepb.OutageInterval{Id: v.ID, Zone: string(zone), Group: string(v.Group), Replica: string(v.Replica), Measure: string(v.Measure),
		FromUnixMs: v.From.UnixMilli(), ToUnixMs: v.To.UnixMilli(), Cause: string(v.Cause), Observer: string(v.Observer),
		Evidence: v.Evidence, Accelerators: int32(v.Accelerators), Corrects: v.Corrects}
}

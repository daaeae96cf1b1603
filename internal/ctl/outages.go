package ctl

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

const outagesHelp = `Times are dates (2026-11-01, meaning midnight UTC) or RFC 3339 (2026-11-01T08:00:00Z).
Time that no node observed is shown as "unobserved", never as up or down.
An outage that two nodes observed has two lines. The totals below count it once and
show a lower and an upper bound where the observers disagree.

EXAMPLES
  fennelctl outages --from 2026-11-01 --to 2026-12-01
  fennelctl outages --from 2026-11-01 --to 2026-12-01 --zone serra-a --json`

func (a *app) outagesCommand() *ff.Command {
	fs := a.subFlags("outages")
	from := fs.String(0, "from", "", "TIME at which the period starts")
	to := fs.String(0, "to", "", "TIME at which the period ends; now if not given")
	zone := fs.String(0, "zone", "", "ZONE to show; all if not given")
	return &ff.Command{
		Name:      "outages",
		Usage:     "fennelctl outages --from TIME [--to TIME] [--zone ZONE]",
		ShortHelp: "print the outage ledger for a period",
		LongHelp:  outagesHelp,
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			req, err := outagesRequest(*from, *to, *zone, time.Now())
			if err != nil {
				return err
			}
			all, err := a.newClients()
			if err != nil {
				return err
			}
			res, err := call(ctx, all, wirepbconnect.OperatorServiceClient.Outages, req)
			if err != nil {
				return err
			}
			return a.printOutages(res)
		},
	}
}

func outagesRequest(from, to, zone string, now time.Time) (*wirepb.OutagesRequest, error) {
	start, err := parseTime("--from", from)
	if err != nil {
		return nil, err
	}
	end := now
	if to != "" {
		if end, err = parseTime("--to", to); err != nil {
			return nil, err
		}
	}
	if !end.After(start) {
		return nil, usageError("--to: found %s, want a time after --from", end.Format(time.RFC3339))
	}
	return &wirepb.OutagesRequest{FromUnixMs: start.UnixMilli(), ToUnixMs: end.UnixMilli(), Zone: zone}, nil
}

func parseTime(flag, value string) (time.Time, error) {
	for _, layout := range []string{time.DateOnly, time.RFC3339} {
		if t, err := time.Parse(layout, value); err == nil {
			return t, nil
		}
	}
	return time.Time{}, usageError("%s: found %q, want a time such as 2026-11-01 or 2026-11-01T08:00:00Z", flag, value)
}

type outageJSON struct {
	ID           string `json:"id"`
	Zone         string `json:"zone"`
	Group        string `json:"group"`
	Replica      string `json:"replica"`
	Measure      string `json:"measure"`
	From         string `json:"from"`
	To           string `json:"to"`
	Seconds      int64  `json:"seconds"`
	Accelerators int32  `json:"accelerators"`
	Cause        string `json:"cause"`
	Observer     string `json:"observer"`
	Evidence     string `json:"evidence"`
	Corrects     string `json:"corrects,omitempty"`
}

// outagesJSON is the output of --json. An outage that two nodes observed has two
// intervals; only the totals count it once.
type outagesJSON struct {
	Totals    []totalJSON  `json:"totals"`
	Intervals []outageJSON `json:"intervals"`
}

type totalJSON struct {
	Zone    string `json:"zone"`
	Group   string `json:"group"`
	Measure string `json:"measure"`
	// Cause is empty in the total over all causes.
	Cause       string  `json:"cause"`
	LowSeconds  float64 `json:"low_seconds"`
	HighSeconds float64 `json:"high_seconds"`
}

func (a *app) printOutages(res *wirepb.OutagesResponse) error {
	intervals := res.GetIntervals()
	list := make([]outageJSON, 0, len(intervals))
	rows := [][]string{{"FROM", "TO", "LENGTH", "MEASURE", "ZONE", "GROUP", "REPLICA", "ACCELERATORS", "CAUSE", "OBSERVER", "CORRECTS"}}
	for _, i := range intervals {
		length := time.Duration(i.GetToUnixMs()-i.GetFromUnixMs()) * time.Millisecond
		o := outageJSON{
			ID: i.GetId(), Zone: i.GetZone(), Group: i.GetGroup(), Replica: i.GetReplica(), Measure: i.GetMeasure(),
			From: timestamp(i.GetFromUnixMs()), To: timestamp(i.GetToUnixMs()), Seconds: int64(length / time.Second),
			Accelerators: i.GetAccelerators(), Cause: i.GetCause(), Observer: i.GetObserver(), Evidence: i.GetEvidence(), Corrects: i.GetCorrects(),
		}
		list = append(list, o)
		rows = append(rows, []string{o.From, o.To, length.Round(time.Second).String(), o.Measure, o.Zone, o.Group, o.Replica, fmt.Sprint(o.Accelerators), o.Cause, o.Observer, o.Corrects})
	}
	if a.json {
		return a.printJSON(outagesJSON{Totals: totalsOf(res), Intervals: list})
	}
	a.table(rows)
	a.printTotals(totalsOf(res))
	return nil
}

func totalsOf(res *wirepb.OutagesResponse) []totalJSON {
	out := make([]totalJSON, 0, len(res.GetTotals()))
	for _, t := range res.GetTotals() {
		out = append(out, totalJSON{Zone: t.GetZone(), Group: t.GetGroup(), Measure: t.GetMeasure(), Cause: t.GetCause(),
			LowSeconds: t.GetLowSeconds(), HighSeconds: t.GetHighSeconds()})
	}
	return out
}

// printTotals prints one value where the observers agree, and otherwise both bounds.
func (a *app) printTotals(totals []totalJSON) {
	rows := [][]string{{"ZONE", "GROUP", "MEASURE", "CAUSE", "TOTAL (replica, accelerator or clock time)"}}
	for _, t := range totals {
		low, high := seconds(t.LowSeconds), seconds(t.HighSeconds)
		length := low.String()
		if low != high {
			length = low.String() + " to " + high.String()
		}
		rows = append(rows, []string{t.Zone, cmp.Or(t.Group, "-"), t.Measure, cmp.Or(t.Cause, "all"), length})
	}
	printf(a.out, "\n")
	a.table(rows)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Second)
}

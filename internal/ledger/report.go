package ledger

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Report is the outage report of one zone for a period.
type Report struct {
	Zone cluster.ZoneID `json:"zone"`
	From time.Time      `json:"from"`
	To   time.Time      `json:"to"`
	// Unobserved is the time that no observer covered. It is not part of the rows.
	Unobserved []Span `json:"unobserved,omitempty"`
	Rows       []Row  `json:"rows,omitempty"`
	// Intervals has the views of all observers. A correction follows the view that it
	// corrects.
	Intervals []View `json:"intervals,omitempty"`
}

// Row is the total of one measure for one group: replica seconds of downtime or
// accelerator seconds stranded. At each moment Low counts the lowest level reported by
// the observers that covered it, and High the highest. An empty Cause is the total over
// all causes.
type Row struct {
	Group   cluster.GroupName `json:"group"`
	Measure Measure           `json:"measure"`
	Cause   Cause             `json:"cause,omitempty"`
	Low     float64           `json:"low_seconds"`
	High    float64           `json:"high_seconds"`
}

// View is an interval as reported by one observer, joined from its pieces.
type View struct {
	Interval
	Observer cluster.NodeID `json:"observer"`
	// CorrectedBy is the ID of the correction that replaces the view in the totals.
	CorrectedBy string `json:"corrected_by,omitempty"`
	// Corrects, Author and Reason are set on a correction.
	Corrects string `json:"corrects,omitempty"`
	Author   string `json:"author,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// BuildReport makes the report of a zone from its corrections and the windows of all its
// observers. Windows may be duplicated and in any order: pieces are joined by their
// root and covered spans are merged, so nothing counts twice.
func BuildReport(zone cluster.ZoneID, from, to time.Time, windows []Window, corrections []Correction) Report {
	period := Span{from, to}
	coverage := coverageOf(windows, period)
	views := applyCorrections(viewsOf(windows), corrections)
	rep := Report{Zone: zone, From: from, To: to, Unobserved: uncovered(coverage, period)}
	for _, v := range views {
		if clipped, ok := clip(Span{v.From, v.To}, period); ok {
			v.From, v.To = clipped.From, clipped.To
			rep.Intervals = append(rep.Intervals, v)
		}
	}
	rep.Rows = sumRows(rep.Intervals, coverage)
	return rep
}

func coverageOf(windows []Window, period Span) map[cluster.NodeID][]Span {
	out := make(map[cluster.NodeID][]Span)
	for _, w := range windows {
		for _, s := range w.Covered {
			if c, ok := clip(s, period); ok {
				out[w.Observer] = append(out[w.Observer], c)
			}
		}
	}
	for observer, spans := range out {
		out[observer] = mergeSpans(spans)
	}
	return out
}

// mergeSpans sorts the spans and merges those that overlap or touch.
func mergeSpans(spans []Span) []Span {
	slices.SortFunc(spans, func(a, b Span) int { return a.From.Compare(b.From) })
	var out []Span
	for _, s := range spans {
		if n := len(out); n > 0 && !s.From.After(out[n-1].To) {
			out[n-1].To = laterOf(out[n-1].To, s.To)
			continue
		}
		out = append(out, s)
	}
	return out
}

func clip(s, period Span) (Span, bool) {
	s.From = laterOf(s.From, period.From)
	if s.To.After(period.To) {
		s.To = period.To
	}
	return s, s.To.After(s.From)
}

// viewsOf joins adjacent pieces of the same interval.
func viewsOf(windows []Window) []View {
	var pieces []View
	for _, w := range windows {
		for _, i := range w.Intervals {
			pieces = append(pieces, View{Interval: i, Observer: w.Observer})
		}
	}
	slices.SortFunc(pieces, func(a, b View) int {
		return cmp.Or(cmp.Compare(a.Root, b.Root), a.From.Compare(b.From))
	})
	var out []View
	for _, p := range pieces {
		if n := len(out); n > 0 && out[n-1].Root == p.Root && !p.From.After(out[n-1].To) {
			out[n-1].To = laterOf(out[n-1].To, p.To)
			continue
		}
		out = append(out, p)
	}
	slices.SortStableFunc(out, func(a, b View) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(a.Observer, b.Observer), cmp.Compare(a.Root, b.Root))
	})
	return out
}

// applyCorrections marks the corrected views and adds one view for each correction in
// force, which is the newest correction of an interval.
func applyCorrections(views []View, corrections []Correction) []View {
	newest := make(map[string]Correction)
	for _, c := range corrections {
		if have, ok := newest[c.Corrects]; !ok || cmp.Or(c.At.Compare(have.At), cmp.Compare(c.ID, have.ID)) > 0 {
			newest[c.Corrects] = c
		}
	}
	var out []View
	added := make(map[string]bool)
	for _, v := range views {
		c, ok := newest[v.Root]
		if ok {
			v.CorrectedBy = c.ID
		}
		out = append(out, v)
		if ok && !added[v.Root] {
			added[v.Root] = true
			out = append(out, c.view(v))
		}
	}
	return out
}

func (c Correction) view(of View) View {
	v := of
	v.ID, v.Corrects, v.CorrectedBy = c.ID, c.Corrects, ""
	v.From, v.To, v.Author, v.Reason = c.From, c.To, c.Author, c.Reason
	if c.Cause != "" {
		v.Cause = c.Cause
	}
	return v
}

// uncovered returns the parts of the period that no observer covered.
func uncovered(coverage map[cluster.NodeID][]Span, period Span) []Span {
	var all []Span
	for _, spans := range coverage {
		all = append(all, spans...)
	}
	var out []Span
	at := period.From
	for _, s := range mergeSpans(all) {
		if s.From.After(at) {
			out = append(out, Span{at, s.From})
		}
		at = laterOf(at, s.To)
	}
	if period.To.After(at) {
		out = append(out, Span{at, period.To})
	}
	return out
}

// sumRows sums the views by group, measure and cause, and over all causes. The bounds
// are computed for each replica separately and then added.
func sumRows(views []View, coverage map[cluster.NodeID][]Span) []Row {
	type rowKey struct {
		measure Measure
		group   cluster.GroupName
		cause   Cause
	}
	type subjectKey struct {
		row     rowKey
		replica cluster.ReplicaID
	}
	bySubject := make(map[subjectKey][]View)
	for _, v := range views {
		if v.CorrectedBy != "" {
			continue
		}
		for _, cause := range slices.Compact([]Cause{"", v.Cause}) {
			k := subjectKey{rowKey{v.Measure, v.Group, cause}, v.Replica}
			bySubject[k] = append(bySubject[k], v)
		}
	}
	rows := make(map[rowKey]Row)
	for k, subjectViews := range bySubject {
		low, high := integrateLevels(subjectViews, coverage)
		row := rows[k.row]
		row.Group, row.Measure, row.Cause = k.row.group, k.row.measure, k.row.cause
		row.Low += low
		row.High += high
		rows[k.row] = row
	}
	return slices.SortedFunc(maps.Values(rows), func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Measure, b.Measure), cmp.Compare(a.Cause, b.Cause))
	})
}

// integrateLevels integrates the lowest and the highest level that the covering
// observers report. Levels are constant between the points where a view or a covered
// span begins or ends.
func integrateLevels(views []View, coverage map[cluster.NodeID][]Span) (low, high float64) {
	var points []time.Time
	for _, v := range views {
		points = append(points, v.From, v.To)
	}
	for _, spans := range coverage {
		for _, s := range spans {
			points = append(points, s.From, s.To)
		}
	}
	slices.SortFunc(points, time.Time.Compare)
	for i := 1; i < len(points); i++ {
		length := points[i].Sub(points[i-1]).Seconds()
		if length == 0 {
			continue
		}
		lowest, highest := levelsAt(points[i-1], views, coverage)
		low += length * float64(lowest)
		high += length * float64(highest)
	}
	return low, high
}

func levelsAt(at time.Time, views []View, coverage map[cluster.NodeID][]Span) (lowest, highest int) {
	levels := make(map[cluster.NodeID]int)
	for observer, spans := range coverage {
		if slices.ContainsFunc(spans, func(s Span) bool { return s.contains(at) }) {
			levels[observer] = 0
		}
	}
	for _, v := range views {
		if (Span{v.From, v.To}).contains(at) {
			levels[v.Observer] = v.addTo(levels[v.Observer])
		}
	}
	first := true
	for _, l := range levels {
		if first || l < lowest {
			lowest = l
		}
		highest = max(highest, l)
		first = false
	}
	return lowest, highest
}

func (s Span) contains(at time.Time) bool { return !at.Before(s.From) && at.Before(s.To) }

// addTo adds the view to an observer's level. Accelerators are summed over causes; a
// replica that is down counts once, regardless of the number of causes.
func (v View) addTo(level int) int {
	if v.Measure == Stranded {
		return level + v.Accelerators
	}
	return 1
}

// WriteTable writes the report as a text table.
func (r Report) WriteTable(out io.Writer) error {
	var unobserved time.Duration
	for _, s := range r.Unobserved {
		unobserved += s.To.Sub(s.From)
	}
	_, err := fmt.Fprintf(out, "zone %s  from %s  to %s\nunobserved  %s\n",
		r.Zone, r.From.UTC().Format(time.RFC3339), r.To.UTC().Format(time.RFC3339), unobserved)
	if err != nil {
		return err
	}
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "GROUP\tMEASURE\tCAUSE\tAGREED\tCLAIMED")
	for _, row := range r.Rows {
		cause := row.Cause
		if cause == "" {
			cause = "(all)"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", row.Group, row.Measure, cause, seconds(row.Low), seconds(row.High))
	}
	return tw.Flush()
}

func seconds(s float64) string { return time.Duration(s * float64(time.Second)).String() }

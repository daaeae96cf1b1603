package losses

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Counts counts calls by outcome and losses by cause.
type Counts struct {
	Calls    int             `json:"calls"`
	Outcomes map[Outcome]int `json:"outcomes"`
	Causes   map[Cause]int   `json:"causes"`
}

func newCounts() *Counts {
	return &Counts{Outcomes: make(map[Outcome]int), Causes: make(map[Cause]int)}
}

func (c *Counts) add(call Call) {
	c.Calls++
	c.Outcomes[call.Outcome]++
	if call.Cause != "" {
		c.Causes[call.Cause]++
	}
}

// Window counts the calls that arrived in one interval of the log.
type Window struct {
	From time.Time `json:"from"`
	*Counts
	// Inventory is the last one logged in the window; nil if there is none.
	Inventory *Inventory `json:"inventory,omitempty"`
}

// Report counts calls in total, by group, by zone and by window.
type Report struct {
	All     *Counts            `json:"all"`
	Groups  map[string]*Counts `json:"groups"`
	Zones   map[string]*Counts `json:"zones"`
	Windows []Window           `json:"windows"`
	// Every is the length of each window.
	Every time.Duration `json:"-"`
}

// Calls returns the calls with their outcomes and causes, in order of arrival.
func (l *Log) Calls() []Call {
	out := make([]Call, 0, len(l.calls))
	for _, c := range l.calls {
		outcome, cause := c.classify()
		out = append(out, Call{Request: c.request, Node: c.node, Zone: c.zone, Group: c.group, At: c.at, Outcome: outcome, Cause: cause})
	}
	slices.SortStableFunc(out, func(a, b Call) int { return a.At.Compare(b.At) })
	return out
}

// Report summarizes the calls in windows of the given length.
func (l *Log) Report(every time.Duration) *Report {
	r := &Report{All: newCounts(), Groups: make(map[string]*Counts), Zones: make(map[string]*Counts), Every: every}
	windows := make(map[time.Time]*Window)
	for _, call := range l.Calls() {
		from := call.At.Truncate(every)
		if windows[from] == nil {
			windows[from] = &Window{From: from, Counts: newCounts()}
		}
		for _, c := range []*Counts{r.All, countsFor(r.Groups, call.Group), countsFor(r.Zones, call.Zone), windows[from].Counts} {
			c.add(call)
		}
	}
	for i := range l.inventories {
		if w := windows[l.inventories[i].At.Truncate(every)]; w != nil {
			w.Inventory = &l.inventories[i]
		}
	}
	for _, from := range slices.SortedFunc(maps.Keys(windows), time.Time.Compare) {
		r.Windows = append(r.Windows, *windows[from])
	}
	return r
}

// countsFor returns the counts of a name, and creates them if needed.
func countsFor(byName map[string]*Counts, name string) *Counts {
	if byName[name] == nil {
		byName[name] = newCounts()
	}
	return byName[name]
}

// CausesByCount returns the causes that occur, the most frequent first.
func (c *Counts) CausesByCount() []Cause {
	seen := slices.DeleteFunc(Causes(), func(cause Cause) bool { return c.Causes[cause] == 0 })
	slices.SortStableFunc(seen, func(a, b Cause) int { return cmp.Compare(c.Causes[b], c.Causes[a]) })
	return seen
}

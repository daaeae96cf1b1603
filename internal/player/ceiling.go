package player

import (
	"time"
)

// Goodput is, for the calls of one model sent in some time, how much of their work could
// have been done on time, and how much was. All are in replicas that the work keeps busy.
type Goodput struct {
	Model string
	// Demand is the work of all calls, each counted once.
	Demand float64
	// Capacity is how many replicas served meanwhile.
	Capacity float64
	// OnTime is the work of the calls that were answered on time.
	OnTime float64
}

// Share is the part of what the standing replicas could have done on time that was.
func (c Goodput) Share() float64 {
	best := min(c.Demand, c.Capacity)
	if best <= 0 {
		return 1
	}
	return c.OnTime / best
}

// Goodput reckons what the calls sent from a moment until another asked, and what was
// there for them, by model, from the engines' published figures.
func (r *Result) Goodput(from, until time.Duration) []Goodput {
	var out []Goodput
	for _, m := range r.Scenario.Models {
		c := Goodput{Model: m.Name, Capacity: r.meanServing(m, from, until)}
		for _, f := range r.Calls {
			if f.SentAt < from || f.SentAt >= until || r.kindByName(f.Kind).Model != m.Name {
				continue
			}
			work := f.Work.Seconds() / (until - from).Seconds()
			c.Demand += work
			if f.Outcome == OnTime {
				c.OnTime += work
			}
		}
		out = append(out, c)
	}
	return out
}

// meanServing is the mean number of the model's replicas that served.
func (r *Result) meanServing(m Model, from, until time.Duration) float64 {
	sum, n := 0.0, 0
	for _, t := range r.VMSamples {
		if t.At >= from && t.At <= until {
			sum += float64(t.Serving[m.Name]) / float64(m.VMs)
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// ServableShare is the part of the work asked that all live VMs could do if each stood where
// it is needed; 1 is all of it.
func (r *Result) ServableShare(from, until time.Duration) float64 {
	live, n := 0.0, 0
	for _, t := range r.VMSamples {
		if t.At >= from && t.At <= until {
			live += float64(t.Live)
			n++
		}
	}
	asked := 0.0 // in VMs
	for i, c := range r.Goodput(from, until) {
		asked += c.Demand * float64(r.Scenario.Models[i].VMs)
	}
	if asked <= 0 || n == 0 {
		return 1
	}
	return min(1, live/float64(n)/asked)
}

package player

import (
	"time"
)

// Goodput compares the work done on time for the calls to one model in an interval with
// the work that could have been. All values are in replicas kept fully busy.
type Goodput struct {
	Model string
	// Demand is the work of all calls, each counted once however often it was tried.
	Demand float64
	// Capacity is the mean number of replicas that were serving.
	Capacity float64
	// OnTime is the work of the calls that were answered on time.
	OnTime float64
}

// Share returns OnTime as a fraction of what the serving replicas could have done, the
// lesser of Demand and Capacity.
func (g Goodput) Share() float64 {
	attainable := min(g.Demand, g.Capacity)
	if attainable <= 0 {
		return 1
	}
	return g.OnTime / attainable
}

// Goodput returns, by model, the goodput for the calls sent between two moments, computed
// from the engines' published figures.
func (r *Result) Goodput(from, until time.Duration) []Goodput {
	var out []Goodput
	for _, m := range r.Scenario.Models {
		g := Goodput{Model: m.Name, Capacity: r.meanServing(m, from, until)}
		for _, c := range r.Calls {
			if c.SentAt < from || c.SentAt >= until || r.kindByName(c.Kind).Model != m.Name {
				continue
			}
			work := c.Work.Seconds() / (until - from).Seconds()
			g.Demand += work
			if c.Outcome == OnTime {
				g.OnTime += work
			}
		}
		out = append(out, g)
	}
	return out
}

// meanServing returns the mean number of the model's replicas that were serving.
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

// ServableShare returns the fraction of the demanded work that all live VMs could do if
// each were assigned to the model that needs it; 1 means all of it.
func (r *Result) ServableShare(from, until time.Duration) float64 {
	live, n := 0.0, 0
	for _, t := range r.VMSamples {
		if t.At >= from && t.At <= until {
			live += float64(t.Live)
			n++
		}
	}
	demand := 0.0 // in VMs
	for i, g := range r.Goodput(from, until) {
		demand += g.Demand * float64(r.Scenario.Models[i].VMs)
	}
	if demand <= 0 || n == 0 {
		return 1
	}
	return min(1, live/float64(n)/demand)
}

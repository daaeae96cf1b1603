package player

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

// Result holds the results of all calls and samples of the VMs' states.
type Result struct {
	Scenario *Scenario
	// Start is when the load began.
	Start time.Time
	Calls []CallResult
	// VMSamples are taken every second.
	VMSamples []VMSample
	// Violations are broken invariants of replicas; each is a bug in the nodes' decisions.
	Violations []string
	// ModelLoads is the number of model loads that VMs started.
	ModelLoads int
	// CrashDeliveries and Crashes are when requests that crash servers reached one, and when
	// they crashed it.
	CrashDeliveries, Crashes []time.Time
	// LimitedServers counts the servers that named a rate limit. LimitExcess is by how many
	// requests one of them got more in a window than its limit and its tolerance allow, at
	// most; negative if all got fewer.
	LimitedServers, LimitExcess int
	// ColdServers counts the VMs that got requests while they were cold, MostOnColdServer is
	// the largest number that one of them got within a second.
	ColdServers, MostOnColdServer int
	// MostInPushback is the largest number of requests that a node sent to a server which had asked
	// it for none. LatestToLeaving is how long after a server said that it shuts down a node last
	// sent it a request.
	MostInPushback int
	// HandOvers is how often a node offered a call to another, HandedOver the number of these calls.
	HandOvers, HandedOver int
	LatestToLeaving       time.Duration
}

// VMSample counts the VMs by state at one moment.
type VMSample struct {
	At time.Duration
	// Serving counts the VMs of serving replicas by model.
	Serving map[string]int
	// Live counts all VMs that are up. Those that neither serve nor join are Idle.
	Live, Joining, Idle int
}

// sampleVMs samples the VMs every second until ctx ends.
func (sys *Simulation) sampleVMs(ctx context.Context, res *Result) {
	start := time.Now()
	clock.Every(ctx, time.Second, func(now time.Time) {
		res.VMSamples = append(res.VMSamples, sys.world.countVMs(now.Sub(start)))
	})
}

func (w *world) countVMs(at time.Duration) VMSample {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := VMSample{At: at, Serving: make(map[string]int)}
	for _, v := range w.vms {
		if v.dead {
			continue
		}
		t.Live++
		m := v.entry.Membership
		switch {
		case m == nil:
			t.Idle++
		case w.serving(v):
			t.Serving[v.model]++
		case m.State == fleet.Joining || m.State == fleet.Ready:
			t.Joining++
		default:
			t.Idle++
		}
	}
	return t
}

// serving reports whether the VM's replica is open and not stalled.
func (w *world) serving(v *vm) bool {
	h := w.vms[v.members[0]]
	return h != nil && !h.dead && h.epoch == v.epoch && h.head != nil && h.head.stalledSince.IsZero() &&
		h.entry.Membership != nil && h.entry.Membership.State == fleet.Open
}

func (r *Result) collect(sys *Simulation) {
	r.Calls = sys.callers.results
	slices.SortFunc(r.Calls, func(a, b CallResult) int { return int(a.SentAt - b.SentAt) })
	r.Violations = sys.world.violations
	r.ModelLoads = sys.world.loads
	r.ColdServers, r.MostOnColdServer = sys.world.mostOnColdVM()
	r.LimitedServers, r.LimitExcess = sys.world.limitExcess()
	r.HandedOver = len(sys.handOvers)
	for _, offers := range sys.handOvers {
		r.HandOvers += offers
	}
	r.MostInPushback, r.LatestToLeaving = sys.world.requestsAgainstSignals()
	r.CrashDeliveries, r.Crashes = sys.world.crashDeliveries, sys.world.crashes
}

// KindSummary summarizes the calls of one kind, or of all kinds. OnTime, Late, Refused and
// Failed are fractions of Calls.
type KindSummary struct {
	Kind                          string
	Calls                         int
	OnTime, Late, Refused, Failed float64
	// ValueShare is the value earned as a fraction of the value of answering every call
	// on time.
	ValueShare float64
	// FirstP50 and FirstP99 are percentiles of the time to the first piece.
	FirstP50, FirstP99 time.Duration
}

// Summaries summarizes the calls sent between two moments, one entry per kind and a last
// one for all calls.
func (r *Result) Summaries(from, until time.Duration) []KindSummary {
	var out []KindSummary
	for _, k := range r.Scenario.Kinds {
		out = append(out, r.summarizeKind(k.Name, from, until))
	}
	return append(out, r.summarizeKind("", from, until))
}

// summarizeKind summarizes the calls of a kind, or all calls if the name is empty.
func (r *Result) summarizeKind(kind string, from, until time.Duration) KindSummary {
	row := KindSummary{Kind: kind}
	if kind == "" {
		row.Kind = "all"
	}
	possible, earned := 0.0, 0.0
	var firsts []time.Duration
	for _, c := range r.Calls {
		if kind != "" && c.Kind != kind || c.SentAt < from || c.SentAt >= until {
			continue
		}
		k := r.kindByName(c.Kind)
		row.Calls++
		possible += k.Value
		if c.FirstPiece > 0 {
			firsts = append(firsts, c.FirstPiece)
		}
		switch c.Outcome {
		case OnTime:
			row.OnTime++
			earned += k.Value
		case Late:
			row.Late++
			earned += k.LateValue
		case Refused:
			row.Refused++
		case Failed:
			row.Failed++
		}
	}
	if row.Calls == 0 {
		return row
	}
	n := float64(row.Calls)
	row.OnTime, row.Late, row.Refused, row.Failed = row.OnTime/n, row.Late/n, row.Refused/n, row.Failed/n
	row.ValueShare = earned / possible
	slices.Sort(firsts)
	if len(firsts) > 0 {
		row.FirstP50, row.FirstP99 = firsts[len(firsts)/2], firsts[len(firsts)*99/100]
	}
	return row
}

// ModelOf returns the model of a kind of call.
func (r *Result) ModelOf(kind string) string { return r.kindByName(kind).Model }

func (r *Result) kindByName(name string) CallKind {
	at := slices.IndexFunc(r.Scenario.Kinds, func(k CallKind) bool { return k.Name == name })
	return r.Scenario.Kinds[at]
}

// Write prints the summaries as a table.
func (r *Result) Write(out io.Writer, from, until time.Duration) {
	fmt.Fprintf(out, "%-16s %6s %8s %6s %8s %7s %6s %9s %9s\n", "kind", "asked", "on time", "late", "refused", "failed", "worth", "p50", "p99")
	for _, row := range r.Summaries(from, until) {
		fmt.Fprintf(out, "%-16s %6d %8.3f %6.3f %8.3f %7.3f %6.3f %9s %9s\n", row.Kind, row.Calls, row.OnTime, row.Late, row.Refused, row.Failed, row.ValueShare,
			row.FirstP50.Round(time.Millisecond), row.FirstP99.Round(time.Millisecond))
	}
}

package lifecycle

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// quiescence identifies the input of a step after which there was nothing to do and nothing
// to wait for. A later step with the same input would have the same result and is skipped,
// so that an idle holder of thousands of VMs uses almost no processor time.
type quiescence struct {
	// listChanged is List.Changed of the input; zero when there is work pending.
	listChanged    int64
	rules          *rules.Set
	unmeteredLoads bool
	// workKnown is set once the work by model is known; until then there is no time at which
	// the policy compares it with the replicas.
	workKnown bool
	// until is when the policy has to run again; zero if it need not.
	until time.Time
}

func newQuiescence(in Input, until time.Time) quiescence {
	return quiescence{listChanged: in.List.Version, rules: in.Rules, unmeteredLoads: in.UnmeteredLoads, workKnown: in.Work != nil, until: until}
}

// appliesTo reports whether a step with this input would have the same result.
func (q quiescence) appliesTo(in Input) bool {
	if q.listChanged == 0 || len(in.OrderResults)+len(in.Stalled)+len(in.Unresponsive)+len(in.RespondingUnlisted) > 0 {
		return false
	}
	if !q.until.IsZero() && !in.Now.Before(q.until) {
		return false
	}
	return q == newQuiescence(in, q.until)
}

// hasPendingWork reports whether anything is in progress whose result or timeout is still to
// come.
func (m *Machine) hasPendingWork() bool {
	return len(m.records)+len(m.loads.deadlines)+len(m.down)+len(m.unlistedVMs)+len(m.inFlight) > 0 ||
		len(m.out.SendOrders)+len(m.out.ProbeReplicas)+len(m.out.ProbeUnlisted) > 0
}

// AwaitsChanges reports whether VMs are expected to change their state soon.
func (m *Machine) AwaitsChanges() bool {
	return len(m.records)+len(m.loads.deadlines)+len(m.inFlight) > 0
}

// indexForming rebuilds formingByVM.
func (m *Machine) indexForming() {
	m.formingByVM = make(map[cluster.VMID]*formingReplica)
	for _, r := range m.records {
		if r.forming == nil {
			continue
		}
		for _, vm := range r.forming.replica.Members {
			m.formingByVM[vm] = r.forming
		}
	}
}

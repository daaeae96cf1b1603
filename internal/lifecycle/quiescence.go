package lifecycle

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// quiescence is what a step looked at that left nothing to do and nothing to wait for. As
// long as a later step looks at the same, it would find the same: on a calm day a holder
// of thousands of VMs does no work.
type quiescence struct {
	// changed is the list's; zero when there is something to do.
	changed   int64
	rules     *rules.Set
	freeLoads bool
	// until is when the policy wants to be asked again; zero for no wish.
	until time.Time
}

func quiescenceAt(in Input, until time.Time) quiescence {
	return quiescence{changed: in.List.Changed, rules: in.Rules, freeLoads: in.UnmeteredLoads, until: until}
}

// holds reports whether a step would find what the earlier one found.
func (q quiescence) holds(in Input) bool {
	if q.changed == 0 || len(in.OrderResults)+len(in.Stalled)+len(in.Unresponsive)+len(in.RespondingUnlisted) > 0 {
		return false
	}
	if !q.until.IsZero() && !in.Now.Before(q.until) {
		return false
	}
	return q == quiescenceAt(in, q.until)
}

// busy reports whether anything is under way whose outcome, or whose time, has to be
// watched.
func (m *Machine) busy() bool {
	return len(m.records)+len(m.loads.until)+len(m.down)+len(m.present)+len(m.inFlight) > 0 ||
		len(m.out.SendOrders)+len(m.out.ProbeReplicas)+len(m.out.ProbeUnlisted) > 0
}

// indexForming notes which replica each VM is being made a member of.
func (m *Machine) indexForming() {
	m.formingOfVM = make(map[cluster.VMID]*forming)
	for _, r := range m.records {
		if r.forming == nil {
			continue
		}
		for _, vm := range r.forming.replica.Members {
			m.formingOfVM[vm] = r.forming
		}
	}
}

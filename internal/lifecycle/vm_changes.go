package lifecycle

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

// vmObservation is a VM's state when the holder last saw it in the list.
type vmObservation struct {
	processStart time.Time
	membership   *fleet.Membership
	// unlistedAt is when the VM was first missing from the list; zero while it is listed.
	unlistedAt time.Time
	// observation is the value of Machine.observations when the VM was last listed.
	observation int64
}

// logVMChanges logs each VM that left the list, returned to it or was restarted, with the start
// time of its process, which shows whether a VM that returned is still the same process.
func (m *Machine) logVMChanges(list fleet.List, now time.Time) {
	m.observations++
	for i := range list.Servers {
		s := &list.Servers[i]
		previous, known := m.observedVMs[s.ID]
		switch {
		case !known && m.observedAt.IsZero():
		case !known:
			m.logVMChange("listed", s.ID, s.StartedAt, s.Membership, list, "draining", s.Draining)
		case !previous.unlistedAt.IsZero():
			m.logVMChange("listed-again", s.ID, s.StartedAt, s.Membership, list, "born_before", previous.processStart,
				"same_process", s.StartedAt.Equal(previous.processStart), "away", now.Sub(previous.unlistedAt))
		case !s.StartedAt.Equal(previous.processStart):
			m.logVMChange("restarted", s.ID, s.StartedAt, s.Membership, list, "born_before", previous.processStart)
		}
		m.observedVMs[s.ID] = vmObservation{processStart: s.StartedAt, membership: s.Membership, observation: m.observations}
	}
	for vm, s := range m.observedVMs {
		switch {
		case s.observation == m.observations:
		case s.unlistedAt.IsZero():
			s.unlistedAt = now
			m.observedVMs[vm] = s
			m.logVMChange("unlisted", vm, s.processStart, s.membership, list)
		case now.Sub(s.unlistedAt) > unlistedRetention:
			delete(m.observedVMs, vm)
		}
	}
	m.observedAt = now
}

func (m *Machine) logVMChange(change string, vm cluster.VMID, processStart time.Time, membership *fleet.Membership, list fleet.List, extra ...any) {
	replica, state := cluster.ReplicaID(""), fleet.State("")
	if membership != nil {
		replica, state = fleet.ReplicaID(membership.Replica, membership.Epoch), membership.State
	}
	fields := []any{"change", change, "vm", vm, "born", processStart, "replica", replica, "state", state, "list_revision", list.Revision}
	m.opts.Log.Info("vm", append(fields, extra...)...)
}

package lifecycle

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

// sighting is how the holder last saw a VM in the list.
type sighting struct {
	born       time.Time
	membership *fleet.Membership
	// unlistedAt is when the VM was first missing from the list; zero while it is there.
	unlistedAt time.Time
	// look is when it was last listed, as the number of the look.
	look int64
}

// logSightings writes a line for each VM that left the list, came back to it, or was
// started anew, with the start of its process: it tells afterwards whether a VM that
// came back is the process that went.
func (m *Machine) logSightings(list fleet.List, now time.Time) {
	m.looks++
	for i := range list.Servers {
		s := &list.Servers[i]
		before, known := m.sightings[s.ID]
		switch {
		case !known && m.sightingsAt.IsZero():
		case !known:
			m.logSighting("listed", s.ID, s.StartedAt, s.Membership, list, "draining", s.Draining)
		case !before.unlistedAt.IsZero():
			m.logSighting("listed-again", s.ID, s.StartedAt, s.Membership, list, "born_before", before.born,
				"same_process", s.StartedAt.Equal(before.born), "away", now.Sub(before.unlistedAt))
		case !s.StartedAt.Equal(before.born):
			m.logSighting("started-anew", s.ID, s.StartedAt, s.Membership, list, "born_before", before.born)
		}
		m.sightings[s.ID] = sighting{born: s.StartedAt, membership: s.Membership, look: m.looks}
	}
	for vm, s := range m.sightings {
		switch {
		case s.look == m.looks:
		case s.unlistedAt.IsZero():
			s.unlistedAt = now
			m.sightings[vm] = s
			m.logSighting("unlisted", vm, s.born, s.membership, list)
		case now.Sub(s.unlistedAt) > forgetAfter:
			delete(m.sightings, vm)
		}
	}
	m.sightingsAt = now
}

func (m *Machine) logSighting(change string, vm cluster.VMID, born time.Time, membership *fleet.Membership, list fleet.List, more ...any) {
	replica, state := cluster.ReplicaID(""), fleet.State("")
	if membership != nil {
		replica, state = fleet.ReplicaID(membership.Replica, membership.Epoch), membership.State
	}
	fields := []any{"change", change, "vm", vm, "born", born, "replica", replica, "state", state, "list_revision", list.Revision}
	m.opts.Log.Info("vm", append(fields, more...)...)
}

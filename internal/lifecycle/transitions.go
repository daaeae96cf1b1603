package lifecycle

import (
	"maps"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// phase is where a replica stands in this holder's records.
type phase string

// Phases. A replica without a record is listed: it serves, or nobody acts on it, and
// what its members say in the list is all that is known.
const (
	phaseListed  phase = "listed"
	phaseJoining phase = "joining"
	phaseOpening phase = "opening"
	phaseEnding  phase = "ending"
	phaseEnded   phase = "ended"
)

// transition is a change of phase that may happen. One that frees VMs names the
// evidence that it takes.
type transition struct {
	from, to phase
	when     string
	evidence []evidenceKind
}

// transitions are all changes of phase that may happen.
var transitions = []transition{
	{from: phaseListed, to: phaseJoining, when: "the policy forms it; join orders go out"},
	{from: phaseListed, to: phaseOpening, when: "it is ready and an earlier holder formed it, or it was closed"},
	{from: phaseListed, to: phaseEnding, when: "the policy breaks it up"},
	{from: phaseJoining, to: phaseOpening, when: "every member is ready; the open order goes out"},
	{from: phaseJoining, to: phaseEnded, when: "a member is lost or not ready in time", evidence: []evidenceKind{neverOpened}},
	{from: phaseOpening, to: phaseListed, when: "the head says that it is open"},
	{from: phaseOpening, to: phaseEnding, when: "a member is lost, or the head does not open in time"},
	{from: phaseEnding, to: phaseEnded, when: "the head is known to serve no more", evidence: []evidenceKind{headLeft, headStopped}},
	{from: phaseEnding, to: phaseListed, when: "no member has been listed for long"},
	{from: phaseEnded, to: phaseListed, when: "no member names it any more, or its head serves again"},
}

// record is what the holder keeps of a replica; which part is set follows from phase.
type record struct {
	phase phase
	// forming is set while joining and opening.
	forming *forming
	ending  *ending
	ended   *ended
}

// allowed returns the transition between two phases, nil if there is none.
func allowed(from, to phase) *transition {
	for i := range transitions {
		if transitions[i].from == from && transitions[i].to == to {
			return &transitions[i]
		}
	}
	return nil
}

// phaseOf is the replica's phase.
func (m *Machine) phaseOf(id cluster.ReplicaID) phase {
	if r := m.records[id]; r != nil {
		return r.phase
	}
	return phaseListed
}

// move changes a replica's phase. A change that the table doesn't have, or one that
// lacks its evidence, is a fault of this package: it is logged and not made.
func (m *Machine) move(id cluster.ReplicaID, next record) bool {
	from := m.phaseOf(id)
	t := allowed(from, next.phase)
	if t == nil || len(t.evidence) > 0 && (next.ended == nil || !slices.Contains(t.evidence, next.ended.why.kind)) {
		m.opts.Log.Error("transition refused", "replica", id, "from", from, "to", next.phase)
		return false
	}
	if next.phase == phaseListed {
		delete(m.records, id)
		return true
	}
	m.records[id] = &next
	return true
}

// inPhase are the replicas in a phase, in order.
func (m *Machine) inPhase(phases ...phase) (ids []cluster.ReplicaID) {
	for _, id := range slices.Sorted(maps.Keys(m.records)) {
		if slices.Contains(phases, m.records[id].phase) {
			ids = append(ids, id)
		}
	}
	return ids
}

// endingOf is the ending of a replica, nil if it is not in that phase.
func (m *Machine) endingOf(id cluster.ReplicaID) *ending {
	if r := m.records[id]; r != nil {
		return r.ending
	}
	return nil
}

// formingOf is the forming of a replica, nil if it is not in such a phase.
func (m *Machine) formingOf(id cluster.ReplicaID) *forming {
	if r := m.records[id]; r != nil {
		return r.forming
	}
	return nil
}

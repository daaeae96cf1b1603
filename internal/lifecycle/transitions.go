package lifecycle

import (
	"maps"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// phase is the state of a replica in this holder's records.
type phase string

// Phases. A replica without a record is listed: it serves, or needs no action, and its
// members' list entries are all that is known of it.
const (
	phaseListed  phase = "listed"
	phaseJoining phase = "joining"
	phaseOpening phase = "opening"
	phaseEnding  phase = "ending"
	phaseEnded   phase = "ended"
)

// transition is an allowed change of phase. A transition that releases VMs names the kinds
// of evidence that it requires.
type transition struct {
	from, to  phase
	condition string
	evidence  []evidenceKind
}

// transitions lists every allowed change of phase.
var transitions = []transition{
	{from: phaseListed, to: phaseJoining, condition: "the policy forms the replica; join orders are sent"},
	{from: phaseListed, to: phaseOpening, condition: "the replica is ready and was formed by an earlier holder, or was closed"},
	{from: phaseListed, to: phaseEnding, condition: "the policy breaks up the replica"},
	{from: phaseJoining, to: phaseOpening, condition: "every member is ready; the open order is sent"},
	{from: phaseJoining, to: phaseEnded, condition: "a member is lost or not ready in time", evidence: []evidenceKind{evidenceNeverOpened}},
	{from: phaseOpening, to: phaseListed, condition: "the head reports open"},
	{from: phaseOpening, to: phaseEnding, condition: "a member is lost, or the head does not open in time"},
	{from: phaseEnding, to: phaseEnded, condition: "the head is known to have stopped serving", evidence: []evidenceKind{evidenceHeadLeft, evidenceHeadStopped}},
	{from: phaseEnding, to: phaseListed, condition: "no member has been listed for unlistedRetention"},
	{from: phaseEnded, to: phaseListed, condition: "no member reports the replica any longer, or its head serves again"},
}

// record is the holder's state of one replica; phase determines which pointer is set.
type record struct {
	phase phase
	// forming is set in phaseJoining and phaseOpening.
	forming *formingReplica
	ending  *endingReplica
	ended   *endedReplica
}

// findTransition returns the transition between two phases, or nil if it is not allowed.
func findTransition(from, to phase) *transition {
	for i := range transitions {
		if transitions[i].from == from && transitions[i].to == to {
			return &transitions[i]
		}
	}
	return nil
}

// phaseOf returns the replica's phase.
func (m *Machine) phaseOf(id cluster.ReplicaID) phase {
	if r := m.records[id]; r != nil {
		return r.phase
	}
	return phaseListed
}

// setPhase changes a replica's phase. A change that is not in the table, or that lacks the
// required evidence, is a bug in this package: it is logged and rejected.
func (m *Machine) setPhase(id cluster.ReplicaID, next record) bool {
	from := m.phaseOf(id)
	t := findTransition(from, next.phase)
	if t == nil || len(t.evidence) > 0 && (next.ended == nil || !slices.Contains(t.evidence, next.ended.evidence.kind)) {
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

// replicasInPhase returns the ids of the replicas in any of the phases, sorted.
func (m *Machine) replicasInPhase(phases ...phase) (ids []cluster.ReplicaID) {
	for _, id := range slices.Sorted(maps.Keys(m.records)) {
		if slices.Contains(phases, m.records[id].phase) {
			ids = append(ids, id)
		}
	}
	return ids
}

// endingOf returns the shutdown state of a replica, or nil if it is not in phaseEnding.
func (m *Machine) endingOf(id cluster.ReplicaID) *endingReplica {
	if r := m.records[id]; r != nil {
		return r.ending
	}
	return nil
}

// formingOf returns the formation state of a replica, or nil if it is neither joining nor opening.
func (m *Machine) formingOf(id cluster.ReplicaID) *formingReplica {
	if r := m.records[id]; r != nil {
		return r.forming
	}
	return nil
}

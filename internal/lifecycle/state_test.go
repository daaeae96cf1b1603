package lifecycle

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

// writeState writes the state that determines the machine's further steps, with ages in place of
// times and numbers in place of replica names.
func (m *Machine) writeState(out io.Writer, age func(time.Time) int64, number func(cluster.ReplicaID) int, member func(*fleet.Membership) string) {
	writeAges := func(times map[cluster.VMID]time.Time) {
		for _, vm := range slices.Sorted(maps.Keys(times)) {
			fmt.Fprint(out, vm, age(times[vm]))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.records)) {
		r := m.records[id]
		fmt.Fprint(out, "r", number(id), r.phase)
		if f := r.forming; f != nil {
			fmt.Fprint(out, f.replica.Members, age(f.deadline), f.joined, age(f.openSentAt))
			writeAges(f.sentAt)
			writeAges(f.processStarts)
		}
		if e := r.ending; e != nil {
			fmt.Fprint(out, e.reason, e.head, e.members, e.unreleased(), age(e.startedAt), e.headUnresponsive)
			writeAges(e.sentAt)
		}
		if e := r.ended; e != nil {
			fmt.Fprint(out, e.evidence.kind, e.listConfirmed)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(m.lastListed)) {
		s := m.lastListed[vm]
		fmt.Fprint(out, "s", vm, member(s.Membership), age(s.StartedAt))
	}
	for _, vm := range slices.Sorted(maps.Keys(m.unlistedVMs)) {
		p := m.unlistedVMs[vm]
		fmt.Fprint(out, "q", vm, age(p.firstProbedAt), age(p.probedAt), age(p.respondedAt))
	}
	for _, vm := range slices.Sorted(maps.Keys(m.down)) {
		fmt.Fprint(out, "d", vm, age(m.down[vm].since))
	}
	for _, vm := range slices.Sorted(maps.Keys(m.loads.deadlines)) {
		fmt.Fprint(out, "l", vm, age(m.loads.deadlines[vm]))
	}
	fmt.Fprint(out, m.inFlight, m.staging, m.fenced)
}

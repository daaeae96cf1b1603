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

// print writes what decides the machine's further steps, with ages in place of times and
// numbers in place of replicas' names.
func (m *Machine) print(out io.Writer, age func(time.Time) int64, name func(cluster.ReplicaID) int, member func(*fleet.Membership) string) {
	times := func(of map[cluster.VMID]time.Time) {
		for _, vm := range slices.Sorted(maps.Keys(of)) {
			fmt.Fprint(out, vm, age(of[vm]))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.records)) {
		r := m.records[id]
		fmt.Fprint(out, "r", name(id), r.phase)
		if f := r.forming; f != nil {
			fmt.Fprint(out, f.replica.Members, age(f.deadline), f.joined, age(f.openAt))
			times(f.sentAt)
			times(f.born)
		}
		if e := r.ending; e != nil {
			fmt.Fprint(out, e.reason, e.head, e.members, e.held(), age(e.since), e.headSilent)
			times(e.sentAt)
		}
		if e := r.ended; e != nil {
			fmt.Fprint(out, e.why.kind, e.shown)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(m.seen)) {
		s := m.seen[vm]
		fmt.Fprint(out, "s", vm, member(s.Membership), age(s.StartedAt))
	}
	for _, vm := range slices.Sorted(maps.Keys(m.present)) {
		p := m.present[vm]
		fmt.Fprint(out, "q", vm, age(p.firstProbed), age(p.probedAt), age(p.answeredAt))
	}
	for _, vm := range slices.Sorted(maps.Keys(m.down)) {
		fmt.Fprint(out, "d", vm, age(m.down[vm].since))
	}
	for _, vm := range slices.Sorted(maps.Keys(m.loads.until)) {
		fmt.Fprint(out, "l", vm, age(m.loads.until[vm]))
	}
	fmt.Fprint(out, m.inFlight, m.staging, m.fenced)
}

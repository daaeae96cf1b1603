package lifecycle

import (
	"maps"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

const (
	// ProbeTimeout is many round trips; a VM that is alive answers in a few ms.
	ProbeTimeout = 250 * time.Millisecond
	// presentFor is how long the answer of a VM that is not listed counts, and
	// probeEvery how often it is probed.
	presentFor = 2500 * time.Millisecond
	probeEvery = time.Second
	// downFor is how long a VM that did not answer counts as down while the list
	// still has it: a dead one is gone from the list by then.
	downFor = 8 * time.Second
)

// silence is a VM that a probe found not to answer.
type silence struct {
	born  time.Time
	since time.Time
}

// presence is what is known of a VM that is not listed.
type presence struct {
	server                            fleet.Server
	firstProbed, probedAt, answeredAt time.Time
}

// probe asks for probes of the members of replicas that stand still. Many nodes may
// report the same one.
func (m *Machine) probe(replicas []fleet.Replica, suspected map[cluster.ReplicaID]bool, now time.Time) {
	for id, at := range m.suspectedAt {
		if now.Sub(at) > probeEvery {
			delete(m.suspectedAt, id)
		}
	}
	for i := range replicas {
		r := &replicas[i]
		id := r.ID()
		if _, probed := m.suspectedAt[id]; !suspected[id] || probed || !r.Serves() {
			continue
		}
		m.suspectedAt[id] = now
		m.out.ProbeReplicas = append(m.out.ProbeReplicas, ReplicaProbe{id, r.Members})
	}
}

// probeMissing asks for probes of the members that replicas lack in the list. One that
// answers is cut off from the store or leaving without a word: its replica works on.
func (m *Machine) probeMissing(list fleet.List, replicas []fleet.Replica, now time.Time) {
	for i := range replicas {
		r := &replicas[i]
		if r.State() != fleet.Open || len(r.Members) == r.Size || m.endingOf(r.ID()) != nil {
			continue
		}
		for _, vm := range slices.Sorted(maps.Keys(m.seen)) {
			s := m.seen[vm]
			if list.Find(vm) == nil && s.In(r.ID()) {
				m.probePresence(s, now)
			}
		}
	}
	for vm := range m.present {
		if list.Find(vm) != nil {
			delete(m.present, vm)
		}
	}
}

func (m *Machine) probePresence(s fleet.Server, now time.Time) {
	p := m.present[s.ID]
	if p != nil && now.Sub(p.probedAt) <= probeEvery {
		return
	}
	if p == nil {
		p = &presence{server: s, firstProbed: now}
		m.present[s.ID] = p
	}
	p.probedAt = now
	m.out.ProbeUnlisted = append(m.out.ProbeUnlisted, s)
}

// takeProbes notes what probes have found.
func (m *Machine) takeProbes(in Input) {
	for _, s := range in.Unresponsive {
		m.down[s.ID] = silence{born: s.Born, since: in.Now}
	}
	for _, vm := range in.RespondingUnlisted {
		if p := m.present[vm]; p != nil {
			p.answeredAt = in.Now
		}
	}
}

// unlisted are the VMs of a replica that the list lacks and that may work on:
// they answered lately, or were only just probed for the first time.
func (m *Machine) unlisted(id cluster.ReplicaID, now time.Time) (out []fleet.Server) {
	for _, vm := range slices.Sorted(maps.Keys(m.present)) {
		p := m.present[vm]
		waits := p.answeredAt.IsZero() && now.Sub(p.firstProbed) < 2*ProbeTimeout
		if p.server.In(id) && (waits || now.Sub(p.answeredAt) < presentFor) {
			out = append(out, p.server)
		}
	}
	return out
}

// downSince is when the VM was found silent; zero if it is not, or has started anew.
func (m *Machine) downSince(s *fleet.Server, now time.Time) time.Time {
	d, found := m.down[s.ID]
	if !found {
		return time.Time{}
	}
	if !d.born.Equal(s.Born) || now.Sub(d.since) > downFor {
		delete(m.down, s.ID)
		return time.Time{}
	}
	return d.since
}

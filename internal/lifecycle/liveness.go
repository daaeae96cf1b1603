package lifecycle

import (
	"maps"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

const (
	// ProbeTimeout bounds one probe. It allows for many round trips: a live VM responds within
	// a few milliseconds.
	ProbeTimeout = 250 * time.Millisecond
	// responseValidFor is how long an unlisted VM counts as reachable after its last probe
	// response.
	responseValidFor = 2500 * time.Millisecond
	// probeInterval is the minimum time between two probes of the same unlisted VM or
	// stalled replica.
	probeInterval = time.Second
	// downValidFor is how long a listed VM counts as down after a failed probe. The entry of a
	// dead VM has left the list by then.
	downValidFor = 8 * time.Second
)

// probeFailure records that a listed VM did not respond to probes.
type probeFailure struct {
	processStart time.Time
	since        time.Time
}

// unlistedVM is the probe state of a VM that is missing from the list.
type unlistedVM struct {
	server                               fleet.Server
	firstProbedAt, probedAt, respondedAt time.Time
}

// probeStalled requests probes of the members of replicas reported as stalled. Many nodes may
// report the same replica, so each is probed once per probeInterval.
func (m *Machine) probeStalled(replicas []fleet.Replica, stalled map[cluster.ReplicaID]bool, now time.Time) {
	for id, at := range m.stallProbedAt {
		if now.Sub(at) > probeInterval {
			delete(m.stallProbedAt, id)
		}
	}
	for i := range replicas {
		r := &replicas[i]
		id := r.ID()
		if _, probed := m.stallProbedAt[id]; !stalled[id] || probed || !r.Serves() || slices.Contains(m.evacuated, r.Members[0].Zone) {
			continue
		}
		m.stallProbedAt[id] = now
		m.out.ProbeReplicas = append(m.out.ProbeReplicas, ReplicaProbe{id, r.Members})
	}
}

// probeUnlisted requests probes of replica members that are missing from the list. A member
// that responds is partitioned from the store, or is shutting down without an announcement:
// its replica still works.
func (m *Machine) probeUnlisted(list fleet.List, replicas []fleet.Replica, now time.Time) {
	for i := range replicas {
		r := &replicas[i]
		if r.State() != fleet.Open || len(r.Members) == r.Size || m.endingOf(r.ID()) != nil {
			continue
		}
		for _, vm := range slices.Sorted(maps.Keys(m.lastListed)) {
			s := m.lastListed[vm]
			if list.Find(vm) == nil && s.IsMemberOf(r.ID()) {
				m.probeUnlistedVM(s, now)
			}
		}
	}
	for vm := range m.unlistedVMs {
		if list.Find(vm) != nil {
			delete(m.unlistedVMs, vm)
		}
	}
}

func (m *Machine) probeUnlistedVM(s fleet.Server, now time.Time) {
	if slices.Contains(m.evacuated, s.Zone) {
		return
	}
	p := m.unlistedVMs[s.ID]
	if p != nil && now.Sub(p.probedAt) <= probeInterval {
		return
	}
	if p == nil {
		p = &unlistedVM{server: s, firstProbedAt: now}
		m.unlistedVMs[s.ID] = p
	}
	p.probedAt = now
	m.out.ProbeUnlisted = append(m.out.ProbeUnlisted, s)
}

// recordProbeResults records the results of earlier probes.
func (m *Machine) recordProbeResults(in Input) {
	for _, s := range in.Unresponsive {
		m.down[s.ID] = probeFailure{processStart: s.StartedAt, since: in.Now}
	}
	for _, vm := range in.RespondingUnlisted {
		if p := m.unlistedVMs[vm]; p != nil {
			p.respondedAt = in.Now
		}
	}
}

// reachableUnlisted returns the unlisted members of a replica that may still work: they
// responded recently, or their first probe is still pending.
func (m *Machine) reachableUnlisted(id cluster.ReplicaID, now time.Time) (out []fleet.Server) {
	for _, vm := range slices.Sorted(maps.Keys(m.unlistedVMs)) {
		p := m.unlistedVMs[vm]
		pending := p.respondedAt.IsZero() && now.Sub(p.firstProbedAt) < 2*ProbeTimeout
		if p.server.IsMemberOf(id) && (pending || now.Sub(p.respondedAt) < responseValidFor) {
			out = append(out, p.server)
		}
	}
	return out
}

// downSince returns when probes of the VM failed; zero if they did not, or if the VM has been
// restarted since.
func (m *Machine) downSince(s *fleet.Server, now time.Time) time.Time {
	d, found := m.down[s.ID]
	if !found {
		return time.Time{}
	}
	if !d.processStart.Equal(s.StartedAt) || now.Sub(d.since) > downValidFor {
		delete(m.down, s.ID)
		return time.Time{}
	}
	return d.since
}

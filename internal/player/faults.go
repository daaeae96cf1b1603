package player

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// restartTime is how long a killed node stays down.
const restartTime = time.Second

// scheduleFaults sets timers for the scenario's faults.
func (sys *Simulation) scheduleFaults() {
	for _, f := range sys.scenario.Faults {
		time.AfterFunc(f.At, func() { sys.startFault(f) })
		if f.Duration > 0 {
			time.AfterFunc(f.At+f.Duration, func() { sys.endFault(f) })
		}
	}
}

// startFault injects a fault.
func (sys *Simulation) startFault(f Fault) {
	w := sys.world
	switch f.Kind {
	case LoseMembers:
		w.forEach(w.pickMembers(f), w.kill)
	case AddVMs:
		for range f.Count {
			w.add(f.Zone, w.smallestDomain(f.Zone))
		}
	case DomainOutage:
		w.forEach(w.inDomain(domainName(f.Zone, f.Domain)), w.kill)
	case SlowVMs:
		w.forEach(w.pickMembers(f), func(v *vm) { v.slow = f.Factor })
	case PartitionZone:
		w.setPartitioned(f.Zone, true)
	case RestartNodes:
		for _, n := range sys.nodes {
			if f.Zone == "" || n.zone == f.Zone {
				n.kill()
				time.AfterFunc(restartTime, func() { n.start(false) })
			}
		}
	case StoreDown:
		w.store.SetFaults(memstore.Faults{Down: true})
	case CrashHeads:
		w.crashHeads(f)
	case LimitServers:
		w.limitHeads(f)
	case ColdServers:
		w.coolHeads(f)
	case PushbackServers, LeavingServers:
		sys.startSignals(f)
	case IsolateNodes:
		sys.isolateNodes(f)
	case OneNode:
		sys.oneNode.Store(true)
	case CrashRequests:
		sys.callers.inFlight.Go(func() { sys.sendCrashRequests(f) })
	case CrashPart:
		sys.callers.inFlight.Go(func() { sys.sendCrashPart(f) })
	}
}

// endFault reverts a temporary fault.
func (sys *Simulation) endFault(f Fault) {
	w := sys.world
	switch f.Kind {
	case DomainOutage:
		w.forEach(w.inDomain(domainName(f.Zone, f.Domain)), func(v *vm) {
			if v.dead {
				w.revive(v)
			}
		})
	case SlowVMs:
		w.forEach(w.all(), func(v *vm) { v.slow = 0 })
	case PartitionZone:
		w.setPartitioned(f.Zone, false)
	case LimitServers:
		w.forEach(w.all(), func(v *vm) { v.rateLimit = 0 })
	case PushbackServers, LeavingServers:
		w.endSignals()
	case StoreDown:
		w.store.SetFaults(memstore.Faults{})
	case IsolateNodes:
		sys.endIsolation(f)
	case OneNode:
		sys.oneNode.Store(false)
	}
}

func (w *world) forEach(vms []*vm, do func(*vm)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range vms {
		do(v)
	}
}

// pickMembers picks as many members of serving replicas as the fault names, at most one
// per replica.
func (w *world) pickMembers(f Fault) (out []*vm) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := make(map[int64]bool)
	for _, v := range w.servingMembers(f.Zone, f.Model) {
		if len(out) < f.Count && !seen[v.epoch] {
			seen[v.epoch] = true
			out = append(out, v)
		}
	}
	return out
}

func (w *world) all() (out []*vm) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.vms {
		out = append(out, v)
	}
	return out
}

func (w *world) inDomain(d cluster.DomainID) (out []*vm) {
	for _, v := range w.all() {
		if v.entry.Domain == d {
			out = append(out, v)
		}
	}
	return out
}

// smallestDomain returns the zone's domain with the fewest live VMs.
func (w *world) smallestDomain(zone cluster.ZoneID) (best cluster.DomainID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	live := make(map[cluster.DomainID]int)
	for _, z := range w.scenario.Zones {
		for d := range z.Domains {
			if z.Name == zone {
				live[domainName(zone, d)] = 0
			}
		}
	}
	for _, v := range w.vms {
		if _, ok := live[v.entry.Domain]; ok && !v.dead {
			live[v.entry.Domain]++
		}
	}
	for d, n := range live {
		if best == "" || n < live[best] || n == live[best] && d < best {
			best = d
		}
	}
	return best
}

func (w *world) setPartitioned(zone cluster.ZoneID, partitioned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned[zone] = partitioned
}

package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/health"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
)

// outageObserversPerZone is how many nodes of a zone observe outages: two, so that the
// death of one leaves no time unobserved.
const outageObserversPerZone = 2

// Causes of outages.
const (
	causeUnhealthy  ledger.Cause = "not-whole"
	causeNotFormed  ledger.Cause = "not-formed"
	causePlanned    ledger.Cause = "planned"
	causeUnassigned ledger.Cause = "unassigned"
)

// outageObserver reports the zone's outages to the ledger while membership assigns this
// node that duty.
type outageObserver struct {
	n *Node
	// changed holds a token while a replica's change has not been reported.
	changed chan struct{}

	mu     sync.Mutex
	keeper *ledger.Writer
	// reported holds the replicas, missing ones included, as last reported to the keeper.
	reported map[cluster.ReplicaID]replicaState
	// down counts the replicas reported as down, by group.
	down map[cluster.GroupName]int
	// reportedStranded holds the last reported counts, by group and cause.
	reportedStranded map[strandedKey]int
}

type strandedKey struct {
	group cluster.GroupName
	cause ledger.Cause
}

func newOutageObserver(n *Node) *outageObserver {
	return &outageObserver{n: n, changed: make(chan struct{}, 1)}
}

// notify triggers an observation after a replica's change, without blocking.
func (o *outageObserver) notify() {
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

// run starts and stops observing as membership assigns the duty.
func (o *outageObserver) run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	var stop func()
	for {
		select {
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			return
		case <-ticker.C:
		case <-o.changed:
		}
		assigned := o.n.members.Responsible("ledger", outageObserversPerZone)
		switch {
		case assigned && stop == nil:
			stop = o.startKeeper(ctx)
		case !assigned && stop != nil:
			stop()
			stop = nil
		}
		if assigned {
			o.observe(time.Now())
		}
	}
}

// startKeeper starts a keeper. The returned function stops it and waits for its last write.
func (o *outageObserver) startKeeper(ctx context.Context) func() {
	n := o.n
	keeper := ledger.NewWriter(n.store, ledger.RecorderOptions{Observer: n.cfg.Node, Incarnation: uint64(time.Now().UnixNano()), Zone: n.cfg.Zone}, n.log)
	o.mu.Lock()
	o.keeper, o.reported, o.down, o.reportedStranded = keeper, map[cluster.ReplicaID]replicaState{}, nil, map[strandedKey]int{}
	o.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { keeper.Run(ctx) })
	n.log.Info("outage observer role", "held", true)
	return func() {
		o.mu.Lock()
		o.keeper = nil
		o.mu.Unlock()
		cancel()
		wg.Wait()
		n.log.Info("outage observer role", "held", false)
	}
}

// observe compares the zone's state with what was last reported and reports the
// differences. It runs once a second and soon after each change of a replica.
func (o *outageObserver) observe(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.keeper == nil {
		return
	}
	o.recordReplicas(now)
	o.recordStranded(now)
}

// replicaState is the current state of a replica, or of a wanted one that is missing.
type replicaState struct {
	group    cluster.GroupName
	down     bool
	cause    ledger.Cause
	evidence string
}

func (o *outageObserver) recordReplicas(now time.Time) {
	current := o.currentReplicas()
	o.down = downByGroup(current)
	for _, ev := range replicaEvents(o.reported, current, now) {
		o.keeper.Record(ev)
	}
	o.reported = current
}

// replicaEvents returns the events that lead from the reported to the current replicas.
func replicaEvents(reported, current map[cluster.ReplicaID]replicaState, now time.Time) []ledger.Event {
	var events []ledger.Event
	for id, r := range current {
		previous, ok := reported[id]
		if ok && previous.down == r.down {
			continue
		}
		ev := ledger.Event{Kind: ledger.ReplicaUp, At: now, Group: r.group, Replica: id}
		if r.down {
			ev.Kind, ev.Cause, ev.Evidence = ledger.ReplicaDown, r.cause, r.evidence
		}
		events = append(events, ev)
	}
	for id, r := range reported {
		if _, ok := current[id]; !ok {
			// Without the group, the ledger would not find the open interval, and the
			// outage would be reported as ongoing.
			events = append(events, ledger.Event{Kind: ledger.ReplicaGone, At: now, Group: r.group, Replica: id})
		}
	}
	return events
}

// downByGroup counts the replicas that are down, by group. A group with replicas but none
// down has a zero.
func downByGroup(replicas map[cluster.ReplicaID]replicaState) map[cluster.GroupName]int {
	down := map[cluster.GroupName]int{}
	for _, r := range replicas {
		count := down[r.group]
		if r.down {
			count++
		}
		down[r.group] = count
	}
	return down
}

// currentReplicas returns the zone's committed replicas and, for groups whose rule sets
// the number of replicas, the wanted ones that are missing.
func (o *outageObserver) currentReplicas() map[cluster.ReplicaID]replicaState {
	current := map[cluster.ReplicaID]replicaState{}
	formed := map[cluster.GroupName]int{}
	for _, s := range o.zoneReplicas() {
		cause := causeUnhealthy
		if s.Replica.Leaving {
			cause = causePlanned
		}
		current[s.Replica.ID] = replicaState{group: s.Replica.Group, down: !s.Healthy, cause: cause, evidence: s.Reason}
		formed[s.Replica.Group]++
	}
	set := o.n.rules.Current()
	if set == nil {
		return current
	}
	for i := range set.Groups {
		g := &set.Groups[i]
		for k := formed[g.Name]; k < g.Replicas; k++ {
			id := cluster.ReplicaID(fmt.Sprintf("%s/missing-%d", g.Name, k+1))
			current[id] = replicaState{group: g.Name, down: true, cause: causeNotFormed,
				evidence: fmt.Sprintf("%d of %d wanted replicas are formed", formed[g.Name], g.Replicas)}
		}
	}
	return current
}

// zoneReplicas returns the replicas of this node's zone; other zones keep their own ledger.
func (o *outageObserver) zoneReplicas() []health.ReplicaStatus {
	return slices.DeleteFunc(o.n.health.Status(), func(s health.ReplicaStatus) bool { return s.Replica.Zone != o.n.cfg.Zone })
}

// recordStranded reports the number of live engine VMs that do not serve: members of a
// replica that is not healthy, and VMs in no replica.
func (o *outageObserver) recordStranded(now time.Time) {
	counts := map[strandedKey]int{}
	replicaOf := map[cluster.VMID]replicaState{}
	for _, s := range o.zoneReplicas() {
		for _, vm := range s.Replica.Members {
			replicaOf[vm] = replicaState{group: s.Replica.Group, down: !s.Healthy}
		}
	}
	for _, vm := range o.n.vms.List().VMs {
		if vm.Zone != o.n.cfg.Zone || vm.Service != "" || vm.State != cluster.VMLive {
			continue
		}
		r, assigned := replicaOf[vm.ID]
		switch {
		case !assigned:
			counts[strandedKey{cause: causeUnassigned}]++
		case r.down:
			counts[strandedKey{r.group, causeUnhealthy}]++
		}
	}
	for key := range o.reportedStranded {
		if _, ok := counts[key]; !ok {
			counts[key] = 0
		}
	}
	for key, count := range counts {
		if o.reportedStranded[key] == count {
			continue
		}
		o.reportedStranded[key] = count
		o.keeper.Record(ledger.Event{Kind: ledger.StrandedCount, At: now, Group: key.group, Cause: key.cause, Count: count})
	}
}

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

// ledgerObservers is how many nodes of a zone observe outages: two, so that one
// dying leaves no time unobserved.
const ledgerObservers = 2

// Causes of outages as the daemon sees them.
const (
	causeNotWhole   ledger.Cause = "not-whole"
	causeNotFormed  ledger.Cause = "not-formed"
	causePlanned    ledger.Cause = "planned"
	causeUnassigned ledger.Cause = "unassigned"
)

// ledgerDuty observes the zone's outages while this node has the duty.
type ledgerDuty struct {
	n *Node
	// changed holds a token while a replica's change waits to be fed.
	changed chan struct{}

	mu     sync.Mutex
	keeper *ledger.Keeper
	// known are the replicas, missing ones included, as the keeper was told of them.
	known map[cluster.ReplicaID]seenReplica
	// down counts the replicas told to be down, by group.
	down map[cluster.GroupName]int
	// stranded is the last level told, by group and cause.
	stranded map[strandedKey]int
}

type strandedKey struct {
	group cluster.GroupName
	cause ledger.Cause
}

func newLedgerDuty(n *Node) *ledgerDuty { return &ledgerDuty{n: n, changed: make(chan struct{}, 1)} }

// wake has a change of a replica fed now; it never blocks.
func (l *ledgerDuty) wake() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// run takes the duty up and lays it down as membership says.
func (l *ledgerDuty) run(ctx context.Context) {
	ticker := time.NewTicker(reviewEvery)
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
		case <-l.changed:
		}
		duty := l.n.members.Responsible("ledger", ledgerObservers)
		switch {
		case duty && stop == nil:
			stop = l.begin(ctx)
		case !duty && stop != nil:
			stop()
			stop = nil
		}
		if duty {
			l.observe(time.Now())
		}
	}
}

// begin starts a keeper; the returned func ends it and waits for its last write.
func (l *ledgerDuty) begin(ctx context.Context) func() {
	n := l.n
	keeper := ledger.NewKeeper(n.store, ledger.RecorderOptions{Observer: n.set.Node, Incarnation: uint64(time.Now().UnixNano()), Zone: n.set.Zone}, n.log)
	l.mu.Lock()
	l.keeper, l.known, l.down, l.stranded = keeper, map[cluster.ReplicaID]seenReplica{}, nil, map[strandedKey]int{}
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { keeper.Run(ctx) })
	n.log.Info("ledger duty", "held", true)
	return func() {
		l.mu.Lock()
		l.keeper = nil
		l.mu.Unlock()
		cancel()
		wg.Wait()
		n.log.Info("ledger duty", "held", false)
	}
}

// observe compares the zone's state with what the keeper was told and feeds the
// differences. It runs once a second and soon after each change of a replica.
func (l *ledgerDuty) observe(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keeper == nil {
		return
	}
	l.feedReplicas(now)
	l.feedStranded(now)
}

// seenReplica is a replica, or a wanted one that is missing, as it is now.
type seenReplica struct {
	group    cluster.GroupName
	down     bool
	cause    ledger.Cause
	evidence string
}

func (l *ledgerDuty) feedReplicas(now time.Time) {
	seen := l.replicasNow()
	l.down = downByGroup(seen)
	for _, ev := range replicaEvents(l.known, seen, now) {
		l.keeper.Feed(ev)
	}
	l.known = seen
}

// replicaEvents are the differences between what was told and what is seen now.
func replicaEvents(told, seen map[cluster.ReplicaID]seenReplica, now time.Time) []ledger.Event {
	var events []ledger.Event
	for id, r := range seen {
		before, known := told[id]
		if known && before.down == r.down {
			continue
		}
		ev := ledger.Event{Kind: ledger.ReplicaUp, At: now, Group: r.group, Replica: id}
		if r.down {
			ev.Kind, ev.Cause, ev.Evidence = ledger.ReplicaDown, r.cause, r.evidence
		}
		events = append(events, ev)
	}
	for id, r := range told {
		if _, still := seen[id]; !still {
			// Without the group the ledger would not find the open interval, and
			// the outage would be reported as going on.
			events = append(events, ledger.Event{Kind: ledger.ReplicaGone, At: now, Group: r.group, Replica: id})
		}
	}
	return events
}

// downByGroup counts the replicas that are down; a group without any has a zero.
func downByGroup(seen map[cluster.ReplicaID]seenReplica) map[cluster.GroupName]int {
	down := map[cluster.GroupName]int{}
	for _, r := range seen {
		count := down[r.group]
		if r.down {
			count++
		}
		down[r.group] = count
	}
	return down
}

// replicasNow lists the zone's committed replicas and, for groups whose rule
// names a number, the wanted ones that are missing.
func (l *ledgerDuty) replicasNow() map[cluster.ReplicaID]seenReplica {
	seen := map[cluster.ReplicaID]seenReplica{}
	formed := map[cluster.GroupName]int{}
	for _, s := range l.ownReplicas() {
		cause := causeNotWhole
		if s.Replica.Leaving {
			cause = causePlanned
		}
		seen[s.Replica.ID] = seenReplica{group: s.Replica.Group, down: !s.Healthy, cause: cause, evidence: s.Reason}
		formed[s.Replica.Group]++
	}
	set := l.n.rules.Current()
	if set == nil {
		return seen
	}
	for i := range set.Groups {
		g := &set.Groups[i]
		for k := formed[g.Name]; k < g.Replicas; k++ {
			id := cluster.ReplicaID(fmt.Sprintf("%s/missing-%d", g.Name, k+1))
			seen[id] = seenReplica{group: g.Name, down: true, cause: causeNotFormed,
				evidence: fmt.Sprintf("%d of %d wanted replicas are formed", formed[g.Name], g.Replicas)}
		}
	}
	return seen
}

// ownReplicas are those of this node's zone: other zones keep their own ledger.
func (l *ledgerDuty) ownReplicas() []health.ReplicaStatus {
	return slices.DeleteFunc(l.n.health.Status(), func(s health.ReplicaStatus) bool { return s.Replica.Zone != l.n.set.Zone })
}

// feedStranded counts live engine VMs that serve nobody: members of a replica
// that is not whole, and VMs in no replica.
func (l *ledgerDuty) feedStranded(now time.Time) {
	level := map[strandedKey]int{}
	member := map[cluster.VMID]seenReplica{}
	for _, s := range l.ownReplicas() {
		for _, vm := range s.Replica.Members {
			member[vm] = seenReplica{group: s.Replica.Group, down: !s.Healthy}
		}
	}
	for _, vm := range l.n.vms.List().VMs {
		if vm.Zone != l.n.set.Zone || vm.Service != "" || vm.State != cluster.VMLive {
			continue
		}
		r, assigned := member[vm.ID]
		switch {
		case !assigned:
			level[strandedKey{cause: causeUnassigned}]++
		case r.down:
			level[strandedKey{r.group, causeNotWhole}]++
		}
	}
	for key := range l.stranded {
		if _, still := level[key]; !still {
			level[key] = 0
		}
	}
	for key, count := range level {
		if l.stranded[key] == count {
			continue
		}
		l.stranded[key] = count
		l.keeper.Feed(ledger.Event{Kind: ledger.StrandedNow, At: now, Group: key.group, Cause: key.cause, Count: count})
	}
}

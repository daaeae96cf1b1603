package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
	"github.com/fennelcourse/fennelcourse/internal/operator"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Causes of outages that a node derives from the server list.
const (
	causeMemberLost ledger.Cause = "member-lost"
	causeEnded      ledger.Cause = "ended"
	causeEvacuated  ledger.Cause = "evacuated"
	causeUnassigned ledger.Cause = "unassigned"
	causeNoWeights  ledger.Cause = "no-weights"
)

const (
	// windowLength is the length of the ledger windows that are kept in memory, and
	// maxWindows their number: those of one day.
	windowLength = time.Minute
	maxWindows   = 24 * 60
	// strandedInterval is how often stranded accelerators are counted.
	strandedInterval = time.Second
)

// outageRecorder records group downtime and stranded accelerators as this node sees them.
// A node that watches the store itself also writes its record there, where it outlives
// all nodes; time that no node recorded is reported as unobserved.
//
// A replica that stops serving is down until another one of its group replaces it; on
// this platform a new replica always has a new name.
type outageRecorder struct {
	zone cluster.ZoneID
	// keeper writes the record to the store; nil on a node that follows a feed.
	keeper *ledger.Writer

	mu       sync.Mutex
	recorder *ledger.Recorder
	windows  []ledger.Window
	lastCut  time.Time
	// groups holds the groups of the replicas that serve.
	groups map[cluster.ReplicaID]recordedGroup
	// unreplaced holds the replicas that went down and have not been replaced, oldest first.
	unreplaced map[cluster.GroupName][]downReplica
	// stranded holds the last counts of stranded accelerators.
	stranded map[strandedKey]int
}

// recordedGroup is a group and its name in the record, which is that of the model unless several services
// have the model.
type recordedGroup struct{ group, name cluster.GroupName }

// downReplica is a replica that is down and the name of its group in the record.
type downReplica struct {
	id   cluster.ReplicaID
	name cluster.GroupName
}

func newOutageRecorder(node cluster.NodeID, zone cluster.ZoneID, now time.Time) *outageRecorder {
	options := ledger.RecorderOptions{Observer: node, Incarnation: uint64(now.UnixNano()), Zone: zone}
	return &outageRecorder{zone: zone, recorder: ledger.NewRecorder(options, now), lastCut: now,
		groups: make(map[cluster.ReplicaID]recordedGroup), unreplaced: make(map[cluster.GroupName][]downReplica)}
}

// persist has the record written to the store from now on.
func (o *outageRecorder) persist(s store.Store, node cluster.NodeID, log *slog.Logger) {
	o.keeper = ledger.NewWriter(s, ledger.RecorderOptions{Observer: node, Incarnation: uint64(time.Now().UnixNano()), Zone: o.zone}, log)
}

// run writes the record to the store until ctx ends.
func (o *outageRecorder) run(ctx context.Context) {
	if o.keeper != nil {
		o.keeper.Run(ctx)
	}
}

// apply records an event; the caller holds o.mu.
func (o *outageRecorder) apply(ev ledger.Event) {
	o.recorder.Apply(ev)
	if o.keeper != nil {
		o.keeper.Record(ev)
	}
}

// replicaDown records that a replica stopped serving.
func (o *outageRecorder) replicaDown(id cluster.ReplicaID, cause ledger.Cause, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, known := o.groups[id]
	if !known {
		return
	}
	delete(o.groups, id)
	o.unreplaced[g.group] = append(o.unreplaced[g.group], downReplica{id, g.name})
	o.apply(ledger.Event{Kind: ledger.ReplicaDown, At: now, Group: g.name, Replica: id, Cause: cause, Evidence: "list of servers"})
}

// replicaUp records that a replica serves. It ends the downtime of that replica, if it was
// down, and otherwise of the one of its group that has been down longest.
func (o *outageRecorder) replicaUp(id cluster.ReplicaID, g recordedGroup, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.groups[id] = g
	unreplaced := o.unreplaced[g.group]
	if len(unreplaced) == 0 {
		return
	}
	i := max(slices.IndexFunc(unreplaced, func(r downReplica) bool { return r.id == id }), 0)
	o.apply(ledger.Event{Kind: ledger.ReplicaGone, At: now, Group: unreplaced[i].name, Replica: unreplaced[i].id})
	o.unreplaced[g.group] = slices.Delete(unreplaced, i, i+1)
}

// isOfModel reports whether a replica is one of a model: the model's name begins its id.
func isOfModel(id cluster.ReplicaID) bool { return fleet.ModelOf(string(id)) != "" }

// recordStranded records how many accelerators are stranded, by group and cause.
func (o *outageRecorder) recordStranded(counts map[strandedKey]int, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.stranded {
		if _, counted := counts[key]; !counted { // the rules no longer have the group
			o.apply(ledger.Event{Kind: ledger.StrandedCount, At: now, Group: key.group, Cause: key.cause})
		}
	}
	for key, n := range counts {
		o.apply(ledger.Event{Kind: ledger.StrandedCount, At: now, Group: key.group, Cause: key.cause, Count: n})
	}
	o.stranded = counts
	o.recorder.Tick(now)
	if now.Sub(o.lastCut) < windowLength {
		return
	}
	o.lastCut = now
	o.cutWindow()
}

// cutWindow ends the current window; the caller holds o.mu.
func (o *outageRecorder) cutWindow() {
	w, ok := o.recorder.CloseWindow()
	if !ok {
		return
	}
	o.windows = append(o.windows, w)
	if excess := len(o.windows) - maxWindows; excess > 0 {
		o.windows = slices.Delete(o.windows, 0, excess)
	}
}

// report summarizes a period from this node's memory and the stored windows.
func (o *outageRecorder) report(from, to time.Time, stored []ledger.Window, corrections []ledger.Correction) ledger.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cutWindow()
	return ledger.BuildReport(o.zone, from, to, slices.Concat(o.windows, stored), corrections)
}

type strandedKey struct {
	group cluster.GroupName
	cause ledger.Cause
}

// countStranded counts the model engines that serve in no replica: those with loaded
// weights by the group of the weights, the others together.
func (n *Core) countStranded() map[strandedKey]int {
	list, set := n.serverList.Load(), n.rules.Load()
	if list == nil || set == nil {
		return nil
	}
	counts := map[strandedKey]int{{"", causeNoWeights}: 0}
	engines := make(map[cluster.Service]bool)
	for _, g := range set.Groups {
		engines[g.Servers] = true
		counts[strandedKey{set.SharedName(g.Name), causeUnassigned}] = 0
	}
	n.servingMu.Lock()
	serving := n.serving
	n.servingMu.Unlock()
	for _, s := range list.Servers {
		m := s.Membership
		switch {
		case !engines[s.Service] || s.Draining:
		case m != nil && serving[fleet.ReplicaID(m.Replica, m.Epoch)]:
		case len(s.Staged) > 0:
			group, _ := set.TargetGroup(s.Service, s.Staged[0])
			counts[strandedKey{set.SharedName(group), causeUnassigned}]++
		default:
			counts[strandedKey{"", causeNoWeights}]++
		}
	}
	return counts
}

// strandedLoop records the stranded accelerators until ctx ends.
func (n *Core) strandedLoop(ctx context.Context) {
	clock.Every(ctx, strandedInterval, func(now time.Time) { n.outages.recordStranded(n.countStranded(), now) })
}

// Outages implements operator.OutageSource. While the store is unreachable, it reports
// from this node's memory.
func (o operatorAPI) Outages(ctx context.Context, from, to time.Time, zone cluster.ZoneID) (*wirepb.OutagesResponse, error) {
	out := &wirepb.OutagesResponse{}
	if zone != "" && zone != o.n.outages.zone {
		return out, nil
	}
	stored, corrections, err := ledger.Load(ctx, o.n.platform.Store, o.n.outages.zone, from, to)
	if err != nil {
		o.n.log.Warn("outages reported from memory only", "err", err)
	}
	report := o.n.outages.report(from, to, stored, corrections)
	operator.AddReport(out, o.n.outages.zone, &report)
	return out, nil
}

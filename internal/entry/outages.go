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

// Causes of outages as a node sees them in the list.
const (
	causeMemberLost ledger.Cause = "member-lost"
	causeEnded      ledger.Cause = "ended"
	causeUnassigned ledger.Cause = "unassigned"
	causeNoWeights  ledger.Cause = "no-weights"
)

const (
	// cutEvery is how often the record is cut into windows, keptWindows how many are
	// kept: those of a day.
	cutEvery    = time.Minute
	keptWindows = 24 * 60
	// strandedEvery is how often idle accelerators are counted.
	strandedEvery = time.Second
)

// outages records group downtime and stranded accelerators as this node sees them.
// A node that watches the store itself also brings its record there, where it
// outlives all nodes; time that nobody recorded reads as unobserved.
//
// A replica that ceases to serve is down until another of its group takes its
// place; on this platform a new one always has another name.
type outages struct {
	zone cluster.ZoneID
	// keeper brings the record to the store; nil for a node that follows a feed.
	keeper *ledger.Writer

	mu       sync.Mutex
	recorder *ledger.Recorder
	windows  []ledger.Window
	cutAt    time.Time
	// missing are the replicas that were lost and have not been replaced, oldest first.
	missing map[cluster.GroupName][]cluster.ReplicaID
}

func newOutages(node cluster.NodeID, zone cluster.ZoneID, now time.Time) *outages {
	options := ledger.RecorderOptions{Observer: node, Incarnation: uint64(now.UnixNano()), Zone: zone}
	return &outages{zone: zone, recorder: ledger.NewRecorder(options, now), cutAt: now, missing: make(map[cluster.GroupName][]cluster.ReplicaID)}
}

// keep has the record brought to the store from now on.
func (o *outages) keep(s store.Store, node cluster.NodeID, log *slog.Logger) {
	o.keeper = ledger.NewWriter(s, ledger.RecorderOptions{Observer: node, Incarnation: uint64(time.Now().UnixNano()), Zone: o.zone}, log)
}

// run brings the record to the store until ctx ends.
func (o *outages) run(ctx context.Context) {
	if o.keeper != nil {
		o.keeper.Run(ctx)
	}
}

// apply records an event; the caller holds o.mu.
func (o *outages) apply(ev ledger.Event) {
	o.recorder.Apply(ev)
	if o.keeper != nil {
		o.keeper.Record(ev)
	}
}

// lost notes a replica that ceased to serve.
func (o *outages) lost(id cluster.ReplicaID, memberLost bool, now time.Time) {
	cause := causeEnded
	if memberLost {
		cause = causeMemberLost
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	group := groupOf(id)
	o.missing[group] = append(o.missing[group], id)
	o.apply(ledger.Event{Kind: ledger.ReplicaDown, At: now, Group: group, Replica: id, Cause: cause, Evidence: "list of servers"})
}

// began notes a replica that serves now: itself again, or in the place of the one
// that has been missing longest.
func (o *outages) began(id cluster.ReplicaID, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	group := groupOf(id)
	missing := o.missing[group]
	if len(missing) == 0 {
		return
	}
	at := max(slices.Index(missing, id), 0)
	o.apply(ledger.Event{Kind: ledger.ReplicaGone, At: now, Group: group, Replica: missing[at]})
	o.missing[group] = slices.Delete(missing, at, at+1)
}

// groupOf is the group of a replica's id, which begins with its name.
func groupOf(id cluster.ReplicaID) cluster.GroupName {
	return cluster.GroupName(fleet.ModelOf(string(id)))
}

// count notes how many accelerators are idle, by group and cause.
func (o *outages) count(idle map[strandedKey]int, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, n := range idle {
		o.apply(ledger.Event{Kind: ledger.StrandedCount, At: now, Group: key.group, Cause: key.cause, Count: n})
	}
	o.recorder.Tick(now)
	if now.Sub(o.cutAt) < cutEvery {
		return
	}
	o.cutAt = now
	o.cut()
}

// cut ends a window; the caller holds o.mu.
func (o *outages) cut() {
	w, any := o.recorder.CloseWindow()
	if !any {
		return
	}
	o.windows = append(o.windows, w)
	if over := len(o.windows) - keptWindows; over > 0 {
		o.windows = slices.Delete(o.windows, 0, over)
	}
}

// report accounts for a period by this node's memory and what stands in the store.
func (o *outages) report(from, to time.Time, stored []ledger.Window, corrections []ledger.Correction) ledger.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cut()
	return ledger.BuildReport(o.zone, from, to, slices.Concat(o.windows, stored), corrections)
}

type strandedKey struct {
	group cluster.GroupName
	cause ledger.Cause
}

// idle counts the model engines that serve in no replica: those with weights by
// the group these belong to, the others together.
func (n *Core) idle() map[strandedKey]int {
	list, set := n.list.Load(), n.rules.Load()
	if list == nil || set == nil {
		return nil
	}
	out := map[strandedKey]int{{"", causeNoWeights}: 0}
	engines := make(map[cluster.Service]bool)
	for _, g := range set.Groups {
		engines[g.Servers] = true
		out[strandedKey{g.Name, causeUnassigned}] = 0
	}
	n.deriving.Lock()
	serving := n.serving
	n.deriving.Unlock()
	for _, s := range list.Servers {
		m := s.Membership
		switch {
		case !engines[s.Service] || s.Draining:
		case m != nil && serving[fleet.ReplicaID(m.Replica, m.Epoch)]:
		case len(s.Staged) > 0:
			out[strandedKey{cluster.GroupName(s.Staged[0]), causeUnassigned}]++
		default:
			out[strandedKey{"", causeNoWeights}]++
		}
	}
	return out
}

// watchIdle counts idle accelerators until ctx ends.
func (n *Core) watchIdle(ctx context.Context) {
	clock.Every(ctx, strandedEvery, func(now time.Time) { n.outages.count(n.idle(), now) })
}

// Outages implements operator.OutageSource. Without the store it tells what this
// node remembers.
func (o operators) Outages(ctx context.Context, from, to time.Time, zone cluster.ZoneID) (*wirepb.OutagesResponse, error) {
	out := &wirepb.OutagesResponse{}
	if zone != "" && zone != o.n.outages.zone {
		return out, nil
	}
	stored, corrections, err := ledger.Load(ctx, o.n.platform.Store, o.n.outages.zone, from, to)
	if err != nil {
		o.n.log.Warn("outages from memory alone", "err", err)
	}
	report := o.n.outages.report(from, to, stored, corrections)
	operator.AddReport(out, o.n.outages.zone, &report)
	return out, nil
}

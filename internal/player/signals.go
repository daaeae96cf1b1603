package player

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/relay"
)

// pushbackReaction is how long after a server has asked a node for no requests the node may still
// send some.
const pushbackReaction = 500 * time.Millisecond

// sender is a node that sends requests to a VM.
type sender struct {
	vm   cluster.VMID
	node cluster.NodeID
}

// signalRecord records what a VM said of itself to a node, and the node's requests to it.
type signalRecord struct {
	// pushbacks are the times at which the VM asked for no requests, each for the time named.
	pushbacks []time.Time
	named     time.Duration
	// leavingSince is when it first said that it shuts down.
	leavingSince time.Time
	arrivals     []time.Time
}

// signalFault is what the heads of some replicas say of themselves.
type signalFault struct {
	pushback time.Duration
	leaving  bool
	// nodes limits the nodes that are told; nil means all.
	nodes map[cluster.NodeID]bool
}

// startSignals has the heads of some replicas give signals.
func (sys *Simulation) startSignals(f Fault) {
	w := sys.world
	signals := signalFault{leaving: f.Kind == LeavingServers}
	if f.Kind == PushbackServers {
		signals.pushback = time.Duration(f.Factor * float64(time.Second))
	}
	if f.Nodes > 0 {
		signals.nodes = make(map[cluster.NodeID]bool)
		for _, n := range sys.nodes[:min(f.Nodes, len(sys.nodes))] {
			signals.nodes[n.id] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.servingMembers(f.Zone, f.Model) {
		if v.head != nil && len(w.signals) < f.Count {
			w.signals[v.entry.ID] = signals
		}
	}
}

func (w *world) endSignals() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.signals)
}

// signalsTo returns the signals that the VM gives a node, and the record of both; nil if it gives
// none. The caller holds w.mu.
func (w *world) signalsTo(v *vm, node cluster.NodeID) (signalFault, *signalRecord) {
	signals, given := w.signals[v.entry.ID]
	if !given || signals.nodes != nil && !signals.nodes[node] {
		return signalFault{}, nil
	}
	return signals, w.signalRecord(v, node)
}

// sayLeaving reports whether the VM says in an answer to a node that it shuts down. The caller
// holds w.mu.
func (w *world) sayLeaving(v *vm, node cluster.NodeID) bool {
	signals, rec := w.signalsTo(v, node)
	if signals.leaving && rec.leavingSince.IsZero() {
		rec.leavingSince = time.Now()
	}
	return signals.leaving
}

// signalRecord returns the record of a VM and a node. The caller holds w.mu.
func (w *world) signalRecord(v *vm, node cluster.NodeID) *signalRecord {
	key := sender{v.entry.ID, node}
	if w.signalRecords[key] == nil {
		w.signalRecords[key] = &signalRecord{}
	}
	return w.signalRecords[key]
}

// refuseForPushback refuses a request if the VM wants none from the node. The caller holds w.mu.
func (w *world) refuseForPushback(v *vm, node cluster.NodeID, load relay.Load) error {
	signals, rec := w.signalsTo(v, node)
	if signals.pushback == 0 {
		return nil
	}
	rec.pushbacks, rec.named = append(rec.pushbacks, time.Now()), signals.pushback
	return &relay.NotRunError{Reason: "status 503", Received: true, State: relay.ServerState{Load: &load, Pushback: signals.pushback}, Err: errors.New(string(v.entry.ID))}
}

// requestsAgainstSignals returns the largest number of requests that a node sent to a VM which had
// asked it for none, and how long after a VM said that it shuts down a node last sent it one.
func (w *world) requestsAgainstSignals() (mostInPushback int, latestToLeaving time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, rec := range w.signalRecords {
		for _, asked := range rec.pushbacks {
			inside := 0
			for _, at := range rec.arrivals {
				if after := at.Sub(asked); after > pushbackReaction && after < rec.named {
					inside++
				}
			}
			mostInPushback = max(mostInPushback, inside)
		}
		if n := len(rec.arrivals); n > 0 && !rec.leavingSince.IsZero() {
			latestToLeaving = max(latestToLeaving, rec.arrivals[n-1].Sub(rec.leavingSince))
		}
	}
	return mostInPushback, latestToLeaving
}

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

// wordRecord records what a VM said of itself to a node, and the node's requests to it.
type wordRecord struct {
	// pushbacks are the times at which the VM asked for no requests, each for the time named.
	pushbacks []time.Time
	named     time.Duration
	// leavingSince is when it first said that it shuts down.
	leavingSince time.Time
	arrivals     []time.Time
}

// wordFault is what the heads of some replicas say of themselves.
type wordFault struct {
	pushback time.Duration
	leaving  bool
	// nodes limits the nodes that are told; nil means all.
	nodes map[cluster.NodeID]bool
}

// startWords has the heads of some replicas speak of themselves.
func (sys *Simulation) startWords(f Fault) {
	w := sys.world
	word := wordFault{leaving: f.Kind == LeavingServers}
	if f.Kind == PushbackServers {
		word.pushback = time.Duration(f.Factor * float64(time.Second))
	}
	if f.Nodes > 0 {
		word.nodes = make(map[cluster.NodeID]bool)
		for _, n := range sys.nodes[:min(f.Nodes, len(sys.nodes))] {
			word.nodes[n.id] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.servingMembers(f.Zone, f.Model) {
		if v.head != nil && len(w.words) < f.Count {
			w.words[v.entry.ID] = word
		}
	}
}

func (w *world) endWords() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.words)
}

// wordTo returns what the VM says to a node that has sent it a request, and records it. The caller
// holds w.mu.
func (w *world) wordTo(v *vm, node cluster.NodeID) (pushback time.Duration, leaving bool) {
	word, speaks := w.words[v.entry.ID]
	if !speaks || word.nodes != nil && !word.nodes[node] {
		return 0, false
	}
	rec, now := w.wordRecord(v, node), time.Now()
	if word.pushback > 0 {
		rec.pushbacks, rec.named = append(rec.pushbacks, now), word.pushback
	}
	if word.leaving && rec.leavingSince.IsZero() {
		rec.leavingSince = now
	}
	return word.pushback, word.leaving
}

// wordRecord returns the record of a VM and a node. The caller holds w.mu.
func (w *world) wordRecord(v *vm, node cluster.NodeID) *wordRecord {
	key := sender{v.entry.ID, node}
	if w.wordRecords[key] == nil {
		w.wordRecords[key] = &wordRecord{}
	}
	return w.wordRecords[key]
}

// refuseForPushback refuses a request if the VM wants none from the node. The caller holds w.mu.
func (w *world) refuseForPushback(v *vm, node cluster.NodeID, load relay.Load) error {
	pushback, _ := w.wordTo(v, node)
	if pushback == 0 {
		return nil
	}
	return &relay.NotRunError{Reason: "status 503", Received: true, State: relay.ServerState{Load: &load, Pushback: pushback}, Err: errors.New(string(v.entry.ID))}
}

// requestsAgainstWords returns the largest number of requests that a node sent to a VM which had
// asked it for none, and how long after a VM said that it shuts down a node last sent it one.
func (w *world) requestsAgainstWords() (mostInPushback int, latestToLeaving time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, rec := range w.wordRecords {
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

package player

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/relay"
)

// isolation is the state of a node that is separated from all VMs. Its connections hang, or new
// ones are refused.
type isolation struct{ refuse bool }

// isolateNodes separates the fault's nodes from all VMs.
func (sys *Simulation) isolateNodes(f Fault) {
	w := sys.world
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range sys.nodes[:min(f.Count, len(sys.nodes))] {
		w.isolated[n.id] = isolation{f.Refuse}
	}
}

// endIsolation reverts isolateNodes.
func (sys *Simulation) endIsolation(f Fault) {
	w := sys.world
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range sys.nodes[:min(f.Count, len(sys.nodes))] {
		delete(w.isolated, n.id)
	}
}

func (w *world) isIsolated(id cluster.NodeID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, isolated := w.isolated[id]
	return isolated
}

// pathCheckInterval is how often a stream whose node is isolated checks whether the path is back.
const pathCheckInterval = 50 * time.Millisecond

// awaitPath waits while the stream's node is isolated.
func (r *streamBody) awaitPath() error {
	for r.w.isIsolated(r.node) {
		select {
		case <-r.ctx.Done():
			r.cancelJob()
			return &relay.BrokenError{Reason: "no answer", Err: r.ctx.Err()}
		case <-time.After(pathCheckInterval):
		}
	}
	return nil
}

package player

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/relay"
)

// isolation is the state of a node whose path to all VMs is disturbed. Its connections hang, or new
// ones are refused. If oneWay is set, only what VMs send is lost; if loss is above 0, that share of
// the packets of both directions, and nothing else.
type isolation struct {
	refuse, oneWay bool
	loss           float64
}

// isolateNodes separates the fault's nodes from all VMs.
func (sys *Simulation) isolateNodes(f Fault) {
	w := sys.world
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range sys.nodes[:min(f.Count, len(sys.nodes))] {
		w.isolated[n.id] = isolation{f.Refuse, f.OneWay, f.Factor}
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

// pathOf returns the state of the node's path to the VMs.
func (w *world) pathOf(id cluster.NodeID) (cut isolation, disturbed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cut, disturbed = w.isolated[id]
	return cut, disturbed
}

// pathCheckInterval is how often a stream whose node is isolated checks whether the path is back.
const pathCheckInterval = 50 * time.Millisecond

// awaitPath waits while the stream's node is isolated, and for lost packets of a piece that was sent at
// a time.
func (r *streamBody) awaitPath(sent time.Time) error {
	for {
		cut, disturbed := r.w.pathOf(r.node)
		if disturbed && cut.loss > 0 {
			r.arrival = maxTime(r.arrival, sent.Add(r.w.retransmission(cut.loss)))
			return r.sleep(time.Until(r.arrival))
		}
		if !disturbed {
			return nil
		}
		if err := r.sleep(pathCheckInterval); err != nil {
			return err
		}
	}
}

// sleep waits, unless the sender gives up.
func (r *streamBody) sleep(d time.Duration) error {
	if !clock.Pause(r.ctx, d) {
		r.cancelJob()
		return &relay.BrokenError{Reason: "no answer", Err: r.ctx.Err()}
	}
	return nil
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Time-outs of TCP after which a packet is sent again, each twice as long as the one before: of data,
// and of the first packets of a connection.
const (
	dataTimeout    = 200 * time.Millisecond
	connectTimeout = time.Second
)

// retransmission draws how much later than without loss a packet of data arrives.
func (w *world) retransmission(loss float64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return backoffUntil(dataTimeout, func() bool { return w.rng.Float64() >= loss })
}

// connectDelay draws how much later than without loss a connection is open: its first packet and the
// answer must arrive.
func (w *world) connectDelay(loss float64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return backoffUntil(connectTimeout, func() bool { return w.rng.Float64() < (1-loss)*(1-loss) })
}

// backoffUntil returns the sum of the time-outs, the first of which is given, until arrives is true.
func backoffUntil(timeout time.Duration, arrives func() bool) (delay time.Duration) {
	for !arrives() {
		delay += timeout
		timeout *= 2
	}
	return delay
}

// Package reach detects that a node has lost its path to the backend servers while everything
// else still works. Servers that end or stall look the same to a single call; a few connections
// to other servers tell the two apart. It also holds what other nodes say of their paths.
package reach

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/singleflight"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/conns"
)

const (
	// minFailures is the number of servers that must have failed, without any answer since, for
	// the path to be probed.
	minFailures = 2
	// probedServers is the number of servers to which a probe opens connections, half of them
	// in this node's zone: if the zone is cut off from the others, its own servers still serve
	// it. probeTimeout is how long a probe waits for them. A connection takes a round trip, or
	// a second more if its first packet is lost.
	probedServers = 8
	probeTimeout  = 400 * time.Millisecond
	// lostShare is the share of the probed servers below which the path counts as lost.
	lostShare = 1. / 6
	// probeInterval is the time between two probes while no server is reachable, and
	// quietInterval the shortest one otherwise.
	probeInterval = 300 * time.Millisecond
	quietInterval = time.Second
	// recoveredProbes is the number of probes in a row that must reach most servers for the path
	// to count as restored.
	recoveredProbes = 2
	// acceptedLifetime is how long an accepted connection shows that a server is reachable, beside
	// the time in which the probes come round to all servers.
	acceptedLifetime = 2 * time.Second
)

var (
	probesTotal = metrics.NewCounter("fennel_reach_probes_total")
	lossesTotal = metrics.NewCounter("fennel_reach_losses_total")
)

// Options are the dependencies of a Detector.
type Options struct {
	// Servers returns the listed servers of this node's zone and those of other zones.
	Servers func() (local, others []conns.Peer)
	// Accepts reports whether a server accepts a connection before ctx ends.
	Accepts func(ctx context.Context, server conns.Peer) bool
	// OnLost is called when the servers have become unreachable.
	OnLost func()
	Log    *slog.Logger
}

// Detector tells whether this node reaches the backend servers. All methods are safe for
// concurrent use.
type Detector struct {
	opts        Options
	unreachable atomic.Bool
	shared      singleflight.Group
	// suspected receives a value when the path is to be probed.
	suspected chan struct{}

	mu sync.Mutex
	// failed holds the servers that failed since the last answer of any.
	failed    map[string]struct{}
	hasFailed atomic.Bool
	// probes counts the probes, and lastProbe holds the last one of each listed server.
	probes    uint64
	lastProbe map[conns.Peer]uint64
	// accepted holds by address when a server last accepted a connection of a probe, unless it has
	// failed since.
	accepted map[string]time.Time
}

// NewDetector returns a Detector; Run makes it work.
func NewDetector(opts Options) *Detector {
	return &Detector{opts: opts, suspected: make(chan struct{}, 1), failed: make(map[string]struct{}), accepted: make(map[string]time.Time)}
}

// Unreachable reports whether this node reaches no backend server, or so few that other nodes
// should serve its callers.
func (d *Detector) Unreachable() bool { return d.unreachable.Load() }

// Failed records that a server, named by its address or any unique text, could not be reached or did
// not answer.
func (d *Detector) Failed(server string) {
	d.mu.Lock()
	d.failed[server] = struct{}{}
	delete(d.accepted, server)
	enough := len(d.failed) >= minFailures
	d.hasFailed.Store(true)
	d.mu.Unlock()
	if !enough {
		return
	}
	select {
	case d.suspected <- struct{}{}:
	default:
	}
}

// Answered records that a server answered.
func (d *Detector) Answered() {
	if !d.hasFailed.Load() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.failed)
	d.hasFailed.Store(false)
}

// failures returns the number of servers that failed since the last answer.
func (d *Detector) failures() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.failed)
}

// Run probes the path whenever it is suspected to be lost, until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.suspected:
		}
		if d.failures() < minFailures {
			continue // a server has answered meanwhile
		}
		result := d.probe(ctx)
		if !result.lost() || ctx.Err() != nil {
			d.Answered()
			clock.Pause(ctx, quietInterval)
			continue
		}
		d.awaitRecovery(ctx, result)
	}
}

// awaitRecovery marks the servers as unreachable until most of them accept connections again.
func (d *Detector) awaitRecovery(ctx context.Context, result probeResult) {
	lostAt := time.Now()
	d.unreachable.Store(true)
	defer d.unreachable.Store(false)
	lossesTotal.Inc()
	d.opts.Log.Warn("backend servers unreachable", "failed", d.failures(), "probed", result.probed, "accepted", result.accepted)
	d.opts.OnLost()
	for reached := 0; reached < recoveredProbes; {
		if !clock.Pause(ctx, probeInterval) {
			return
		}
		reached++
		if result = d.probe(ctx); !result.restored() {
			reached = 0
		}
	}
	d.Answered()
	d.opts.Log.Info("backend servers reachable again", "after", time.Since(lostAt))
}

// probeResult is the number of servers that were probed, and of those that accepted.
type probeResult struct{ accepted, probed int }

// lost reports whether so few servers accepted that the path counts as lost.
func (r probeResult) lost() bool {
	return r.probed > 0 && float64(r.accepted) < lostShare*float64(r.probed)
}

// restored reports whether most servers accepted.
func (r probeResult) restored() bool { return 2*r.accepted >= r.probed }

// Probe opens connections to a few servers and reports whether this node reaches them.
// Concurrent calls share one probe.
func (d *Detector) Probe(ctx context.Context) bool {
	if d.Unreachable() {
		return false
	}
	result := d.shared.DoChan("", func() (any, error) { return d.probe(context.WithoutCancel(ctx)), nil })
	select {
	case <-ctx.Done():
		return false
	case r := <-result:
		found, _ := r.Val.(probeResult)
		return !found.lost()
	}
}

// Reachable reports whether the server at the address has lately accepted a connection of a probe and
// not failed since. It is of use while Unreachable.
func (d *Detector) Reachable(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isFresh(d.accepted[addr])
}

// isFresh reports whether a connection accepted at that time still counts. The caller holds d.mu.
func (d *Detector) isFresh(acceptedAt time.Time) bool {
	round := time.Duration(len(d.lastProbe)/probedServers+1) * probeInterval
	return time.Since(acceptedAt) < acceptedLifetime+round
}

// SomeReachable reports whether any server is Reachable.
func (d *Detector) SomeReachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, at := range d.accepted {
		if d.isFresh(at) {
			return true
		}
		delete(d.accepted, addr)
	}
	return false
}

// recordAccepted records that a server accepted a connection of a probe.
func (d *Detector) recordAccepted(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted[addr] = time.Now()
}

// sample returns the servers to probe: those that were probed least recently, in random order if
// equal, so that a few reachable servers among many are found within some probes.
func (d *Detector) sample() []conns.Peer {
	local, others := d.opts.Servers()
	d.mu.Lock()
	defer d.mu.Unlock()
	last := make(map[conns.Peer]uint64, len(local)+len(others))
	for _, servers := range [][]conns.Peer{local, others} {
		for _, server := range servers {
			last[server] = d.lastProbe[server]
		}
		rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		slices.SortStableFunc(servers, func(a, b conns.Peer) int { return cmp.Compare(last[a], last[b]) })
	}
	fromLocal := min(len(local), max(probedServers/2, probedServers-len(others)))
	chosen := append(local[:fromLocal:fromLocal], others[:min(len(others), probedServers-fromLocal)]...)
	d.probes++
	for _, server := range chosen {
		last[server] = d.probes
	}
	d.lastProbe = last
	return chosen
}

// probe opens connections to a few servers. It ends early if most accept.
func (d *Detector) probe(ctx context.Context) probeResult {
	probesTotal.Inc()
	servers := d.sample()
	ctx, cancel := clock.WithRunningTimeout(ctx, probeTimeout)
	defer cancel()
	accepted := make(chan bool, len(servers))
	for _, server := range servers {
		go func() {
			ok := d.opts.Accepts(ctx, server)
			if ok {
				d.recordAccepted(server.Addr)
			}
			accepted <- ok
		}()
	}
	result := probeResult{probed: len(servers)}
	for range servers {
		if !<-accepted {
			continue
		}
		if result.accepted++; result.restored() {
			break
		}
	}
	return result
}

// Package membership provides node discovery, failure detection and the exchange of small
// state between the nodes of a system, by heartbeat datagrams and without a central service.
//
// Each second a node sends its heartbeat to a few peers of its zone, in rotation, and
// forwards the newest heartbeats it knows of other nodes. Two nodes of a zone hold the link
// to each other zone. There is no consensus: views can differ temporarily, and callers must
// stay correct if two nodes are responsible for the same task. See docs/membership.md.
package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Transport sends and receives datagrams. wire.Transport implements it.
type Transport interface {
	SendAll(addrs []string, d *wirepb.Datagram) error
	Handle(h wire.Handler)
	HandleStale(h wire.Handler)
	Addr() string
}

// Options configures a Service.
type Options struct {
	Node cluster.NodeID
	Zone cluster.ZoneID
	// Incarnation must be higher than that of the node's previous process; it is the
	// process's start time in ns. Zero means now.
	Incarnation uint64
	// Seeds are the datagram addresses (ip:port) of some nodes of each zone.
	Seeds []string
	// PeerAddr is the ip:port of this node's connect-go services.
	PeerAddr string
	// DatagramAddr is the address at which peers reach this node; empty means
	// Transport.Addr.
	DatagramAddr string
	Transport    Transport
	// Clock and Rand are set in tests; nil means time.Now and a random seed.
	Clock func() time.Time
	Rand  *rand.Rand
	// Interval is the time between heartbeats; zero means that of Timing, whose zero fields
	// have defaults.
	Interval time.Duration
	Timing   Timing
	// SendBudget is in bytes per second; zero means DefaultSendBudget.
	SendBudget int
	// CheckDuplicate checks for another process with this node's name. If it is nil, a
	// superseded node sends nothing until it is restarted.
	CheckDuplicate CheckDuplicate
	// Gossip configures datagrams between heartbeats; the zero value disables them.
	Gossip Gossip
	Log    *slog.Logger
}

// Service runs the membership protocol of one node. All methods are safe for concurrent
// use.
type Service struct {
	transport Transport
	now       func() time.Time
	log       *slog.Logger
	interval  time.Duration
	triggered chan struct{}
	// gossipTriggered requests gossip about a change.
	gossipTriggered chan struct{}
	// lastChange is when a change was last sent, lastFull when all sources were. Only sendGossip uses
	// them.
	lastChange, lastFull time.Time

	checkDuplicate CheckDuplicate
	background     sync.WaitGroup
	gossip         Gossip
	changes        changeLog

	// mu guards state and is not held during sends and callbacks.
	mu    sync.Mutex
	state *State

	// subMu guards the callbacks registered by other packages.
	subMu       sync.RWMutex
	subscribers []func(from Member, d *wirepb.Datagram)
	sources     []Source
	revision    func() int64
}

// New returns a service that knows only its seeds. Run starts it.
func New(opts Options) *Service {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	now := opts.Clock()
	if opts.Incarnation == 0 {
		opts.Incarnation = uint64(now.UnixNano())
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if opts.Log == nil {
		opts.Log = slog.Default()
	}
	if opts.DatagramAddr == "" {
		opts.DatagramAddr = opts.Transport.Addr()
	}
	if opts.Interval > 0 {
		opts.Timing.Interval = opts.Interval
	}
	self := Self{
		Node: opts.Node, Zone: opts.Zone, Incarnation: opts.Incarnation,
		DatagramAddr: opts.DatagramAddr, PeerAddr: opts.PeerAddr,
	}
	s := &Service{
		transport: opts.Transport,
		now:       opts.Clock,
		log:       opts.Log,
		interval:  opts.Timing.withDefaults().Interval,
		triggered: make(chan struct{}, 1),

		gossipTriggered: make(chan struct{}, 1),

		checkDuplicate: opts.CheckDuplicate,
		gossip:         opts.Gossip,

		state:    NewState(self, opts.Seeds, opts.Timing, opts.SendBudget, opts.Rand, now),
		revision: func() int64 { return 0 },
	}
	s.transport.Handle(s.receive)
	s.transport.HandleStale(s.receiveStale)
	return s
}

// minExtraInterval is the minimum time between two extra heartbeats.
const minExtraInterval = 100 * time.Millisecond

// Run sends heartbeats until ctx is done.
func (s *Service) Run(ctx context.Context) {
	next := s.now().Add(s.interval)
	timer := time.NewTimer(s.interval)
	defer timer.Stop()
	defer s.background.Wait()
	if len(s.gossip.Sources) > 0 {
		s.background.Go(func() { s.sendGossip(ctx) })
	}
	var lastExtra time.Time
	s.heartbeat()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			next = next.Add(s.interval)
			timer.Reset(max(next.Sub(s.now()), minExtraInterval))
			s.heartbeat()
			s.checkForDuplicate(ctx)
		case <-s.triggered:
			if !wait(ctx, minExtraInterval-s.now().Sub(lastExtra)) {
				return
			}
			lastExtra = s.now()
			s.sendExtraHeartbeat()
		}
	}
}

// wait waits for d and returns false if ctx is done first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (s *Service) heartbeat() {
	revision := s.rulesRevision()
	s.mu.Lock()
	send := s.state.Tick(s.now(), revision)
	changes := s.state.TakeChanges()
	s.mu.Unlock()
	s.changes.record(changes, s.log)
	s.changes.flush(s.log)
	s.send(send)
}

func (s *Service) sendExtraHeartbeat() {
	revision := s.rulesRevision()
	s.mu.Lock()
	send := s.state.ExtraHeartbeat(s.now(), revision)
	s.mu.Unlock()
	size := s.send(send)
	s.mu.Lock()
	s.state.ChargeExtraHeartbeat(size, len(send.Addrs))
	s.mu.Unlock()
}

// send adds the sections, sends the datagram and returns the size of its body in bytes.
func (s *Service) send(send Outgoing) int {
	if len(send.Addrs) == 0 {
		return 0
	}
	s.subMu.RLock()
	sources := s.sources
	s.subMu.RUnlock()
	fill(send.Datagram, send.Limit, sources, s.log)
	s.transmit(send)
	return proto.Size(send.Datagram)
}

func (s *Service) transmit(send Outgoing) {
	if err := s.transport.SendAll(send.Addrs, send.Datagram); err != nil {
		// An unreachable peer is detected by its silence.
		s.log.Debug("sending a datagram failed", "err", err)
	}
}

func (s *Service) receive(d *wirepb.Datagram) {
	now := s.now()
	s.mu.Lock()
	wasSuperseded := s.state.Superseded()
	if !d.Brief {
		s.state.Receive(d, now)
	}
	changes := s.state.TakeChanges()
	superseded := s.state.Superseded()
	from, known := s.state.sender(d, now)
	s.mu.Unlock()
	s.changes.record(changes, s.log)
	if superseded && !wasSuperseded {
		s.log.Error("another process runs under this node's name, this node stops sending", "node", d.Node)
	}
	if !known {
		return
	}
	s.subMu.RLock()
	subscribers := s.subscribers
	s.subMu.RUnlock()
	for _, f := range subscribers {
		f(from, d)
	}
}

func (s *Service) receiveStale(d *wirepb.Datagram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ReceiveStale(d)
}

// Members returns the other nodes known to this one, ordered by name.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Members(s.now())
}

// Self returns this node's description of itself.
func (s *Service) Self() Self {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Self()
}

// Responsible reports whether this node is one of the n nodes of its zone responsible for
// the named task. Temporarily more or fewer than n nodes may be.
func (s *Service) Responsible(name string, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Responsible(name, n, s.now())
}

// Owner returns the live node of this zone that owns the key.
func (s *Service) Owner(key string) cluster.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Owner(key)
}

// Rank returns this node's rank among the live nodes of its zone for the key; 0 is the
// owner.
func (s *Service) Rank(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Rank(key)
}

// Standing returns this node's rank for the key among the nodes of its zone that may be running, and
// their number; 0 nodes before it has joined.
func (s *Service) Standing(key string) (rank, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Standing(key, s.now())
}

// Superseded reports whether a newer process uses this node's name. This node then sends no
// heartbeats and gets no new requests. It resumes when the other process is gone.
func (s *Service) Superseded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Superseded()
}

// Leave informs the peers of the zone that this node is leaving and no longer responsible
// for any task. Heartbeats continue until Run ends.
func (s *Service) Leave() {
	revision := s.rulesRevision()
	s.mu.Lock()
	s.state.Leave()
	send := s.state.LeaveAnnouncement(revision)
	s.mu.Unlock()
	s.send(send)
}

// TriggerHeartbeat requests an extra heartbeat before the next regular one, after a new
// rules revision or a new quarantine. It never blocks.
func (s *Service) TriggerHeartbeat() {
	select {
	case s.triggered <- struct{}{}:
	default:
	}
}

// OnDatagram registers f to be called with each accepted datagram. f runs on the receiving
// goroutine and must not block.
func (s *Service) OnDatagram(f func(from Member, d *wirepb.Datagram)) {
	s.subMu.Lock()
	defer s.subMu.Unlock()
	s.subscribers = append(s.subscribers[:len(s.subscribers):len(s.subscribers)], f)
}

// AddSource adds a source of sections to this node's heartbeats. Sources are called in the
// order in which they were added.
func (s *Service) AddSource(source Source) {
	s.subMu.Lock()
	defer s.subMu.Unlock()
	s.sources = append(s.sources[:len(s.sources):len(s.sources)], source)
}

// SetRulesRevision sets the function that returns the rules revision in force on this node.
func (s *Service) SetRulesRevision(f func() int64) {
	s.subMu.Lock()
	defer s.subMu.Unlock()
	s.revision = f
}

func (s *Service) rulesRevision() int64 {
	s.subMu.RLock()
	f := s.revision
	s.subMu.RUnlock()
	return f()
}

// Peers returns the number of other nodes of this node's zone that are alive or suspect.
func (s *Service) Peers() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.state.order {
		if s.state.inOwnZone(m) && (m.status == Alive || m.status == Suspect) {
			count++
		}
	}
	return count
}

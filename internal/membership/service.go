// Package membership lets the nodes of a system know each other and share small
// state, by heartbeat datagrams and without any service of their own.
//
// A node sends its heartbeat to a few peers of its zone each second, in turn, and
// passes on the newest heartbeats it knows of others. Two nodes of a zone hold the
// link to each other zone. Nothing here is agreed upon: views differ for a while,
// and whoever uses them must stay correct when two nodes hold one duty. See
// docs/membership.md.
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

// Transport carries the datagrams; wire.Transport is one.
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
	// Incarnation must be higher than that of the node's former process: its
	// start time in ns. Zero means now.
	Incarnation uint64
	// Seeds are datagram addresses, ip:port, of some nodes of each zone.
	Seeds []string
	// PeerAddr is the ip:port of this node's connect-go services.
	PeerAddr string
	// DatagramAddr is where peers reach this node; empty means Transport.Addr.
	DatagramAddr string
	Transport    Transport
	// Clock and Rand are replaced in tests; nil means the real ones.
	Clock func() time.Time
	Rand  *rand.Rand
	// Interval between heartbeats; zero means DefaultInterval. Timing sets the other times.
	Interval time.Duration
	Timing   Timing
	// SendBudget is bytes per second; zero means DefaultSendBudget.
	SendBudget int
	// CheckDuplicate looks for the process that has this node's name; without it a node
	// that fell silent stays so until it is restarted.
	CheckDuplicate CheckDuplicate
	// Gossip goes out between the heartbeats; the zero value sends none.
	Gossip Gossip
	Log    *slog.Logger
}

// Service is the running membership of one node. All methods are safe for
// concurrent use.
type Service struct {
	transport Transport
	now       func() time.Time
	log       *slog.Logger
	interval  time.Duration
	nudged    chan struct{}

	findNamesake CheckDuplicate
	looks        sync.WaitGroup
	gossip       Gossip
	changes      changeLog

	// mu guards state and is never held while sending or calling out.
	mu    sync.Mutex
	state *State

	// subMu guards what other packages registered.
	subMu       sync.RWMutex
	subscribers []func(from Member, d *wirepb.Datagram)
	sources     []Source
	revision    func() int64
}

// New returns a service that knows only its seeds; Run starts it.
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
		nudged:    make(chan struct{}, 1),

		findNamesake: opts.CheckDuplicate,
		gossip:       opts.Gossip,

		state:    NewState(self, opts.Seeds, opts.Timing, opts.SendBudget, opts.Rand, now),
		revision: func() int64 { return 0 },
	}
	s.transport.Handle(s.receive)
	s.transport.HandleStale(s.receiveStale)
	return s
}

// nudgeGap is the least time between two nudges.
const nudgeGap = 100 * time.Millisecond

// Run sends heartbeats until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	defer s.looks.Wait()
	if s.gossip.Source != nil {
		s.looks.Go(func() { s.sendGossip(ctx) })
	}
	var lastNudge time.Time
	s.heartbeat()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.heartbeat()
			s.lookForNamesake(ctx)
		case <-s.nudged:
			if !wait(ctx, nudgeGap-s.now().Sub(lastNudge)) {
				return
			}
			lastNudge = s.now()
			s.sendNudge()
		}
	}
}

// wait returns false when ctx ended first.
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
	s.changes.note(changes, s.log)
	s.changes.write(s.log)
	s.send(send)
}

func (s *Service) sendNudge() {
	revision := s.rulesRevision()
	s.mu.Lock()
	send := s.state.ExtraHeartbeat(s.now(), revision)
	s.mu.Unlock()
	size := s.send(send)
	s.mu.Lock()
	s.state.ChargeExtraHeartbeat(size, len(send.Addrs))
	s.mu.Unlock()
}

// send adds the sections, sends and returns the size of the body in bytes.
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
		// A peer's address that cannot be reached is no news: ageing tells.
		s.log.Debug("datagram not sent", "err", err)
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
	from, known := s.state.knows(d, now)
	s.mu.Unlock()
	s.changes.note(changes, s.log)
	if superseded && !wasSuperseded {
		s.log.Error("another process runs under this node's name, falling silent", "node", d.Node)
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

// Members returns the other nodes known here, ordered by name.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Members(s.now())
}

// Self returns what this node says of itself.
func (s *Service) Self() Self {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Self()
}

// Responsible reports whether this node is among the n holders of a duty in its zone.
// For some moments two nodes may hold what one should, or none.
func (s *Service) Responsible(name string, n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Responsible(name, n, s.now())
}

// Owner returns the live node of this zone that the key falls to.
func (s *Service) Owner(key string) cluster.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Owner(key)
}

// Rank returns this node's place among the live nodes of its zone for the key, 0
// being the owner.
func (s *Service) Rank(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Rank(key)
}

// Superseded reports whether a newer process runs under this node's name; this
// one has then fallen silent and gets no new callers. It speaks again when the
// other is gone.
func (s *Service) Superseded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Superseded()
}

// Leave tells the peers of the zone that this node is leaving and holds its
// duties no longer. Heartbeats go on until Run ends.
func (s *Service) Leave() {
	revision := s.rulesRevision()
	s.mu.Lock()
	s.state.Leave()
	send := s.state.LeaveAnnouncement(revision)
	s.mu.Unlock()
	s.send(send)
}

// TriggerHeartbeat sends the sources' news soon, ahead of the next heartbeat: after a new
// rules revision or a new quarantine. It never blocks.
func (s *Service) TriggerHeartbeat() {
	select {
	case s.nudged <- struct{}{}:
	default:
	}
}

// OnDatagram subscribes to accepted datagrams. f runs on the receiving thread and
// must not block.
func (s *Service) OnDatagram(f func(from Member, d *wirepb.Datagram)) {
	s.subMu.Lock()
	defer s.subMu.Unlock()
	s.subscribers = append(s.subscribers[:len(s.subscribers):len(s.subscribers)], f)
}

// AddSource adds a section to this node's heartbeats, asked in the order added.
func (s *Service) AddSource(source Source) {
	s.subMu.Lock()
	defer s.subMu.Unlock()
	s.sources = append(s.sources[:len(s.sources):len(s.sources)], source)
}

// SetRulesRevision sets where the revision in force here is read.
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

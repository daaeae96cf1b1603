package wire

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// PacketConn moves packets without promise of delivery. Listen uses one on gnet;
// tests put a lossy network of their own in its place.
type PacketConn interface {
	// WriteTo sends one packet to an ip:port.
	WriteTo(packet []byte, addr string) error
	// Receive sets who takes received packets. The bytes are only valid during the call.
	Receive(take func(packet []byte, from string))
	Addr() string
	Close() error
}

// Options configures a Transport.
type Options struct {
	// Addr is the ip:port to listen on; port 0 lets the kernel choose.
	Addr string
	Keys *Keyring
	// System names the system that the node is part of; empty hears nodes of any.
	System string
	// Handler may also be set later by Transport.Handle.
	Handler Handler
	Log     *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// MaxAge and MaxSkew bound a datagram's stamp; zero means the defaults.
	MaxAge, MaxSkew time.Duration
	// Drop, when set, is asked for each packet to be sent and loses it on true: for tests.
	Drop func(addr string, packet []byte) bool
}

// Counters is what a transport has sent and received since it was made.
type Counters struct {
	SentPackets, SentBytes         uint64
	ReceivedPackets, ReceivedBytes uint64
	Dropped                        map[DropReason]uint64
}

// Transport sends and receives authenticated datagrams. All methods are safe
// for concurrent use.
type Transport struct {
	conn     PacketConn
	keys     *Keyring
	system   uint32
	now      func() time.Time
	log      *slog.Logger
	drop     func(addr string, packet []byte) bool
	handler  atomic.Pointer[Handler]
	stale    atomic.Pointer[Handler]
	sequence atomic.Uint64

	windowMu sync.Mutex // packets arrive on one thread; the lock is for tests and other conns
	window   *ReplayWindow

	sentPackets, sentBytes         atomic.Uint64
	receivedPackets, receivedBytes atomic.Uint64
	dropped                        map[DropReason]*dropCounter
}

type dropCounter struct {
	count    atomic.Uint64
	loggedAt atomic.Int64 // unix ns
}

var (
	metricSent     = metrics.NewCounter(`fennel_wire_sent_datagrams_total`)
	metricReceived = metrics.NewCounter(`fennel_wire_received_datagrams_total`)
	metricSentB    = metrics.NewCounter(`fennel_wire_sent_bytes_total`)
	metricRecvB    = metrics.NewCounter(`fennel_wire_received_bytes_total`)
)

// dropLogGap is the least time between two log lines of one drop reason, so
// that a flood of forged packets does not become a flood of lines.
const dropLogGap = 10 * time.Second

// Listen opens a UDP socket on gnet and returns the transport over it.
func Listen(opts Options) (*Transport, error) {
	if opts.Log == nil {
		opts.Log = slog.Default()
	}
	conn, err := listenGnet(opts.Addr, opts.Log)
	if err != nil {
		return nil, err
	}
	return NewTransport(conn, opts)
}

// NewTransport returns a transport over conn, which it closes with Close.
func NewTransport(conn PacketConn, opts Options) (*Transport, error) {
	if opts.Keys == nil {
		return nil, &ConfigError{Field: "keys", Cause: errors.New("no keyring given")}
	}
	t := &Transport{
		conn:    conn,
		keys:    opts.Keys,
		system:  systemHash(opts.System),
		now:     opts.Now,
		log:     opts.Log,
		drop:    opts.Drop,
		window:  NewReplayWindow(opts.MaxAge, opts.MaxSkew),
		dropped: make(map[DropReason]*dropCounter, len(allReasons)),
	}
	if t.now == nil {
		t.now = time.Now
	}
	if t.log == nil {
		t.log = slog.Default()
	}
	for _, reason := range allReasons {
		t.dropped[reason] = &dropCounter{}
	}
	if opts.Handler != nil {
		t.Handle(opts.Handler)
	}
	conn.Receive(t.receive)
	return t, nil
}

// Handle sets who takes accepted datagrams; until then they are verified and dropped.
func (t *Transport) Handle(h Handler) { t.handler.Store(&h) }

// HandleStale sets who is shown authentic, recent datagrams that were dropped as
// OldIncarnation, so that their sender can be told of its successor.
func (t *Transport) HandleStale(h Handler) { t.stale.Store(&h) }

// Addr is the ip:port this transport listens on.
func (t *Transport) Addr() string { return t.conn.Addr() }

// Close stops receiving and closes the socket.
func (t *Transport) Close() error { return t.conn.Close() }

// Send stamps d with the next sequence and the time, signs it and sends it.
func (t *Transport) Send(addr string, d *wirepb.Datagram) error {
	return t.SendAll([]string{addr}, d)
}

// SendAll sends one datagram to several addresses, encoded and signed once. All
// addresses are tried; the first failure is returned.
func (t *Transport) SendAll(addrs []string, d *wirepb.Datagram) error {
	d.Sequence = t.sequence.Add(1)
	d.SentUnixMs = t.now().UnixMilli()
	d.System = t.system
	packet, err := t.keys.Seal(d)
	if err != nil {
		return err
	}
	var first error
	for _, addr := range addrs {
		if err := t.sendPacket(addr, packet); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (t *Transport) sendPacket(addr string, packet []byte) error {
	t.sentPackets.Add(1)
	t.sentBytes.Add(uint64(len(packet)))
	metricSent.Inc()
	metricSentB.Add(len(packet))
	if t.drop != nil && t.drop(addr, packet) {
		return nil
	}
	if err := t.conn.WriteTo(packet, addr); err != nil {
		return &SendError{Addr: addr, Cause: err}
	}
	return nil
}

func (t *Transport) receive(packet []byte, from string) {
	t.receivedPackets.Add(1)
	t.receivedBytes.Add(uint64(len(packet)))
	metricReceived.Inc()
	metricRecvB.Add(len(packet))
	d, err := t.keys.Open(packet)
	if err == nil {
		err = t.accept(d)
	}
	if err != nil {
		t.countDrop(err, from)
		t.showStale(d, err)
		return
	}
	if h := t.handler.Load(); h != nil {
		(*h)(d)
	}
}

// systemHash is a system's name on the wire; 0 for no name.
func systemHash(name string) uint32 {
	if name == "" {
		return 0
	}
	return max(uint32(xxhash.Sum64String(name)), 1)
}

// accept refuses what another system's node says, and repetitions.
//
// Two systems with one key and the same names for their nodes are easily made, by
// copied settings. Once a node of one learns an address of the other, each pair of
// namesakes takes itself for one node, and one of the two falls silent. A system
// without a name hears all, so that names can be given while the system runs.
func (t *Transport) accept(d *wirepb.Datagram) error {
	if d.System != 0 && t.system != 0 && d.System != t.system {
		return &DropError{Reason: OtherSystem, Node: d.Node}
	}
	t.windowMu.Lock()
	defer t.windowMu.Unlock()
	return t.window.Accept(d, t.now())
}

func (t *Transport) showStale(d *wirepb.Datagram, err error) {
	h := t.stale.Load()
	if dropErr, ok := errors.Into[*DropError](err); ok && dropErr.Reason == OldIncarnation && h != nil {
		(*h)(d)
	}
}

func (t *Transport) countDrop(err error, from string) {
	dropErr, ok := errors.Into[*DropError](err)
	if !ok {
		dropErr = &DropError{Reason: Malformed, Cause: err}
	}
	counter := t.dropped[dropErr.Reason]
	total := counter.count.Add(1)
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_wire_dropped_datagrams_total{reason=%q}`, dropErr.Reason)).Inc()
	now := t.now().UnixNano()
	last := counter.loggedAt.Load()
	if now-last < int64(dropLogGap) || !counter.loggedAt.CompareAndSwap(last, now) {
		return
	}
	t.log.Warn("datagram dropped", "reason", dropErr.Reason, "from", from, "node", dropErr.Node, "total", total)
}

// Counters returns what was sent, received and dropped so far.
func (t *Transport) Counters() Counters {
	c := Counters{
		SentPackets:     t.sentPackets.Load(),
		SentBytes:       t.sentBytes.Load(),
		ReceivedPackets: t.receivedPackets.Load(),
		ReceivedBytes:   t.receivedBytes.Load(),
		Dropped:         make(map[DropReason]uint64),
	}
	for reason, counter := range t.dropped {
		if n := counter.count.Load(); n > 0 {
			c.Dropped[reason] = n
		}
	}
	return c
}

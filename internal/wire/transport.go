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

// PacketConn sends and receives packets without guaranteed delivery. Listen uses one on
// gnet; tests use a simulated network with packet loss.
type PacketConn interface {
	// WriteTo sends one packet to addr, an ip:port.
	WriteTo(packet []byte, addr string) error
	// Receive sets the handler of received packets. A packet is valid only during the call.
	Receive(handler func(packet []byte, from string))
	Addr() string
	Close() error
}

// Options configures a Transport.
type Options struct {
	// Addr is the ip:port to listen on; with port 0 the kernel chooses the port.
	Addr string
	Keys *Keyring
	// System is the name of the system that the node belongs to. If empty, datagrams of
	// all systems are accepted.
	System string
	// Handler may also be set later with Transport.Handle.
	Handler Handler
	Log     *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// MaxAge and MaxSkew limit the deviation of a datagram's send time from the receiver's
	// clock; zero means the defaults.
	MaxAge, MaxSkew time.Duration
	// Drop, if set, is called for each packet to be sent; the packet is discarded if it
	// returns true. It is for tests.
	Drop func(addr string, packet []byte) bool
}

// Counters counts the packets that a transport has sent, received and dropped since its
// creation.
type Counters struct {
	SentPackets, SentBytes         uint64
	ReceivedPackets, ReceivedBytes uint64
	Dropped                        map[DropReason]uint64
}

// Transport sends and receives authenticated datagrams. All methods are safe
// for concurrent use.
type Transport struct {
	conn         PacketConn
	keys         *Keyring
	system       uint32
	now          func() time.Time
	log          *slog.Logger
	drop         func(addr string, packet []byte) bool
	handler      atomic.Pointer[Handler]
	staleHandler atomic.Pointer[Handler]
	sequence     atomic.Uint64

	windowMu sync.Mutex // gnet receives on one goroutine, but other PacketConns may use several
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
	metricSent          = metrics.NewCounter(`fennel_wire_sent_datagrams_total`)
	metricReceived      = metrics.NewCounter(`fennel_wire_received_datagrams_total`)
	metricSentBytes     = metrics.NewCounter(`fennel_wire_sent_bytes_total`)
	metricReceivedBytes = metrics.NewCounter(`fennel_wire_received_bytes_total`)
)

// dropLogInterval is the minimum time between two log messages for one drop reason, so
// that a flood of forged packets does not flood the log.
const dropLogInterval = 10 * time.Second

// Listen opens a UDP socket on gnet and returns a transport that uses it.
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

// NewTransport returns a transport that uses conn. Close also closes conn.
func NewTransport(conn PacketConn, opts Options) (*Transport, error) {
	if opts.Keys == nil {
		return nil, &ConfigError{Field: "keys", Cause: errors.New("no keyring configured")}
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

// Handle sets the handler of accepted datagrams; until then they are verified and
// discarded.
func (t *Transport) Handle(h Handler) { t.handler.Store(&h) }

// HandleStale sets the handler of authentic, recent datagrams that were dropped as
// OldIncarnation, so that their sender can be notified of its successor.
func (t *Transport) HandleStale(h Handler) { t.staleHandler.Store(&h) }

// Addr returns the ip:port that this transport listens on.
func (t *Transport) Addr() string { return t.conn.Addr() }

// Close stops receiving and closes the socket.
func (t *Transport) Close() error { return t.conn.Close() }

// Send sets the sequence number, send time and system of d, signs it and sends it.
func (t *Transport) Send(addr string, d *wirepb.Datagram) error {
	return t.SendAll([]string{addr}, d)
}

// SendAll encodes and signs a datagram once and sends it to several addresses. It tries
// all addresses and returns the first error.
func (t *Transport) SendAll(addrs []string, d *wirepb.Datagram) error {
	d.Sequence = t.sequence.Add(1)
	d.SentUnixMs = t.now().UnixMilli()
	d.System = t.system
	packet, err := t.keys.Seal(d)
	if err != nil {
		return err
	}
	var firstErr error
	for _, addr := range addrs {
		if err := t.sendPacket(addr, packet); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func (t *Transport) sendPacket(addr string, packet []byte) error {
	t.sentPackets.Add(1)
	t.sentBytes.Add(uint64(len(packet)))
	metricSent.Inc()
	metricSentBytes.Add(len(packet))
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
	metricReceivedBytes.Add(len(packet))
	d, err := t.keys.Open(packet)
	if err == nil {
		err = t.accept(d)
	}
	if err != nil {
		t.recordDrop(err, from)
		t.handleStale(d, err)
		return
	}
	if h := t.handler.Load(); h != nil {
		(*h)(d)
	}
}

// systemHash returns the hash of a system's name that datagrams carry; 0 means no name.
func systemHash(name string) uint32 {
	if name == "" {
		return 0
	}
	return max(uint32(xxhash.Sum64String(name)), 1)
}

// accept drops datagrams from nodes of other systems, and replays.
//
// Copied settings easily result in two systems with the same key and the same node
// names. Once a node of one system learns an address of the other, any two nodes with the
// same name are taken for incarnations of one node, and one of the two stops sending. A
// node without a system name accepts datagrams of all systems, so that names can be
// introduced in a running system.
func (t *Transport) accept(d *wirepb.Datagram) error {
	if d.System != 0 && t.system != 0 && d.System != t.system {
		return &DropError{Reason: OtherSystem, Node: d.Node}
	}
	t.windowMu.Lock()
	defer t.windowMu.Unlock()
	return t.window.Accept(d, t.now())
}

func (t *Transport) handleStale(d *wirepb.Datagram, err error) {
	h := t.staleHandler.Load()
	if dropErr, ok := errors.Into[*DropError](err); ok && dropErr.Reason == OldIncarnation && h != nil {
		(*h)(d)
	}
}

func (t *Transport) recordDrop(err error, from string) {
	dropErr, ok := errors.Into[*DropError](err)
	if !ok {
		dropErr = &DropError{Reason: Malformed, Cause: err}
	}
	counter := t.dropped[dropErr.Reason]
	total := counter.count.Add(1)
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_wire_dropped_datagrams_total{reason=%q}`, dropErr.Reason)).Inc()
	now := t.now().UnixNano()
	last := counter.loggedAt.Load()
	if now-last < int64(dropLogInterval) || !counter.loggedAt.CompareAndSwap(last, now) {
		return
	}
	t.log.Warn("datagram dropped", "reason", dropErr.Reason, "from", from, "node", dropErr.Node, "total", total)
}

// Counters returns a snapshot of the counters.
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

package entry

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// regionPeers exchanges load reports by datagram with the other nodes of the region, which
// send to the same replicas. A node that receives none decides by its own load alone.
//
// The datagrams are signed with a key in the platform's store, which only the nodes and
// the platform can reach: without the key, no other process can make a node believe
// that a replica is full.
type regionPeers struct {
	core *Core
	cfg  *settings.Settings
	log  *slog.Logger
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// stopMembers stops the running membership service; membersDone is closed when it has
	// stopped.
	stopMembers context.CancelFunc
	membersDone chan struct{}
	currentKey  string
	broadcasts  *rate.Limiter

	// writingKey is true while ensureKey runs.
	writingKey atomic.Bool
	// ring holds the current key; nil while there is none.
	ring atomic.Pointer[wire.Keyring]
	// members is nil while no membership service runs.
	members atomic.Pointer[membership.Service]
}

// datagramKeySize is the length of the datagram key in bytes.
const datagramKeySize = 32

// Budgets for what a node sends per second, in bytes: together with what it receives, its
// traffic stays below 6 KB/s. A region has few nodes, and their load changes fast.
const (
	heartbeatBudget = 900
	gossipBudget    = 1900
)

// broadcastsPerSecond and broadcastBurst limit broadcasts, each of which costs one
// datagram per node.
const (
	broadcastsPerSecond = 4
	broadcastBurst      = 8
)

// datagramKeyTimeout bounds the write of a new key.
const datagramKeyTimeout = 2 * time.Second

func newRegionPeers(core *Core, cfg *settings.Settings, log *slog.Logger) *regionPeers {
	r := &regionPeers{core: core, cfg: cfg, log: log, broadcasts: rate.NewLimiter(broadcastsPerSecond, broadcastBurst)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Delays between attempts to write the key while the store does not answer.
const (
	minKeyRetryDelay = 250 * time.Millisecond
	maxKeyRetryDelay = 2 * time.Second
)

// ensureKey writes a key if the store has none, and tries until the store answers. If several nodes do so at
// once, one of them succeeds, and all read its key from the store.
func (r *regionPeers) ensureKey(ctx context.Context) {
	if !r.writingKey.CompareAndSwap(false, true) {
		return
	}
	defer r.writingKey.Store(false)
	retry := clock.Backoff{Min: minKeyRetryDelay, Max: maxKeyRetryDelay}
	for {
		err := r.writeKey(ctx)
		if err == nil {
			return
		}
		r.log.Warn("datagram key not written", "err", err.Error())
		if !clock.Pause(ctx, retry.Next()) {
			return
		}
	}
}

// writeKey writes a key unless the store has one.
func (r *regionPeers) writeKey(ctx context.Context) error {
	secret := make([]byte, datagramKeySize)
	_, _ = rand.Read(secret) // never fails
	key := store.DatagramKey(cluster.ZoneID(r.cfg.Region))
	ctx, cancel := context.WithTimeout(ctx, datagramKeyTimeout)
	defer cancel()
	_, err := r.core.platform.Store.Txn(ctx, store.Txn{Guards: []store.Guard{store.Absent(key)}, Then: []store.Op{store.Put(key, secret, 0)}})
	return err
}

// keyChanged adopts a new key from the store. If there is none, a node that watches the
// store itself writes one.
func (r *regionPeers) keyChanged(c fleet.Change) {
	for _, kv := range c.Written {
		r.useKey(r.ctx, kv.Value)
		return
	}
	if r.core.feed == nil && (len(c.Removed) > 0 || !r.hasKey()) {
		go r.ensureKey(r.ctx)
	}
}

func (r *regionPeers) hasKey() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentKey != ""
}

// useKey starts the exchange with the other nodes, or restarts it when the key changes.
func (r *regionPeers) useKey(ctx context.Context, secret []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if string(secret) == r.currentKey || len(secret) < wire.MinSecretLength || ctx.Err() != nil {
		return
	}
	r.stop()
	if err := r.start(ctx, secret); err != nil {
		r.log.Error("datagram listener not started", "addr", r.cfg.Listen.Datagrams, "err", err.Error())
		return
	}
	r.currentKey = string(secret)
}

// start opens the socket and runs the membership service; the caller holds r.mu.
func (r *regionPeers) start(ctx context.Context, secret []byte) error {
	ring, err := wire.NewKeyring(wire.Key{ID: uint32(xxhash.Sum64(secret)), Secret: secret})
	if err != nil {
		return err
	}
	transport, err := wire.Listen(wire.Options{Addr: r.cfg.Listen.Datagrams, Keys: ring, System: r.cfg.Region, Log: r.log})
	if err != nil {
		return err
	}
	r.ring.Store(ring)
	members := r.core.NewMembership(membership.Options{Zone: cluster.ZoneID(r.cfg.Region), Seeds: r.seeds(), PeerAddr: r.cfg.Feeds.Listen, Transport: transport})
	r.members.Store(members)
	ctx, r.stopMembers = context.WithCancel(ctx)
	done := make(chan struct{})
	r.membersDone = done
	go func() {
		defer close(done)
		members.Run(ctx)
		if err := transport.Close(); err != nil {
			r.log.Warn("datagram listener not closed", "err", err.Error())
		}
	}()
	return nil
}

// NewMembership returns a membership service with this node's reports and budgets. The caller sets
// the other options and runs the service.
func (n *Core) NewMembership(opts membership.Options) *membership.Service {
	opts.Node, opts.Log, opts.SendBudget = n.cfg.Node, n.log, heartbeatBudget
	opts.Gossip = membership.Gossip{Sources: []membership.Source{n.UrgentSuspectReport, limitsAnd(n.LimitReport, n.LoadReport)},
		Changes: []membership.Source{n.UrgentSuspectReport, limitsAnd(n.UrgentLimitReport, n.WorkReport)}, Budget: gossipBudget, TTL: loadReportTTL}
	members := membership.New(opts)
	members.AddSource(n.SuspectReport)
	members.AddSource(limitsAnd(n.LimitReport, n.LoadReport))
	members.OnDatagram(n.receiveDatagram)
	n.SetPeers(members.Peers)
	return members
}

// receiveDatagram applies what another node reports.
func (n *Core) receiveDatagram(from membership.Member, d *wirepb.Datagram) {
	n.ReceiveLoadReport(from.Node, membership.Section{Asked: d.Asked, LoadIDs: d.LoadIds, LoadCounts: d.LoadCounts, LoadUnread: d.LoadUnread, WorkIDs: d.WorkIds, WorkRates: d.WorkRates})
	sentAt := time.UnixMilli(d.SentUnixMs)
	n.ReceiveLimitReport(from.Node, membership.Section{LimitIDs: d.LimitIds, LimitRates: d.LimitRates, LimitAgesMs: d.LimitAgesMs}, sentAt)
	n.ReceivePathReport(from.Node, membership.Section{Path: d.Path, PathIDs: d.PathIds, PathReports: d.PathReports, PathAgesMs: d.PathAgesMs}, sentAt)
	n.ReceiveStallReport(from.Node, membership.Section{StalledIDs: d.StalledIds, WorkingIDs: d.WorkingIds})
	n.ReceiveSuspectReport(d)
}

// seeds returns the datagram addresses of the nodes that feed others. The settings name
// the feed addresses of these nodes, and all nodes use the same datagram port.
func (r *regionPeers) seeds() (out []string) {
	_, port, err := net.SplitHostPort(r.cfg.Listen.Datagrams)
	if err != nil {
		return nil
	}
	for _, seed := range r.cfg.Feeds.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			r.log.Warn("feed address without a port", "seed", seed, "err", errors.Wrap(err, "datagrams").Error())
			continue
		}
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}

// stop stops the membership service and waits for it; the caller holds r.mu.
func (r *regionPeers) stop() {
	if r.stopMembers == nil {
		return
	}
	r.members.Store(nil)
	r.stopMembers()
	<-r.membersDone
	r.stopMembers = nil
}

// broadcast sends the section to all other nodes at once, unless the rate limit is
// reached or no membership service runs.
func (r *regionPeers) broadcast(section membership.Section) {
	members := r.members.Load()
	if members == nil || !r.broadcasts.Allow() {
		r.log.Debug("broadcast dropped", "stalled", len(section.StalledIDs), "working", len(section.WorkingIDs))
		return
	}
	members.Broadcast(section)
}

// rank returns this node's rank for a key; 0 while no membership service runs.
func (r *regionPeers) rank(key string) int {
	if members := r.members.Load(); members != nil {
		return members.Rank(key)
	}
	return 0
}

// standing returns this node's rank for a key among the nodes that may be running, and their number;
// 0 nodes while no membership service runs.
func (r *regionPeers) standing(key string) (rank, nodes int) {
	if members := r.members.Load(); members != nil {
		return members.Standing(key)
	}
	return 0, 0
}

// triggerGossip requests that this node's work is reported soon, if a membership service runs.
func (r *regionPeers) triggerGossip() {
	if members := r.members.Load(); members != nil {
		members.TriggerGossip()
	}
}

// triggerHeartbeat requests an early heartbeat if a membership service runs.
func (r *regionPeers) triggerHeartbeat() {
	if members := r.members.Load(); members != nil {
		members.TriggerHeartbeat()
	}
}

// Close ends the exchange for good.
func (r *regionPeers) Close() {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop()
}

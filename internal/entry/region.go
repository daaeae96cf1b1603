package entry

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// region is the other nodes that send to the same replicas: this node tells them its
// load report by datagrams and hears theirs. A node that hears nobody decides alone, by what it
// sees itself.
//
// The datagrams are signed with a key that the nodes keep in the platform's store, which
// only they and the platform reach: whoever can't read it can't make a node believe that
// a replica is full.
type region struct {
	core *Core
	set  *settings.Settings
	log  *slog.Logger
	// live ends with Close.
	live  context.Context
	leave context.CancelFunc

	mu sync.Mutex
	// end stops the members that are running, done is closed when they have stopped.
	end  context.CancelFunc
	done chan struct{}
	key  string
	// members is nil while there are none.
	members    *membership.Service
	broadcasts *rate.Limiter
}

// keySize is the length of the datagrams' key in bytes.
const keySize = 32

// Shares of what a node sends a second, in bytes: with what it receives it stays below
// 6 KB/s. Nodes of one region are few, and what they run changes fast.
const (
	heartbeatBudget = 900
	gossipBudget    = 1900
)

// broadcastsPerSecond and broadcastsBurst bound what is told to all nodes at once: each
// costs a datagram for every one of them.
const (
	broadcastsPerSecond = 4
	broadcastsBurst     = 8
)

// keyTimeout bounds the writing of a new key.
const keyTimeout = 2 * time.Second

func newRegion(core *Core, set *settings.Settings, log *slog.Logger) *region {
	r := &region{core: core, set: set, log: log, broadcasts: rate.NewLimiter(broadcastsPerSecond, broadcastsBurst)}
	r.live, r.leave = context.WithCancel(context.Background())
	return r
}

// ensureKey writes a key if the store has none. Of several nodes that do so at once one
// wins, and all take its key from the store.
func (r *region) ensureKey(ctx context.Context) {
	secret := make([]byte, keySize)
	_, _ = rand.Read(secret) // never fails
	key := store.DatagramKey(cluster.ZoneID(r.set.Region))
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	_, err := r.core.platform.Store.Txn(ctx, store.Txn{Guards: []store.Guard{store.Absent(key)}, Then: []store.Op{store.Put(key, secret, 0)}})
	if err != nil {
		r.log.Warn("no key for datagrams written", "key", key, "err", err.Error())
	}
}

// keyChanged takes the key as it stands in the store. A node that watches the store for
// others writes the first one.
func (r *region) keyChanged(entries map[string]store.KV) {
	for _, kv := range entries {
		r.useKey(r.live, kv.Value)
		return
	}
	if r.core.feed == nil {
		go r.ensureKey(r.live)
	}
}

// useKey begins to talk to the other nodes with the key, or with another one from now on.
func (r *region) useKey(ctx context.Context, secret []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if string(secret) == r.key || len(secret) < wire.MinSecret || ctx.Err() != nil {
		return
	}
	r.stop()
	if err := r.start(ctx, secret); err != nil {
		r.log.Error("no datagrams", "addr", r.set.Listen.Datagrams, "err", err.Error())
		return
	}
	r.key = string(secret)
}

// start opens the socket and runs the membership; the caller holds r.mu.
func (r *region) start(ctx context.Context, secret []byte) error {
	ring, err := wire.NewKeyring(wire.Key{ID: uint32(xxhash.Sum64(secret)), Secret: secret})
	if err != nil {
		return err
	}
	transport, err := wire.Listen(wire.Options{Addr: r.set.Listen.Datagrams, Keys: ring, System: r.set.Region, Log: r.log})
	if err != nil {
		return err
	}
	members := membership.New(membership.Options{
		Node: r.set.Node, Zone: cluster.ZoneID(r.set.Region), Seeds: r.seeds(), PeerAddr: r.set.Feeds.Listen, Transport: transport, Log: r.log,
		SendBudget: heartbeatBudget, Gossip: membership.Gossip{Source: r.core.LoadReport, Budget: gossipBudget, TTL: loadReportLife},
	})
	members.AddSource(r.core.LoadReport)
	members.OnDatagram(func(from membership.Member, d *wirepb.Datagram) {
		r.core.TakeLoadReport(from.Node, membership.Section{Asked: d.Asked, LoadIDs: d.LoadIds, LoadCounts: d.LoadCounts})
		r.core.TakeStallReport(from.Node, membership.Section{StalledIDs: d.StalledIds, WorkingIDs: d.WorkingIds})
	})
	r.members = members
	ctx, r.end = context.WithCancel(ctx)
	done := make(chan struct{})
	r.done = done
	go func() {
		defer close(done)
		members.Run(ctx)
		if err := transport.Close(); err != nil {
			r.log.Warn("datagrams not closed", "err", err.Error())
		}
	}()
	return nil
}

// seeds are the datagram addresses of the nodes that feed others: these are the ones
// that the platform names, and every node has the same port for datagrams.
func (r *region) seeds() (out []string) {
	_, port, err := net.SplitHostPort(r.set.Listen.Datagrams)
	if err != nil {
		return nil
	}
	for _, seed := range r.set.Feeds.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			r.log.Warn("seed without a port", "seed", seed, "err", errors.Wrap(err, "datagrams").Error())
			continue
		}
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}

// stop ends what start began; the caller holds r.mu.
func (r *region) stop() {
	if r.end == nil {
		return
	}
	r.end()
	<-r.done
	r.end, r.members = nil, nil
}

// announce tells all other nodes at once.
func (r *region) announce(section membership.Section) {
	r.mu.Lock()
	members := r.members
	r.mu.Unlock()
	if members == nil || !r.broadcasts.Allow() {
		r.log.Debug("not announced", "stalled", len(section.StalledIDs), "working", len(section.WorkingIDs))
		return
	}
	members.Broadcast(section)
}

// Close ends the talk.
func (r *region) Close() {
	r.leave()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stop()
}

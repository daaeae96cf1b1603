package feed

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/sockets"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

const (
	// dialTimeout allows for many round trips within a region. When all nodes start, some of the
	// feeds are not there yet and do not answer at all.
	dialTimeout = 150 * time.Millisecond
	// A feed whose stream failed is not tried again for failedBackoff. One that is stale or
	// served nothing is tried again after unavailableBackoff: it may be starting, or watch the
	// store itself by then.
	failedBackoff      = 3 * time.Second
	unavailableBackoff = 200 * time.Millisecond
)

var (
	streamsTotal     = metrics.NewCounter("fennel_feed_follows_total")
	streamsLostTotal = metrics.NewCounter("fennel_feed_lost_total")
)

// maxTries is the number of feeds that one call of Follow tries, redirects included.
const maxTries = 8

// Handler handles a batch of a feed. age is how long ago the store confirmed it; full is set if
// the batch holds all entries and not only changes.
type Handler func(batch *Batch, age time.Duration, full bool)

// Follower follows one feed at a time: one of several roots, or a node to which that redirects
// it. While none serves, its user watches the store directly.
type Follower struct {
	prefixes []string
	log      *slog.Logger
	client   *http.Client
	// self is the ip:port of the follower's own feed, which may be empty, and zone its
	// availability zone.
	self, zone string
	// roots are the ip:ports of the feeds that watch the store, in order of preference.
	roots  []string
	timing Timing
	// maxAge is the age of a copy from which the follower looks for another feed.
	maxAge time.Duration
	// last is the feed that was followed last. It may be one that has reached the store while no
	// root has.
	last string

	mu sync.Mutex
	// retryAfter is when a feed that failed may be tried again.
	retryAfter map[string]time.Time
}

// Options configure a Follower.
type Options struct {
	// Self is the ip:port of this node's own feed, if it has one, and Zone its availability zone.
	Self, Zone string
	// Roots are the ip:ports of the feeds that watch the store.
	Roots []string
	// Prefixes of the keys to follow.
	Prefixes []string
	Timing   Timing
	// MaxAge is the age of a copy from which the follower looks for another feed.
	MaxAge time.Duration
	Log    *slog.Logger
}

// NewFollower returns a follower of the roots, in a random order of preference.
func NewFollower(o Options) *Follower {
	transport := &http.Transport{DialContext: sockets.Dialer(dialTimeout).DialContext}
	f := &Follower{prefixes: o.Prefixes, log: o.Log, client: &http.Client{Transport: transport}, self: o.Self, zone: o.Zone, roots: slices.Clone(o.Roots),
		timing: o.Timing, maxAge: o.MaxAge, retryAfter: make(map[string]time.Time)}
	rand.Shuffle(len(f.roots), func(i, j int) { f.roots[i], f.roots[j] = f.roots[j], f.roots[i] })
	return f
}

// Close closes idle connections.
func (f *Follower) Close() { f.client.CloseIdleConnections() }

// pick returns the first of the feeds that is not backed off, or "" if there is none.
func (f *Follower) pick(feeds []string, now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range feeds {
		if addr != "" && addr != f.self && now.After(f.retryAfter[addr]) {
			return addr
		}
	}
	return ""
}

func (f *Follower) backOff(addr string, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(f.retryAfter, func(_ string, until time.Time) bool { return now.After(until) })
	f.retryAfter[addr] = now.Add(duration)
}

// Follow passes a feed's batches to handle until the feed fails, is silent or has a copy that is
// too old. revision returns up to which the caller knows all changes, or 0. Follow reports
// whether any batch came.
func (f *Follower) Follow(ctx context.Context, revision func() int64, handle Handler) (served bool) {
	feeds := append([]string{f.last}, f.roots...)
	for range maxTries {
		addr := f.pick(feeds, time.Now())
		if addr == "" {
			return false
		}
		redirect, err := f.follow(ctx, addr, revision(), func(batch *Batch, age time.Duration, full bool) {
			handle(batch, age, full)
			served, f.last = true, addr
		})
		switch {
		case ctx.Err() != nil:
			return served
		case len(redirect) > 0:
			rand.Shuffle(len(redirect), func(i, j int) { redirect[i], redirect[j] = redirect[j], redirect[i] })
			feeds = redirect
			continue
		}
		f.lost(addr, served, err)
		if served {
			return true
		}
	}
	return false
}

// lost backs off a feed whose stream ended.
func (f *Follower) lost(addr string, served bool, err error) {
	streamsLostTotal.Inc()
	backoff := unavailableBackoff
	if served && connect.CodeOf(err) != connect.CodeUnavailable && !errors.Is(err, errStale) {
		backoff = failedBackoff
	}
	f.backOff(addr, backoff)
	f.log.Warn("dependency lost", "dependency", "feed", "addr", addr, "served", served, "err", err.Error())
}

// follow passes the feed's batches to handle. It returns the feeds to which this one redirects,
// or why the stream ended.
func (f *Follower) follow(ctx context.Context, addr string, revision int64, handle Handler) (redirect []string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(f.timing.Silence, cancel)
	defer watchdog.Stop()
	client := wirepbconnect.NewFeedServiceClient(f.client, "http://"+addr)
	stream, err := client.Follow(ctx, connect.NewRequest(&wirepb.FollowRequest{Prefixes: f.prefixes, Addr: f.self, Zone: f.zone, Revision: revision, AcceptsPacked: true}))
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	for started := false; stream.Receive(); {
		msg := stream.Msg()
		if len(msg.GetRedirect()) > 0 {
			return msg.GetRedirect(), nil
		}
		watchdog.Reset(f.timing.Silence)
		if msg.GetWaiting() {
			continue
		}
		batch, err := decode(msg)
		if err != nil {
			return nil, err
		}
		if !started {
			streamsTotal.Inc()
			f.log.Info("following", "feed", addr, "from_revision", revision, "continues", msg.GetContinues())
		}
		age := time.Duration(msg.GetSourceAgeMs()) * time.Millisecond
		if f.maxAge > 0 && age > f.maxAge {
			return nil, errStale
		}
		handle(batch, age, !started && !msg.GetContinues())
		started = true
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return nil, errStale
}

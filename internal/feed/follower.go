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

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
	"github.com/fennelcourse/fennelcourse/internal/sockets"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

const (
	// dialTimeout allows for many round trips within a deployment.
	dialTimeout = 500 * time.Millisecond
	// A feed whose stream failed is not tried again for failedBackoff; one that served
	// nothing, for unavailableBackoff, as it may still be starting.
	failedBackoff      = 3 * time.Second
	unavailableBackoff = 400 * time.Millisecond
)

var (
	streamsTotal     = metrics.NewCounter("fennel_feed_follows_total")
	streamsLostTotal = metrics.NewCounter("fennel_feed_lost_total")
)

// maxMessageBytes limits one message of a feed, before and after decompression. The first one holds all entries
// below the prefixes. A node whose feeds exceed it watches the store directly.
const maxMessageBytes = 32 << 20

// maxTries is the number of feeds that one call of Follow tries, redirects included.
const maxTries = 8

// Handler handles a batch of a feed. age is how long ago the store confirmed it; first is set
// for the batch that has all entries.
type Handler func(batch store.WatchBatch, age time.Duration, first bool)

// Follower follows one feed at a time: one of several roots, or a node to which that redirects
// it. While none serves, its user watches the store directly.
type Follower struct {
	prefixes []string
	log      *slog.Logger
	client   *http.Client
	// self is the ip:port of the follower's own feed; it may be empty.
	self string
	// roots are the ip:ports of the feeds that watch the store, in order of preference.
	roots []string

	mu sync.Mutex
	// retryAfter is when a feed that failed may be tried again.
	retryAfter map[string]time.Time
}

// NewFollower returns a follower of the roots (ip:port), in a random order of preference. self
// is the ip:port of this node's own feed, if it has one.
func NewFollower(self string, roots, prefixes []string, log *slog.Logger) *Follower {
	transport := httpbounds.New(&http.Transport{DialContext: sockets.Dialer(dialTimeout).DialContext})
	return NewFollowerOn(transport, self, roots, prefixes, log)
}

// NewFollowerOn is NewFollower with the transport that carries the requests.
func NewFollowerOn(transport http.RoundTripper, self string, roots, prefixes []string, log *slog.Logger) *Follower {
	f := &Follower{prefixes: prefixes, log: log, client: &http.Client{Transport: transport}, self: self, roots: slices.Clone(roots), retryAfter: make(map[string]time.Time)}
	rand.Shuffle(len(f.roots), func(i, j int) { f.roots[i], f.roots[j] = f.roots[j], f.roots[i] })
	return f
}

// Close closes idle connections.
func (f *Follower) Close() { f.client.CloseIdleConnections() }

// pick returns the first of the feeds that is neither tried nor backed off, or "" if there is
// none.
func (f *Follower) pick(feeds []string, tried map[string]bool, now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range feeds {
		if addr != f.self && !tried[addr] && now.After(f.retryAfter[addr]) {
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

// Follow passes a feed's batches to handle until the feed fails or is silent for
// silenceTimeout. It tries each feed once at most. Follow reports whether any batch came.
func (f *Follower) Follow(ctx context.Context, handle Handler) (served bool) {
	feeds := f.roots
	tried := make(map[string]bool)
	for range maxTries {
		addr := f.pick(feeds, tried, time.Now())
		if addr == "" {
			return false
		}
		tried[addr] = true
		redirect, err := f.follow(ctx, addr, func(batch store.WatchBatch, age time.Duration) {
			handle(batch, age, !served)
			served = true
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
	if served {
		backoff = failedBackoff
	}
	f.backOff(addr, backoff)
	f.log.Warn("dependency lost", "dependency", "feed", "addr", addr, "served", served, "err", err.Error())
}

// follow passes the feed's batches to handle. It returns the feeds to which this one redirects,
// or why the stream ended.
func (f *Follower) follow(ctx context.Context, addr string, handle func(store.WatchBatch, time.Duration)) (redirect []string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := clock.NewWatchdog(silenceTimeout, cancel)
	defer watchdog.Stop()
	client := wirepbconnect.NewFeedServiceClient(f.client, "http://"+addr, connect.WithReadMaxBytes(maxMessageBytes))
	stream, err := client.Follow(ctx, connect.NewRequest(&wirepb.FollowRequest{Prefixes: f.prefixes, Addr: f.self}))
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	for started := false; stream.Receive(); started = true {
		msg := stream.Msg()
		if len(msg.GetRedirect()) > 0 {
			return msg.GetRedirect(), nil
		}
		age, err := sourceAge(msg)
		if err != nil {
			return nil, err
		}
		if !started {
			streamsTotal.Inc()
			f.log.Info("following", "feed", addr)
		}
		watchdog.Reset()
		handle(decode(msg), age)
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return nil, errStale
}

// maxReadableAge is the largest age of a feed's copy that a message may name.
const maxReadableAge = 24 * time.Hour

// sourceAge returns the age of the feed's copy as of the message. A copy from the future would count as
// confirmed for as long as that is ahead, and keep the node from watching the store.
func sourceAge(msg *wirepb.FollowResponse) (time.Duration, error) {
	ms := msg.GetSourceAgeMs()
	if ms < 0 || ms > maxReadableAge.Milliseconds() {
		return 0, errors.Wrapf(errMalformed, "an age of %d ms", ms)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

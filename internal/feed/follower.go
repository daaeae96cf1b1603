package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

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

// Follower follows one of several feeds at a time. While none serves, its user watches
// the store directly.
type Follower struct {
	prefixes []string
	log      *slog.Logger
	client   *http.Client

	mu    sync.Mutex
	feeds []feed
}

// feed is the address of a feed and the time from which it may be tried again.
type feed struct {
	addr       string
	retryAfter time.Time
}

// NewFollower returns a follower of the feeds at the addresses (ip:port), in a
// random order of preference.
func NewFollower(addrs, prefixes []string, log *slog.Logger) *Follower {
	transport := &http.Transport{DialContext: sockets.Dialer(dialTimeout).DialContext}
	f := &Follower{prefixes: prefixes, log: log, client: &http.Client{Transport: transport}}
	for _, addr := range addrs {
		f.feeds = append(f.feeds, feed{addr: addr})
	}
	rand.Shuffle(len(f.feeds), func(i, j int) { f.feeds[i], f.feeds[j] = f.feeds[j], f.feeds[i] })
	return f
}

// Close closes idle connections.
func (f *Follower) Close() { f.client.CloseIdleConnections() }

// pick returns the address of the first feed that is not backed off, or "" if there is
// none.
func (f *Follower) pick(now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, candidate := range f.feeds {
		if now.After(candidate.retryAfter) {
			return candidate.addr
		}
	}
	return ""
}

func (f *Follower) backOff(addr string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.feeds {
		if f.feeds[i].addr == addr {
			f.feeds[i].retryAfter = until
		}
	}
}

// Follow passes a feed's batches to handle until the feed fails or is silent for
// silenceTimeout. The first batch has all entries. Follow reports whether any batch came.
func (f *Follower) Follow(ctx context.Context, handle func(batch store.WatchBatch, first bool)) (served bool) {
	addr := f.pick(time.Now())
	if addr == "" {
		return false
	}
	err := f.follow(ctx, addr, func(batch store.WatchBatch) {
		handle(batch, !served)
		served = true
	})
	if ctx.Err() != nil {
		return served
	}
	streamsLostTotal.Inc()
	backoff := unavailableBackoff
	if served {
		backoff = failedBackoff
	}
	f.backOff(addr, time.Now().Add(backoff))
	f.log.Warn("dependency lost", "dependency", "feed", "addr", addr, "served", served, "err", err.Error())
	return served
}

func (f *Follower) follow(ctx context.Context, addr string, handle func(store.WatchBatch)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	client := wirepbconnect.NewFeedServiceClient(f.client, "http://"+addr)
	stream, err := client.Follow(ctx, connect.NewRequest(&wirepb.FollowRequest{Prefixes: f.prefixes}))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for started := false; stream.Receive(); started = true {
		if !started {
			streamsTotal.Inc()
			f.log.Info("following", "feed", addr)
		}
		watchdog.Reset(silenceTimeout)
		handle(decode(stream.Msg()))
	}
	if err := stream.Err(); err != nil {
		return err
	}
	return errStale
}

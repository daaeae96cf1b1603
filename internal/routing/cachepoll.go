package routing

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// CacheSource answers an engine's cache events; engine.Client is one.
type CacheSource interface {
	CacheEvents(ctx context.Context, addr string, after int64) (engine.CacheEvents, error)
}

// CachePoller brings the cache events of the own zone's whole replicas to the
// table, one replica after the other, within a budget of bytes: the more
// replicas and events there are, the later they come.
type CachePoller struct {
	Table  *Table
	Source CacheSource
	Log    *slog.Logger
	// BytesPerSecond bounds the traffic of the polls; default DefaultCacheBytes.
	BytesPerSecond int
}

const (
	// DefaultCacheBytesPerSecond is a quarter of what a node may spend on control.
	DefaultCacheBytesPerSecond = 1500
	// pollBytes and eventBytes are the traffic of one poll and of one event in it.
	pollBytes  = 400
	eventBytes = 50
	// cacheCycle is the shortest time between two polls of the same replica.
	cacheCycle  = time.Second
	pollTimeout = 2 * time.Second
)

var (
	cachePolls      = metrics.NewCounter("fennel_routing_cache_polls_total")
	cachePollsLost  = metrics.NewCounter("fennel_routing_cache_polls_failed_total")
	cacheEventsSeen = metrics.NewCounter("fennel_routing_cache_events_total")
)

// Run polls until ctx ends.
func (p *CachePoller) Run(ctx context.Context) {
	budget := p.BytesPerSecond
	if budget == 0 {
		budget = DefaultCacheBytesPerSecond
	}
	for ctx.Err() == nil {
		cycle := time.Now()
		for _, e := range p.Table.localReplicas() {
			if ctx.Err() != nil {
				return
			}
			bytes := p.poll(ctx, e)
			clock.Pause(ctx, time.Duration(bytes)*time.Second/time.Duration(budget))
		}
		clock.Pause(ctx, cacheCycle-time.Since(cycle))
	}
}

// poll asks one replica and returns the traffic it made.
func (p *CachePoller) poll(ctx context.Context, e Entry) (bytes int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	cachePolls.Inc()
	events, err := p.Source.CacheEvents(ctx, e.Addr, p.Table.CacheSeq(e.Replica.ID))
	if err != nil {
		cachePollsLost.Inc()
		p.Log.Debug("cache poll failed", "replica", e.Replica.ID, "addr", e.Addr, "err", err.Error())
		return pollBytes
	}
	cacheEventsSeen.Add(len(events.Events))
	p.Table.CacheEvents(e.Replica.ID, events, p.Table.opts.Now())
	return pollBytes + eventBytes*len(events.Events)
}

// localReplicas lists the whole replicas of the own zone.
func (t *Table) localReplicas() []Entry {
	var out []Entry
	groups := *t.groups.Load()
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		snap := groups[name].current(t.opts, t.opts.Now())
		for _, e := range snap.entries[:snap.local] {
			e.lock.Lock()
			if e.eligible() {
				out = append(out, Entry{Replica: e.replica, Addr: e.addr})
			}
			e.lock.Unlock()
		}
	}
	return out
}

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

// CacheSource fetches an engine's cache events. It is implemented by engine.Client.
type CacheSource interface {
	CacheEvents(ctx context.Context, addr string, after int64) (engine.CacheEvents, error)
}

// CachePoller polls the healthy replicas of the own zone for cache events, one after the
// other, and adds the events to the table. Its traffic is limited: with more replicas and
// events, each replica is polled less often.
type CachePoller struct {
	Table  *Table
	Source CacheSource
	Log    *slog.Logger
	// BytesPerSecond limits the traffic of the polls; default DefaultCacheBytesPerSecond.
	BytesPerSecond int
}

const (
	// DefaultCacheBytesPerSecond is a quarter of a node's budget for control traffic.
	DefaultCacheBytesPerSecond = 1500
	// pollBytes is the traffic of a poll without events, and eventBytes that of an event.
	pollBytes  = 400
	eventBytes = 50
	// minPollInterval is the shortest time between two polls of the same replica.
	minPollInterval = time.Second
	pollTimeout     = 2 * time.Second
)

var (
	cachePollsTotal  = metrics.NewCounter("fennel_routing_cache_polls_total")
	cachePollsFailed = metrics.NewCounter("fennel_routing_cache_polls_failed_total")
	cacheEventsTotal = metrics.NewCounter("fennel_routing_cache_events_total")
)

// Run polls until ctx is done.
func (p *CachePoller) Run(ctx context.Context) {
	budget := p.BytesPerSecond
	if budget == 0 {
		budget = DefaultCacheBytesPerSecond
	}
	for ctx.Err() == nil {
		cycleStart := time.Now()
		for _, e := range p.Table.localReplicas() {
			if ctx.Err() != nil {
				return
			}
			bytes := p.poll(ctx, e)
			clock.Pause(ctx, time.Duration(bytes)*time.Second/time.Duration(budget))
		}
		clock.Pause(ctx, minPollInterval-time.Since(cycleStart))
	}
}

// poll polls one replica and returns the estimated traffic in bytes.
func (p *CachePoller) poll(ctx context.Context, e Entry) (bytes int) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	cachePollsTotal.Inc()
	events, err := p.Source.CacheEvents(ctx, e.Addr, p.Table.CacheSeq(e.Replica.ID))
	if err != nil {
		cachePollsFailed.Inc()
		p.Log.Debug("cache poll failed", "replica", e.Replica.ID, "addr", e.Addr, "err", err.Error())
		return pollBytes
	}
	cacheEventsTotal.Add(len(events.Events))
	p.Table.CacheEvents(e.Replica.ID, events, p.Table.opts.Now())
	return pollBytes + eventBytes*len(events.Events)
}

// localReplicas returns the eligible replicas of the own zone.
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

package vmlist

import (
	"context"
	"log/slog"
	"reflect"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// DefaultInterval is the time between two reads of the list.
const DefaultInterval = 2 * time.Second

// Fetcher reads the list. *Client implements it.
type Fetcher interface {
	Fetch(ctx context.Context) (cluster.VMList, error)
}

// Options configures a Watcher.
type Options struct {
	Fetcher Fetcher
	// Zone is this node's availability zone, which ServiceAddrs lists first.
	Zone cluster.ZoneID
	// Interval is the time between reads; zero means DefaultInterval.
	Interval time.Duration
	// OnChange is called after the VMs have changed, by one goroutine at a time; may be nil.
	OnChange func(cluster.VMList)
	Log      *slog.Logger
}

// Watcher keeps the list with the latest AsOf. It may be updated from several sources:
// its own reads and lists received from peers.
type Watcher struct {
	opts Options
	// notifyMu serializes calls of OnChange.
	notifyMu sync.Mutex

	mu   sync.Mutex
	list cluster.VMList
}

// NewWatcher returns a watcher with an empty list.
func NewWatcher(opts Options) *Watcher {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	if opts.Log == nil {
		opts.Log = slog.Default()
	}
	return &Watcher{opts: opts}
}

// Run reads the list until ctx ends. A failed read keeps the current list.
func (w *Watcher) Run(ctx context.Context) {
	tick := time.NewTicker(w.opts.Interval)
	defer tick.Stop()
	failing := false
	for {
		list, err := w.opts.Fetcher.Fetch(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil && !failing:
			w.opts.Log.Warn("vm list unavailable", "as_of", w.List().AsOf, "error", err)
		case err == nil && failing:
			w.opts.Log.Info("vm list available again", "as_of", list.AsOf)
		}
		failing = err != nil
		if err == nil {
			w.Update(list)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Update replaces the current list if the given one is newer, and reports whether it
// did. An older list is ignored: after a failover to another endpoint, a list may be
// older than the current one and contain VMs that have left.
func (w *Watcher) Update(list cluster.VMList) bool {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	newer, changed := w.setIfNewer(list)
	if changed && w.opts.OnChange != nil {
		w.opts.OnChange(list)
	}
	return newer
}

func (w *Watcher) setIfNewer(list cluster.VMList) (newer, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !list.AsOf.After(w.list.AsOf) {
		return false, false
	}
	changed = !reflect.DeepEqual(w.list.VMs, list.VMs)
	w.list = list
	return true, changed
}

// List returns the current list; its AsOf is zero before the first one. The VMs must
// not be modified.
func (w *Watcher) List() cluster.VMList {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list
}

// Age returns the time since the list's AsOf by this node's clock; ok is false before
// the first list.
func (w *Watcher) Age(now time.Time) (age time.Duration, ok bool) {
	asOf := w.List().AsOf
	if asOf.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(asOf)), true
}

// ServiceAddrs returns the addresses of the service's VMs that are live and not
// leaving: those in this node's zone first, otherwise in the order of the list.
func (w *Watcher) ServiceAddrs(name cluster.Service) []string {
	var own, other []string
	for _, vm := range w.List().VMs {
		switch {
		case name == "" || vm.Service != name || vm.State != cluster.VMLive:
		case vm.Zone == w.opts.Zone:
			own = append(own, vm.Addr)
		default:
			other = append(other, vm.Addr)
		}
	}
	return append(own, other...)
}

package rulestore

import (
	"context"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// watchControl starts, ends and replaces the watch of the history records.
type watchControl struct {
	mu      sync.Mutex
	stop    context.CancelFunc // ends the watching; nil when not on duty
	renewed context.CancelFunc // ends the call that is open now
}

func (w *watchControl) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.renewed != nil {
		w.renewed()
	}
}

// keepWatch watches exactly while the node has the duty.
func (h *Holder) keepWatch(ctx context.Context, work *sync.WaitGroup, duty bool) {
	w := &h.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if duty && w.stop == nil {
		ctx, stop := context.WithCancel(ctx)
		w.stop = stop
		work.Go(func() { h.watchLoop(ctx) })
	}
	if !duty && w.stop != nil {
		w.stop()
		w.stop = nil
	}
}

// watchLoop opens the watch again whenever it ends, after a growing pause.
func (h *Holder) watchLoop(ctx context.Context) {
	pause := time.Duration(0)
	for ctx.Err() == nil {
		err := h.watchOnce(ctx)
		if err == nil {
			pause = 0
		}
		h.mu.Lock()
		pause = h.state.longer(pause)
		wait := h.state.around(pause)
		h.mu.Unlock()
		if ctx.Err() == nil {
			h.log.Warn("rules watch ended", "event", "rules_watch_ended", "err", err, "again_in", wait)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// watchOnce reads one watch to its end. It returns nil if the watch brought
// anything, since the store was then well.
func (h *Holder) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.watch.mu.Lock()
	h.watch.renewed = cancel
	h.watch.mu.Unlock()
	from := int64(0)
	if have := h.Revision(); have > 0 {
		from = have + 1
	}
	countStoreCall("watch")
	batches, err := h.opts.Store.Watch(ctx, store.RulesHistoryPrefix, from)
	if err != nil {
		return err
	}
	served := false
	for batch := range batches {
		if batch.Err != nil {
			err = batch.Err
			continue
		}
		served = true
		for i := range batch.Events {
			h.follow(&batch.Events[i])
		}
	}
	if served {
		return nil
	}
	return err
}

// verdict says what a watched change means for a node.
type verdict int

const (
	ignore verdict = iota // repeated or already known
	apply                 // the next change
	reread                // changes between were skipped
)

// judge compares a watched change with the revision in force.
func judge(inForce, base, revision int64) verdict {
	switch {
	case revision <= inForce:
		return ignore
	case base == inForce && inForce > 0:
		return apply
	default:
		return reread
	}
}

// follow takes one event of the watch into force, or has the file read again if
// the edits don't lead there.
func (h *Holder) follow(ev *store.Event) {
	if ev.Type != store.EventPut {
		return // old records are removed
	}
	base, err := baseOf(ev.KV.Key)
	if err != nil {
		return // not ours
	}
	switch judge(h.Revision(), base, ev.KV.ModRevision) {
	case ignore:
	case apply:
		o, ok := h.edited(&ev.KV, base)
		if ok && h.offer(o) == nil {
			return
		}
		h.post(watchShowed{ev.KV.ModRevision})
	case reread:
		h.post(watchShowed{ev.KV.ModRevision})
	}
}

// edited applies the record's edits to the text in force.
func (h *Holder) edited(kv *store.KV, base int64) (offer, bool) {
	change, err := decodeChange(kv)
	if err != nil || change.Whole {
		return offer{}, false
	}
	set := h.Current()
	if set.Revision != base {
		return offer{}, false
	}
	text, err := rules.ApplyEdits(set.Text, change.Edits)
	if err != nil || checksum(text) != change.SHA256 {
		h.log.Error("rules edits don't fit", "event", "rules_edits_misfit", "revision", kv.ModRevision, "err", err)
		return offer{}, false
	}
	return offer{revision: kv.ModRevision, text: text, source: "watch", base: base, edits: change.Edits}, true
}

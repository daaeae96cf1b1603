package rulestore

import (
	"context"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// watchControl holds the cancel functions of the watch on the history records.
type watchControl struct {
	mu         sync.Mutex
	stop       context.CancelFunc // ends the watch loop; nil if it isn't running
	cancelCall context.CancelFunc // ends the open Watch call; the loop opens a new one
}

func (w *watchControl) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelCall != nil {
		w.cancelCall()
	}
}

// updateWatch starts or stops the watch loop so that it runs while watcher is set.
func (h *Holder) updateWatch(ctx context.Context, workers *sync.WaitGroup, watcher bool) {
	w := &h.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if watcher && w.stop == nil {
		ctx, stop := context.WithCancel(ctx)
		w.stop = stop
		workers.Go(func() { h.watchLoop(ctx) })
	}
	if !watcher && w.stop != nil {
		w.stop()
		w.stop = nil
	}
}

// watchLoop reopens the watch whenever it ends, with exponential backoff.
func (h *Holder) watchLoop(ctx context.Context) {
	pause := time.Duration(0)
	for ctx.Err() == nil {
		err := h.watchOnce(ctx)
		if err == nil {
			pause = 0
		}
		h.mu.Lock()
		pause = h.state.nextBackoff(pause)
		wait := h.state.jitterAround(pause)
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

// watchOnce reads one watch to its end. It returns nil if the watch delivered any
// batch, since the store was then working.
func (h *Holder) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.watch.mu.Lock()
	h.watch.cancelCall = cancel
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
	received := false
	for batch := range batches {
		if batch.Err != nil {
			err = batch.Err
			continue
		}
		received = true
		for i := range batch.Events {
			h.handleWatchEvent(&batch.Events[i])
		}
	}
	if received {
		return nil
	}
	return err
}

// watchDecision specifies how to handle a change seen by the watch.
type watchDecision int

const (
	ignoreChange watchDecision = iota // the revision is not newer than the one in force
	applyChange                       // the edits apply to the text in force
	rereadFile                        // changes in between were skipped
)

// decideWatch compares a change seen by the watch with the revision in force.
func decideWatch(inForce, base, revision int64) watchDecision {
	switch {
	case revision <= inForce:
		return ignoreChange
	case base == inForce && inForce > 0:
		return applyChange
	default:
		return rereadFile
	}
}

// handleWatchEvent puts a watched change into force, or has the complete file read if
// its edits can't be applied.
func (h *Holder) handleWatchEvent(ev *store.Event) {
	if ev.Type != store.EventPut {
		return // a deletion by trimHistory
	}
	base, err := parseHistoryKey(ev.KV.Key)
	if err != nil {
		return // not a history record
	}
	switch decideWatch(h.Revision(), base, ev.KV.ModRevision) {
	case ignoreChange:
	case applyChange:
		o, ok := h.applyRecord(&ev.KV, base)
		if ok && h.adopt(o) == nil {
			return
		}
		h.handle(watchObserved{ev.KV.ModRevision})
	case rereadFile:
		h.handle(watchObserved{ev.KV.ModRevision})
	}
}

// applyRecord applies the edits of a history record to the text in force. It reports
// false if the record has no edits or they don't produce the accepted text.
func (h *Holder) applyRecord(kv *store.KV, base int64) (candidate, bool) {
	change, err := decodeChange(kv)
	if err != nil || change.EditsOmitted {
		return candidate{}, false
	}
	set := h.Current()
	if set.Revision != base {
		return candidate{}, false
	}
	text, err := rules.ApplyEdits(set.Text, change.Edits)
	if err != nil || checksum(text) != change.SHA256 {
		h.log.Error("rules edits do not produce the accepted text", "event", "rules_edits_misfit", "revision", kv.ModRevision, "err", err)
		return candidate{}, false
	}
	return candidate{revision: kv.ModRevision, text: text, source: "watch", base: base, edits: change.Edits}, true
}

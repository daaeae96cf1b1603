package rulestore

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// ApplyRequest asks for a whole file to be accepted.
type ApplyRequest struct {
	// BaseRevision is the revision that the operator edited; zero for the first file.
	BaseRevision int64
	Text         string
	// Author is who applies the change, for the history and for the loser of a race.
	Author string
	// WriteID is chosen by the caller, new for each change and the same for repeats of it.
	WriteID string
}

// ApplyResult is an accepted change.
type ApplyResult struct {
	Revision int64
	// Repeated is set when an earlier request with the same write id was accepted.
	Repeated bool
}

const (
	// maxApplyTries bounds how often a write of unknown outcome is looked up and tried.
	maxApplyTries = 5
	// maxAuthorBytes bounds the author's name and the write id.
	maxAuthorBytes = 256
	// trimOdds is one in how many changes removes old history.
	trimOdds = 16
)

// Apply accepts a file if its base is still the newest, or fails with
// rules.Errors, *rules.SizeError, *RequestError, *ConflictError,
// *OutcomeUnknownError, or *StoreBehindError or *store.Error, which mean that
// nothing was changed.
func (h *Holder) Apply(ctx context.Context, req ApplyRequest) (ApplyResult, error) {
	if err := checkRequest(req); err != nil {
		return ApplyResult{}, err
	}
	res, err := h.apply(ctx, req)
	if err != nil {
		h.log.Warn("rules change not accepted", "event", "rules_apply_failed", "author", req.Author, "write_id", req.WriteID, "base", req.BaseRevision, "err", err)
		return ApplyResult{}, err
	}
	h.log.Info("rules change accepted", "event", "rules_applied", "author", req.Author, "write_id", req.WriteID, "base", req.BaseRevision, "revision", res.Revision, "repeated", res.Repeated)
	return res, nil
}

func checkRequest(req ApplyRequest) error {
	if req.Author == "" || len(req.Author) > maxAuthorBytes {
		return &RequestError{Field: "author", Want: "the name of whoever applies the change"}
	}
	if req.WriteID == "" || len(req.WriteID) > maxAuthorBytes {
		return &RequestError{Field: "write_id", Want: "an id that is new for each change"}
	}
	if req.BaseRevision < 0 {
		return &RequestError{Field: "base_revision", Want: "the revision that was edited, or 0 for the first file"}
	}
	_, err := rules.Parse(req.Text)
	return err
}

func (h *Holder) apply(ctx context.Context, req ApplyRequest) (ApplyResult, error) {
	base, err := h.baseText(ctx, req)
	if err != nil {
		return ApplyResult{}, err
	}
	file, change := makeRecords(req, base, h.opts.Now())
	txn, err := applyTxn(req, file, change)
	if err != nil {
		return ApplyResult{}, err
	}
	res, err := h.writeSettled(ctx, req, txn)
	if err != nil {
		return ApplyResult{}, err
	}
	if !res.Repeated {
		// Failing to parse is impossible here: checkRequest has parsed it.
		_ = h.offer(offer{revision: res.Revision, text: req.Text, source: "apply", base: req.BaseRevision, edits: change.Edits})
		h.trimHistory(ctx)
	}
	return res, nil
}

// baseText is the text that the operator edited, for the history's edits. An
// answer from memory may be behind the store; the transaction's guard sees that.
// A base that is not the newest any more gives an empty text: the guard refuses it.
func (h *Holder) baseText(ctx context.Context, req ApplyRequest) (string, error) {
	set := h.Current()
	if set == nil && req.BaseRevision == 0 {
		return "", nil
	}
	if set != nil && set.Revision == req.BaseRevision {
		return set.Text, nil
	}
	file, err := h.readFile(ctx)
	if err != nil {
		return "", err
	}
	if inForce := h.Revision(); file.storeRevision < inForce {
		return "", &StoreBehindError{Store: file.storeRevision, InForce: inForce}
	}
	if file.revision != req.BaseRevision {
		return "", nil
	}
	return file.record.Text, nil
}

// applyTxn writes both records if the base is still the newest, else reads what
// tells a conflict from a repeat.
func applyTxn(req ApplyRequest, file fileRecord, change changeRecord) (store.Txn, error) {
	fileValue, err := encode(file)
	if err != nil {
		return store.Txn{}, err
	}
	if len(fileValue) > maxRecordBytes {
		return store.Txn{}, &rules.SizeError{Bytes: len(fileValue), Max: maxRecordBytes}
	}
	changeValue, err := encode(change)
	if err != nil {
		return store.Txn{}, err
	}
	guard := store.ModifiedAt(store.RulesKey, req.BaseRevision)
	if req.BaseRevision == 0 {
		guard = store.Absent(store.RulesKey)
	}
	history := historyKey(req.BaseRevision)
	return store.Txn{
		Guards: []store.Guard{guard},
		Then:   []store.Op{store.Put(store.RulesKey, fileValue, 0), store.Put(history, changeValue, 0)},
		Else:   []store.Op{store.GetOp(store.RulesKey), store.GetOp(history)},
	}, nil
}

// writeSettled writes until the outcome is known. An answer can be lost after the
// write took effect; the operator would then be told of a failure, send the change
// again and meet a conflict with himself. Writing again is harmless: the guard
// lets the change through once at most, and when it fails, the write id in the
// records tells whether the earlier try was the one that went through.
func (h *Holder) writeSettled(ctx context.Context, req ApplyRequest, txn store.Txn) (ApplyResult, error) {
	unknown := false
	pause := time.Duration(0)
	for try := 1; ; try++ {
		res, err := h.writeOnce(ctx, req, txn)
		if err == nil {
			// An earlier try of this same call is not a repeat by the caller.
			res.Repeated = res.Repeated && !unknown
			return res, nil
		}
		failure, isStore := errors.Into[*store.Error](err)
		if !isStore {
			return ApplyResult{}, err
		}
		unknown = unknown || failure.Outcome == store.Unknown
		if !unknown {
			return ApplyResult{}, err
		}
		if try == maxApplyTries || !h.sleep(ctx, &pause) {
			return ApplyResult{}, &OutcomeUnknownError{WriteID: req.WriteID, Err: err}
		}
	}
}

func (h *Holder) writeOnce(ctx context.Context, req ApplyRequest, txn store.Txn) (ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	countStoreCall("apply")
	res, err := h.opts.Store.Txn(ctx, txn)
	if err != nil {
		return ApplyResult{}, err
	}
	if res.Succeeded {
		return ApplyResult{Revision: res.Revision}, nil
	}
	return judgeRefused(req, res.Gets[0], res.Gets[1])
}

// judgeRefused tells a repeat from a conflict by the newest file and by the
// history record of the base.
func judgeRefused(req ApplyRequest, newest, history *store.KV) (ApplyResult, error) {
	if history != nil {
		change, err := decodeChange(history)
		if err != nil {
			return ApplyResult{}, err
		}
		if change.WriteID == req.WriteID {
			return ApplyResult{Revision: history.ModRevision, Repeated: true}, nil
		}
	}
	conflict := &ConflictError{Base: req.BaseRevision}
	if newest == nil {
		return ApplyResult{}, conflict
	}
	if newest.ModRevision < req.BaseRevision {
		return ApplyResult{}, &StoreBehindError{Store: newest.ModRevision, InForce: req.BaseRevision}
	}
	file, err := decodeFile(newest)
	if err != nil {
		return ApplyResult{}, err
	}
	conflict.Revision, conflict.Text, conflict.Author = newest.ModRevision, file.Text, file.Author
	return ApplyResult{}, conflict
}

// sleep waits a growing time and reports false when ctx ends first.
func (h *Holder) sleep(ctx context.Context, pause *time.Duration) bool {
	h.mu.Lock()
	*pause = h.state.longer(*pause)
	wait := h.state.around(*pause) / 2
	h.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// trimHistory now and then removes records beyond HistoryKept. A failure is made
// up for by a later change.
func (h *Holder) trimHistory(ctx context.Context) {
	h.mu.Lock()
	skip := h.opts.Rand.IntN(trimOdds) != 0
	h.mu.Unlock()
	if skip {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	countStoreCall("trim")
	res, err := h.opts.Store.Range(ctx, store.RulesHistoryPrefix, store.RangeOptions{KeysOnly: true})
	if err != nil {
		return
	}
	ops := trimOps(res.KVs)
	if len(ops) == 0 {
		return
	}
	if _, err := h.opts.Store.Txn(ctx, store.Txn{Then: ops}); err != nil {
		h.log.Warn("rules history not trimmed", "event", "rules_trim_failed", "err", err)
	}
}

// maxTrim stays below the store's bound for operations in one transaction.
const maxTrim = 100

// trimOps deletes the oldest records beyond HistoryKept.
func trimOps(kvs []store.KV) []store.Op {
	slices.SortFunc(kvs, func(a, b store.KV) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	excess := min(len(kvs)-MaxHistory, maxTrim)
	var ops []store.Op
	for i := range max(excess, 0) {
		ops = append(ops, store.Delete(kvs[i].Key))
	}
	return ops
}

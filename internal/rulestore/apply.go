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

// ApplyRequest asks to replace the rules file by a new text.
type ApplyRequest struct {
	// BaseRevision is the revision that Text was edited from; zero for the first file.
	BaseRevision int64
	Text         string
	// Author names who applies the change. The history shows it, and so does the
	// conflict error of a concurrent change.
	Author string
	// WriteID is an idempotency key: unique to each change and equal in its repeats.
	WriteID string
}

// ApplyResult is the outcome of an accepted change.
type ApplyResult struct {
	Revision int64
	// Repeated is set if an earlier request with the same write id was accepted.
	Repeated bool
}

const (
	// maxApplyAttempts bounds the attempts at a write whose outcome is unknown.
	maxApplyAttempts = 5
	// maxRequestFieldBytes bounds the author's name and the write id, each.
	maxRequestFieldBytes = 256
	// changesPerTrim is the mean number of accepted changes between removals of old history.
	changesPerTrim = 16
)

// Apply accepts the file if its base is still the newest revision. It fails with
// rules.Errors, *rules.SizeError, *RequestError, *ConflictError,
// *StoreBehindError or *store.Error, all of which mean that nothing changed, or
// with *OutcomeUnknownError.
func (h *Holder) Apply(ctx context.Context, req ApplyRequest) (ApplyResult, error) {
	if err := validateRequest(req); err != nil {
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

func validateRequest(req ApplyRequest) error {
	if req.Author == "" || len(req.Author) > maxRequestFieldBytes {
		return &RequestError{Field: "author", Want: "the name of whoever applies the change"}
	}
	if req.WriteID == "" || len(req.WriteID) > maxRequestFieldBytes {
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
	file, change := newRecords(req, base, h.opts.Now())
	txn, err := applyTxn(req, file, change)
	if err != nil {
		return ApplyResult{}, err
	}
	res, err := h.writeUntilKnown(ctx, req, txn)
	if err != nil {
		return ApplyResult{}, err
	}
	if !res.Repeated {
		// The text can't fail to parse here: validateRequest has parsed it.
		_ = h.adopt(candidate{revision: res.Revision, text: req.Text, source: "apply", base: req.BaseRevision, edits: change.Edits})
		h.trimHistory(ctx)
	}
	return res, nil
}

// baseText returns the text of the base revision, from which the history's edits
// are computed. The text in memory may be older than the store's, and a base that
// is no longer the newest gives an empty text: in both cases the transaction's
// guard rejects the change.
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

// applyTxn returns a transaction that writes both records if the base is still the
// newest revision, and otherwise reads what distinguishes a conflict from a repeat.
func applyTxn(req ApplyRequest, file fileRecord, change changeRecord) (store.Txn, error) {
	fileValue, err := encodeJSON(file)
	if err != nil {
		return store.Txn{}, err
	}
	if len(fileValue) > maxRecordBytes {
		return store.Txn{}, &rules.SizeError{Bytes: len(fileValue), Max: maxRecordBytes}
	}
	changeValue, err := encodeJSON(change)
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

// writeUntilKnown repeats the write until its outcome is known. The response may be
// lost after the write took effect; an operator told of a failure would send the
// change again and conflict with his own change. Repeating is safe: the guard lets
// the change through at most once, and when it fails, the write id in the records
// shows whether an earlier attempt succeeded.
func (h *Holder) writeUntilKnown(ctx context.Context, req ApplyRequest, txn store.Txn) (ApplyResult, error) {
	unknown := false
	pause := time.Duration(0)
	for attempt := 1; ; attempt++ {
		res, err := h.writeOnce(ctx, req, txn)
		if err == nil {
			// An earlier attempt of this same call is not a repeat by the caller.
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
		if attempt == maxApplyAttempts || !h.backOff(ctx, &pause) {
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
	return classifyRejection(req, res.Gets[0], res.Gets[1])
}

// classifyRejection distinguishes a repeat from a conflict by the newest file and the
// base's history record.
func classifyRejection(req ApplyRequest, newest, history *store.KV) (ApplyResult, error) {
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

// backOff increases pause and waits about half of it. It reports false if ctx ends first.
func (h *Holder) backOff(ctx context.Context, pause *time.Duration) bool {
	h.mu.Lock()
	*pause = h.state.nextBackoff(*pause)
	wait := h.state.jitterAround(*pause) / 2
	h.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// trimHistory removes records beyond MaxHistory, once in changesPerTrim calls on
// average. After a failure a later change removes them.
func (h *Holder) trimHistory(ctx context.Context) {
	h.mu.Lock()
	skip := h.opts.Rand.IntN(changesPerTrim) != 0
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
		h.log.Warn("trimming the rules history failed", "event", "rules_trim_failed", "err", err)
	}
}

// maxTrimOps is below the store's limit of operations in one transaction.
const maxTrimOps = 100

// trimOps returns the operations that delete the oldest records beyond MaxHistory.
func trimOps(kvs []store.KV) []store.Op {
	slices.SortFunc(kvs, func(a, b store.KV) int { return cmp.Compare(a.ModRevision, b.ModRevision) })
	excess := min(len(kvs)-MaxHistory, maxTrimOps)
	var ops []store.Op
	for i := range max(excess, 0) {
		ops = append(ops, store.Delete(kvs[i].Key))
	}
	return ops
}

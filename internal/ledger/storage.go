package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// loadLookback is longer than any window, so that Load includes a window that began
// before the period.
const loadLookback = 2 * WindowLength

const (
	pageSize = 200
	// correctionAttempts is the number of attempts to append a correction.
	correctionAttempts = 3
)

func windowsPrefix(zone cluster.ZoneID) string { return store.LedgerPrefix(zone) + "windows/" }

func correctionsPrefix(zone cluster.ZoneID) string {
	return store.LedgerPrefix(zone) + "corrections/"
}

// timeKey formats t so that keys sort by time. 13 digits of Unix milliseconds suffice
// until the year 2286.
func timeKey(t time.Time) string { return fmt.Sprintf("%013d", max(0, t.UnixMilli())) }

func windowKey(w Window) string {
	return fmt.Sprintf("%s%s-%s-%x-%d", windowsPrefix(w.Zone), timeKey(w.Covered[0].From), w.Observer, w.Incarnation, w.Seq)
}

// Load reads the windows and corrections that the report of a period needs.
func Load(ctx context.Context, s store.Store, zone cluster.ZoneID, from, to time.Time) ([]Window, []Correction, error) {
	prefix := windowsPrefix(zone)
	var windows []Window
	err := eachValue(ctx, s, prefix, prefix+timeKey(from.Add(-loadLookback)), prefix+timeKey(to)+"~", func(v []byte) error {
		var w Window
		err := json.Unmarshal(v, &w)
		windows = append(windows, w)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	var corrections []Correction
	err = eachValue(ctx, s, correctionsPrefix(zone), "", "", func(v []byte) error {
		var c Correction
		err := json.Unmarshal(v, &c)
		corrections = append(corrections, c)
		return err
	})
	return windows, corrections, err
}

// eachValue calls decode with the values of the prefix's keys after one key and up to
// another, in pages. An empty until means no upper limit.
func eachValue(ctx context.Context, s store.Store, prefix, after, until string, decode func([]byte) error) error {
	for {
		res, err := s.Range(ctx, prefix, store.RangeOptions{Limit: pageSize, StartAfter: after})
		if err != nil {
			return fennelerr.Wrap(err, fennelerr.StoreUnavailable, "reading the ledger from the store failed").WithOp("ledger.load")
		}
		for _, kv := range res.KVs {
			if until != "" && kv.Key > until {
				return nil
			}
			if err := decode(kv.Value); err != nil {
				return fennelerr.Wrap(err, fennelerr.Internal, "ledger entry %s can't be decoded", kv.Key).WithOp("ledger.load")
			}
			after = kv.Key
		}
		if !res.More {
			return nil
		}
	}
}

// AppendCorrection writes a correction. The caller chooses its ID, which makes repeats
// idempotent.
func AppendCorrection(ctx context.Context, s store.Store, zone cluster.ZoneID, c Correction) error {
	key := correctionsPrefix(zone) + c.ID
	if c.ID == "" || c.Corrects == "" || c.Author == "" || c.Reason == "" || c.To.Before(c.From) {
		return fennelerr.New(fennelerr.InvalidRequest, "a correction needs id, interval, author, reason and from <= to").WithOp("ledger.append")
	}
	value := encode(c)
	var err error
	for range correctionAttempts {
		var res store.TxnResult
		res, err = s.Txn(ctx, store.Txn{
			Guards: []store.Guard{store.Absent(key)},
			Then:   []store.Op{store.Put(key, value, 0)},
			Else:   []store.Op{store.GetOp(key)},
		})
		switch {
		case err == nil && (res.Succeeded || string(res.Gets[0].Value) == string(value)):
			return nil
		case err == nil:
			return fennelerr.New(fennelerr.Conflict, "another correction already has the id %s", c.ID).WithOp("ledger.append")
		}
		if failure, ok := errors.Into[*store.Error](err); ok && failure.Outcome == store.Refused {
			break
		}
	}
	return fennelerr.Wrap(err, fennelerr.StoreUnavailable, "writing the correction failed or its outcome is unknown; append it again with the same id").WithOp("ledger.append")
}

package rulestore

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// File is a rules file as accepted at Revision.
type File struct {
	Revision int64
	Text     string
	// FromMemory is set when the store could not be asked, so that a newer
	// revision may exist.
	FromMemory bool
}

// Get returns the file of a revision; zero is the newest in the store or, when the
// store can't be asked, the one in force here. It fails with *RevisionError or
// *store.Error.
func (h *Holder) Get(ctx context.Context, revision int64) (File, error) {
	set := h.Current()
	if revision != 0 && set != nil && set.Revision == revision {
		return File{Revision: revision, Text: set.Text}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	file, err := h.readFile(ctx)
	switch {
	case err != nil && revision == 0 && set != nil:
		return File{Revision: set.Revision, Text: set.Text, FromMemory: true}, nil
	case err != nil:
		return File{}, err
	case file.revision == 0:
		return File{}, &RevisionError{Revision: revision, Reason: "the store has no rules yet"}
	}
	newest := File{Revision: file.revision, Text: file.record.Text}
	if revision == 0 || revision == newest.Revision {
		return newest, nil
	}
	return h.past(ctx, newest, revision)
}

// past undoes changes from the newest file back to a revision.
func (h *Holder) past(ctx context.Context, file File, revision int64) (File, error) {
	changes, err := h.changes(ctx)
	if err != nil {
		return File{}, err
	}
	for _, c := range slices.Backward(changes) {
		if file.Revision == revision {
			return file, nil
		}
		if c.revision > file.Revision {
			continue // accepted after the newest file was read
		}
		if c.revision != file.Revision || c.record.Whole {
			break
		}
		text, err := rules.ApplyEdits(file.Text, c.record.Undo)
		if err != nil {
			return File{}, err
		}
		file = File{Revision: c.base, Text: text}
	}
	if file.Revision == revision && revision != 0 {
		return file, nil
	}
	return File{}, &RevisionError{Revision: revision, Reason: "not an accepted revision, or older than the history kept"}
}

// Version is one accepted change, without its text.
type Version struct {
	Revision, Base int64
	Author         string
	At             time.Time
	LinesAdded     int
	LinesRemoved   int
}

// History returns up to limit changes, newest first; limit 0 is all that are kept.
func (h *Holder) History(ctx context.Context, limit int) ([]Version, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	changes, err := h.changes(ctx)
	if err != nil {
		return nil, err
	}
	var versions []Version
	for _, c := range slices.Backward(changes) {
		if limit > 0 && len(versions) == limit {
			break
		}
		versions = append(versions, Version{
			Revision:     c.revision,
			Base:         c.base,
			Author:       c.record.Author,
			At:           time.UnixMilli(c.record.UnixMs),
			LinesAdded:   c.record.LinesAdded,
			LinesRemoved: c.record.LinesRemoved,
		})
	}
	return versions, nil
}

type pastChange struct {
	base, revision int64
	record         changeRecord
}

// changes reads the history, oldest first.
func (h *Holder) changes(ctx context.Context) ([]pastChange, error) {
	countStoreCall("history")
	res, err := h.opts.Store.Range(ctx, store.RulesHistoryPrefix, store.RangeOptions{})
	if err != nil {
		return nil, err
	}
	var changes []pastChange
	for i := range res.KVs {
		kv := &res.KVs[i]
		base, err := baseOf(kv.Key)
		if err != nil {
			continue // not ours
		}
		record, err := decodeChange(kv)
		if err != nil {
			return nil, err
		}
		changes = append(changes, pastChange{base: base, revision: kv.ModRevision, record: record})
	}
	// By base, as the keys are, a file put back into an emptied store would come first.
	slices.SortFunc(changes, func(a, b pastChange) int { return cmp.Compare(a.revision, b.revision) })
	return changes, nil
}

package rulestore

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// File is the rules file accepted at Revision.
type File struct {
	Revision int64
	Text     string
	// FromMemory is set if the store could not be read; a newer revision may exist.
	FromMemory bool
}

// Get returns the file of a revision. Revision 0 selects the newest in the store or,
// if the store can't be read, the one in force on this node. Get fails with
// *RevisionError, *RecordError, *ChecksumError, *rules.EditError or *store.Error.
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
	return h.reconstruct(ctx, newest, revision)
}

// reconstruct undoes changes, starting from the newest file, back to a revision.
func (h *Holder) reconstruct(ctx context.Context, file File, revision int64) (File, error) {
	changes, err := h.readHistory(ctx)
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
		if c.revision != file.Revision || c.record.EditsOmitted {
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

// Version describes one accepted change, without its text.
type Version struct {
	Revision, Base int64
	Author         string
	At             time.Time
	LinesAdded     int
	LinesRemoved   int
}

// History returns up to limit changes, newest first; limit 0 returns all that the
// store keeps.
func (h *Holder) History(ctx context.Context, limit int) ([]Version, error) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	changes, err := h.readHistory(ctx)
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

type historyEntry struct {
	base, revision int64
	record         changeRecord
}

// readHistory returns all history records, oldest first.
func (h *Holder) readHistory(ctx context.Context) ([]historyEntry, error) {
	countStoreCall("history")
	res, err := h.opts.Store.Range(ctx, store.RulesHistoryPrefix, store.RangeOptions{})
	if err != nil {
		return nil, err
	}
	var changes []historyEntry
	for i := range res.KVs {
		kv := &res.KVs[i]
		base, err := parseHistoryKey(kv.Key)
		if err != nil {
			continue // not a history record
		}
		record, err := decodeChange(kv)
		if err != nil {
			return nil, err
		}
		changes = append(changes, historyEntry{base: base, revision: kv.ModRevision, record: record})
	}
	// The keys are ordered by base, which would put a file that was applied with
	// base 0 after the key's deletion first.
	slices.SortFunc(changes, func(a, b historyEntry) int { return cmp.Compare(a.revision, b.revision) })
	return changes, nil
}

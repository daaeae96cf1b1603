package rulestore

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

const (
	// maxRecordBytes bounds the record with the whole file: the store's bound
	// for one value, less some room for its own framing.
	maxRecordBytes = 1_000_000
	// maxEditBytes bounds the edits that a history record keeps. A change above
	// it is fetched as a whole file, and ends how far back history can be shown.
	maxEditBytes = 64 << 10
	// MaxHistory is how many changes the store keeps.
	MaxHistory = 256
)

// fileRecord is the value of store.RulesKey.
type fileRecord struct {
	Text         string `json:"text"`
	SHA256       string `json:"sha256"`
	Author       string `json:"author"`
	WriteID      string `json:"write_id"`
	UnixMs       int64  `json:"unix_ms"`
	BaseRevision int64  `json:"base_revision"`
}

// changeRecord is the value of one history key. The key is the base revision,
// which at most one accepted change has; the revision that the change led to is
// the key's mod revision, as both are written in one transaction.
type changeRecord struct {
	Author       string `json:"author"`
	WriteID      string `json:"write_id"`
	UnixMs       int64  `json:"unix_ms"`
	SHA256       string `json:"sha256"` // of the text after the change
	LinesAdded   int    `json:"lines_added"`
	LinesRemoved int    `json:"lines_removed"`
	// Edits lead from the base to the text after the change and Undo leads back.
	// Both are missing, and Whole is set, when they are too large.
	Edits []rules.Edit `json:"edits,omitempty"`
	Undo  []rules.Edit `json:"undo,omitempty"`
	Whole bool         `json:"whole,omitempty"`
}

func historyKey(base int64) string { return fmt.Sprintf("%s%020d", store.RulesHistoryPrefix, base) }

// baseOf is the base revision in a history key.
func baseOf(key string) (int64, error) {
	return strconv.ParseInt(strings.TrimPrefix(key, store.RulesHistoryPrefix), 10, 64)
}

func checksum(text string) string {
	sum := rules.Checksum(text)
	return hex.EncodeToString(sum[:])
}

// makeRecords builds both records of a change.
func makeRecords(req ApplyRequest, baseText string, now time.Time) (fileRecord, changeRecord) {
	file := fileRecord{
		Text:         req.Text,
		SHA256:       checksum(req.Text),
		Author:       req.Author,
		WriteID:      req.WriteID,
		UnixMs:       now.UnixMilli(),
		BaseRevision: req.BaseRevision,
	}
	change := changeRecord{
		Author:  req.Author,
		WriteID: req.WriteID,
		UnixMs:  file.UnixMs,
		SHA256:  file.SHA256,
		Edits:   rules.Diff(baseText, req.Text),
		Undo:    rules.Diff(req.Text, baseText),
	}
	for _, e := range change.Edits {
		change.LinesAdded += len(e.Added)
		change.LinesRemoved += e.Removed
	}
	if editBytes(change.Edits)+editBytes(change.Undo) > maxEditBytes {
		change.Edits, change.Undo, change.Whole = nil, nil, true
	}
	return file, change
}

// editBytes is about how much the edits take when sent or kept.
func editBytes(edits []rules.Edit) int {
	const perEdit = 24
	n := 0
	for _, e := range edits {
		n += perEdit
		for _, line := range e.Added {
			n += len(line) + 3
		}
	}
	return n
}

// encode is JSON without the escapes for HTML, which would swell the file.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, &RecordError{Err: err}
	}
	return b.Bytes(), nil
}

func decodeFile(kv *store.KV) (fileRecord, error) {
	var r fileRecord
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		return r, &RecordError{Key: kv.Key, Err: err}
	}
	if checksum(r.Text) != r.SHA256 {
		return r, &ChecksumError{Source: kv.Key, Revision: kv.ModRevision}
	}
	return r, nil
}

func decodeChange(kv *store.KV) (changeRecord, error) {
	var r changeRecord
	if err := json.Unmarshal(kv.Value, &r); err != nil {
		return r, &RecordError{Key: kv.Key, Err: err}
	}
	return r, nil
}

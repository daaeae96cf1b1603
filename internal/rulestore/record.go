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
	// maxRecordBytes bounds the record with the complete file. It is the store's
	// limit for one value, less an allowance for the store's own framing.
	maxRecordBytes = 1_000_000
	// maxEditBytes bounds the edits in a history record. A larger change is
	// fetched as a complete file, and texts before it can't be reconstructed.
	maxEditBytes = 64 << 10
	// MaxHistory is about how many changes the store keeps; see trimHistory.
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

// changeRecord is the value of one history key. The key holds the base revision,
// which is unique to an accepted change. The key's mod revision is the revision
// that the change led to, since both records are written in one transaction.
type changeRecord struct {
	Author       string `json:"author"`
	WriteID      string `json:"write_id"`
	UnixMs       int64  `json:"unix_ms"`
	SHA256       string `json:"sha256"` // of the text after the change
	LinesAdded   int    `json:"lines_added"`
	LinesRemoved int    `json:"lines_removed"`
	// Edits turn the base text into the new text, and Undo reverses them. If they
	// are larger than maxEditBytes, both are empty and EditsOmitted is set.
	Edits        []rules.Edit `json:"edits,omitempty"`
	Undo         []rules.Edit `json:"undo,omitempty"`
	EditsOmitted bool         `json:"whole,omitempty"`
}

func historyKey(base int64) string { return fmt.Sprintf("%s%020d", store.RulesHistoryPrefix, base) }

// parseHistoryKey returns the base revision in a history key.
func parseHistoryKey(key string) (int64, error) {
	return strconv.ParseInt(strings.TrimPrefix(key, store.RulesHistoryPrefix), 10, 64)
}

func checksum(text string) string {
	sum := rules.Checksum(text)
	return hex.EncodeToString(sum[:])
}

// newRecords returns the file record and the history record of a change.
func newRecords(req ApplyRequest, baseText string, now time.Time) (fileRecord, changeRecord) {
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
		change.Edits, change.Undo, change.EditsOmitted = nil, nil, true
	}
	return file, change
}

// editBytes estimates the encoded size of the edits.
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

// encodeJSON returns v as JSON without HTML escapes, which would enlarge the file.
func encodeJSON(v any) ([]byte, error) {
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

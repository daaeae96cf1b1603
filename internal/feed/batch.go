package feed

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Batch is a batch of changes that is encoded at most once, however many followers it is sent
// to. A node sends the bytes that it received on to its own followers.
type Batch struct {
	store.WatchBatch
	// pack returns the compressed bytes, or nil if the batch is too small to be worth it.
	pack func() []byte
}

// NewBatch returns a Batch that is encoded when it is first sent.
func NewBatch(b store.WatchBatch) *Batch {
	return &Batch{WatchBatch: b, pack: sync.OnceValue(func() []byte { return pack(b) })}
}

// minPackedBytes is the encoded size from which a batch is compressed.
const minPackedBytes = 1 << 10

// maxBatchBytes limits a batch after decompression.
const maxBatchBytes = 256 << 20

var writers = sync.Pool{New: func() any {
	w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
	return w
}}

func pack(b store.WatchBatch) []byte {
	doc, err := proto.Marshal(&wirepb.FeedBatch{Revision: b.Revision, Entries: encodeEntries(b.Events)})
	if err != nil || len(doc) < minPackedBytes {
		return nil
	}
	var out bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	_, _ = w.Write(doc) // a buffer accepts all
	_ = w.Close()
	return out.Bytes()
}

var readers = sync.Pool{New: func() any { return new(gzip.Reader) }}

// unpack decodes the bytes that pack returned.
func unpack(data []byte) (*Batch, error) {
	r := readers.Get().(*gzip.Reader)
	defer readers.Put(r)
	if err := r.Reset(bytes.NewReader(data)); err != nil {
		return nil, errors.Wrap(err, "packed batch")
	}
	doc, err := io.ReadAll(io.LimitReader(r, maxBatchBytes))
	if err != nil {
		return nil, errors.Wrap(err, "packed batch")
	}
	msg := &wirepb.FeedBatch{}
	if err := proto.Unmarshal(doc, msg); err != nil {
		return nil, errors.Wrap(err, "packed batch")
	}
	return &Batch{WatchBatch: decodeBatch(msg.GetRevision(), msg.GetEntries()), pack: func() []byte { return data }}, nil
}

// encode returns the response that holds the batch.
func encode(b *Batch, packed bool) *wirepb.FollowResponse {
	if packed {
		if data := b.pack(); data != nil {
			return &wirepb.FollowResponse{Packed: data}
		}
	}
	return &wirepb.FollowResponse{Revision: b.Revision, Entries: encodeEntries(b.Events)}
}

func encodeEntries(events []store.Event) []*wirepb.FeedEntry {
	entries := make([]*wirepb.FeedEntry, 0, len(events))
	for _, ev := range events {
		entries = append(entries, &wirepb.FeedEntry{Key: ev.KV.Key, Value: ev.KV.Value, ModRevision: ev.KV.ModRevision,
			CreateRevision: ev.KV.CreateRevision, Deleted: ev.Type == store.EventDelete})
	}
	return entries
}

// decode returns the batch that a response holds.
func decode(msg *wirepb.FollowResponse) (*Batch, error) {
	if data := msg.GetPacked(); len(data) > 0 {
		return unpack(data)
	}
	return NewBatch(decodeBatch(msg.GetRevision(), msg.GetEntries())), nil
}

func decodeBatch(revision int64, entries []*wirepb.FeedEntry) store.WatchBatch {
	batch := store.WatchBatch{Revision: revision}
	for _, e := range entries {
		ev := store.Event{KV: store.KV{Key: e.GetKey(), Value: e.GetValue(), ModRevision: e.GetModRevision(), CreateRevision: e.GetCreateRevision()}}
		if e.GetDeleted() {
			ev.Type = store.EventDelete
		}
		batch.Events = append(batch.Events, ev)
	}
	return batch
}

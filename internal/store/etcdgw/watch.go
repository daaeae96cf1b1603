package etcdgw

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdjson"
)

// errIdle ends a stream that brought nothing for too long.
var errIdle = errors.New("watch brought nothing for too long")

// Watch implements store.Store. It returns once the service has confirmed the
// watch, so that every later change is seen.
//
// A watch whose connection has gone silent looks like one on which nothing
// happens, and its node would keep old rules for good. So after Options.WatchIdle
// without a byte the watch is opened anew, from the next revision, on a fresh
// connection.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan store.WatchBatch, error) {
	w := &watcher{client: c, prefix: prefix, next: from, out: make(chan store.WatchBatch)}
	stream, err := w.open(ctx)
	if err != nil {
		return nil, err
	}
	go w.run(ctx, stream)
	return w.out, nil
}

type watcher struct {
	client *Client
	prefix string
	next   int64
	out    chan store.WatchBatch
}

// stream is one open watch request.
type stream struct {
	answer *http.Response
	dec    *json.Decoder
	cancel context.CancelFunc
	idle   *time.Timer
}

func (s *stream) close() {
	s.idle.Stop()
	s.cancel()
	_ = s.answer.Body.Close()
}

func (w *watcher) run(ctx context.Context, s *stream) {
	defer close(w.out)
	for {
		err := w.follow(ctx, s)
		s.close()
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errIdle) {
			s, err = w.open(ctx)
		}
		if err != nil {
			w.send(ctx, store.WatchBatch{Err: err})
			return
		}
	}
}

func (w *watcher) send(ctx context.Context, batch store.WatchBatch) {
	select {
	case w.out <- batch:
	case <-ctx.Done():
	}
}

// open tries the endpoints in turn; a watch changes nothing, so that is safe.
func (w *watcher) open(ctx context.Context) (*stream, error) {
	c := w.client
	first := c.preferred.Load()
	err := failure(callWatch, store.Invalid, store.Refused, errors.New("no endpoints"))
	for i := range int64(len(c.endpoints)) {
		at := (first + i) % int64(len(c.endpoints))
		var s *stream
		s, err = w.openAt(ctx, c.endpoints[at])
		if err == nil {
			return s, nil
		}
		if err.Kind != store.Unavailable || ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

func (w *watcher) openAt(ctx context.Context, endpoint string) (*stream, *store.Error) {
	body, err := json.Marshal(etcdjson.WatchRequest{Create: etcdjson.WatchCreate{
		Key:            rangeStart(w.prefix),
		RangeEnd:       etcdjson.PrefixEnd(w.prefix),
		StartRevision:  etcdjson.Int64(w.next),
		ProgressNotify: true,
	}})
	if err != nil {
		return nil, failure(callWatch, store.Invalid, store.Refused, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	idle := time.AfterFunc(w.client.timeout, cancel)
	answer, sent, err := w.client.post(ctx, callWatch, endpoint, body)
	if err != nil {
		idle.Stop()
		cancel()
		return nil, w.client.unanswered(callWatch, sent, err)
	}
	s := &stream{answer: answer, dec: json.NewDecoder(answer.Body), cancel: cancel, idle: idle}
	if failed := w.confirm(s); failed != nil {
		s.close()
		return nil, failed
	}
	return s, nil
}

// confirm reads the first message of a watch, which says that it was created.
func (w *watcher) confirm(s *stream) *store.Error {
	if s.answer.StatusCode != http.StatusOK {
		var raw json.RawMessage
		_ = s.dec.Decode(&raw)
		return refusal(callWatch, s.answer.StatusCode, raw)
	}
	var msg etcdjson.WatchResult
	if err := s.dec.Decode(&msg); err != nil {
		return w.client.unanswered(callWatch, true, err)
	}
	if !msg.Result.Created || msg.Result.Canceled {
		return watchEnd(&msg)
	}
	if w.next == 0 {
		w.next = int64(msg.Result.Header.Revision) + 1
	}
	return nil
}

// follow passes on the stream's events until it fails.
func (w *watcher) follow(ctx context.Context, s *stream) error {
	for {
		s.idle.Reset(w.client.watchIdle)
		var msg etcdjson.WatchResult
		if err := s.dec.Decode(&msg); err != nil {
			if !s.idle.Stop() {
				return errIdle
			}
			return w.client.unanswered(callWatch, true, err)
		}
		// A consumer may be slow; that isn't the connection's silence.
		if !s.idle.Stop() {
			return errIdle
		}
		if msg.Error != nil || msg.Result.Canceled {
			return watchEnd(&msg)
		}
		batch := toBatch(&msg.Result)
		w.next = max(w.next, batch.Revision+1)
		if len(batch.Events) > 0 {
			w.send(ctx, batch)
		}
	}
}

// toBatch converts a message. The header's revision may be ahead of events that
// a watch that is catching up has yet to bring, so a batch with events brings
// the watcher only to the last of these.
func toBatch(res *etcdjson.WatchResponse) store.WatchBatch {
	batch := store.WatchBatch{Revision: int64(res.Header.Revision)}
	if n := len(res.Events); n > 0 {
		batch.Revision = int64(res.Events[n-1].KV.ModRevision)
	}
	for i := range res.Events {
		ev := store.Event{KV: fromJSON(&res.Events[i].KV)}
		if res.Events[i].Type == etcdjson.EventTypeDel {
			ev.Type = store.EventDelete
		}
		batch.Events = append(batch.Events, ev)
	}
	return batch
}

// watchEnd is the failure with which the service ended a watch.
func watchEnd(msg *etcdjson.WatchResult) *store.Error {
	if msg.Result.CompactRevision > 0 {
		return failure(callWatch, store.Compacted, store.Refused, errors.New(msg.Result.CancelReason))
	}
	reason := msg.Result.CancelReason
	if msg.Error != nil {
		reason = msg.Error.Message
	}
	return failure(callWatch, store.Unavailable, store.Refused, errors.New("watch ended: "+reason))
}

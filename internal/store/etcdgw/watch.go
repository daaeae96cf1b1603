package etcdgw

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdjson"
)

// errWatchIdle ends a stream that received nothing within the idle timeout, and errMessageTooLarge one whose
// message exceeds maxWatchMessageBytes.
var (
	errWatchIdle       = errors.New("watch idle timeout exceeded")
	errMessageTooLarge = errors.New("the message of the watch is too large")
)

// maxWatchMessageBytes limits one message of a watch, which the decoder buffers whole. The
// transactions that the service accepts by default are a tenth of it.
const maxWatchMessageBytes = 16 << 20

// Watch implements store.Store. It returns once the service has confirmed the
// watch, so that no later change is missed.
//
// A watch on a dead connection cannot be told from one without changes, and its
// node would keep outdated rules indefinitely. The watch is therefore reopened at
// the next revision, on a new connection, if no message arrives for
// Options.WatchIdleTimeout.
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
	resp   *http.Response
	dec    *json.Decoder
	limit  *messageLimit
	cancel context.CancelFunc
	idle   *time.Timer
}

// decode reads the next message.
func (s *stream) decode(into any) error {
	s.limit.left = maxWatchMessageBytes
	return s.dec.Decode(into)
}

// messageLimit fails reads of a message that goes on after left more bytes.
type messageLimit struct {
	body io.Reader
	left int
}

// Read implements io.Reader.
func (l *messageLimit) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errMessageTooLarge
	}
	n, err := l.body.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func (s *stream) close() {
	s.idle.Stop()
	s.cancel()
	_ = s.resp.Body.Close()
}

func (w *watcher) run(ctx context.Context, s *stream) {
	defer close(w.out)
	for {
		err := w.receive(ctx, s)
		s.close()
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWatchIdle) {
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

// open tries the endpoints in turn, which is safe because a watch does not modify the store.
func (w *watcher) open(ctx context.Context) (*stream, error) {
	c := w.client
	start := c.preferred.Load()
	err := newError(opWatch, store.Invalid, store.Refused, errors.New("no endpoints"))
	for i := range int64(len(c.endpoints)) {
		index := (start + i) % int64(len(c.endpoints))
		var s *stream
		s, err = w.openAt(ctx, c.endpoints[index])
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
		return nil, newError(opWatch, store.Invalid, store.Refused, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	idle := time.AfterFunc(w.client.timeout, cancel)
	resp, maybeSent, err := w.client.post(ctx, opWatch, endpoint, body)
	if err != nil {
		idle.Stop()
		cancel()
		return nil, w.client.noResponseError(opWatch, maybeSent, err)
	}
	limit := &messageLimit{body: resp.Body}
	s := &stream{resp: resp, dec: json.NewDecoder(limit), limit: limit, cancel: cancel, idle: idle}
	if createErr := w.awaitCreated(s); createErr != nil {
		s.close()
		return nil, createErr
	}
	return s, nil
}

// awaitCreated reads the first message of a watch, which reports that it was created.
func (w *watcher) awaitCreated(s *stream) *store.Error {
	if s.resp.StatusCode != http.StatusOK {
		var raw json.RawMessage
		_ = s.decode(&raw) // raw stays empty if the body is not the gateway's
		return responseError(opWatch, s.resp.StatusCode, raw)
	}
	var msg etcdjson.WatchResult
	if err := s.decode(&msg); err != nil {
		return w.client.noResponseError(opWatch, true, err)
	}
	if !msg.Result.Created || msg.Result.Canceled {
		return watchEndError(&msg)
	}
	if w.next == 0 {
		w.next = int64(msg.Result.Header.Revision) + 1
	}
	return nil
}

// receive forwards the stream's events until the stream fails.
func (w *watcher) receive(ctx context.Context, s *stream) error {
	for {
		s.idle.Reset(w.client.watchIdle)
		var msg etcdjson.WatchResult
		if err := s.decode(&msg); err != nil {
			if !s.idle.Stop() {
				return errWatchIdle
			}
			return w.client.messageError(err)
		}
		// The timer stops here so that a slow consumer does not count as an idle connection.
		if !s.idle.Stop() {
			return errWatchIdle
		}
		if msg.Error != nil || msg.Result.Canceled {
			return watchEndError(&msg)
		}
		batch := toBatch(&msg.Result)
		w.next = max(w.next, batch.Revision+1)
		if len(batch.Events) > 0 {
			w.send(ctx, batch)
		}
	}
}

// messageError returns the error of a message that could not be read. The same watch would get one that is too
// large again, so that its reader has to read all entries, as after a compaction.
func (c *Client) messageError(err error) *store.Error {
	failure := c.noResponseError(opWatch, true, err)
	if errors.Is(err, errMessageTooLarge) {
		failure.Kind = store.Compacted
	}
	return failure
}

// toBatch converts a message. While a watch is catching up, the header's revision
// may be ahead of events still to come, so the revision of a batch with events is
// that of its last event.
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

// watchEndError returns the error with which the service ended a watch.
func watchEndError(msg *etcdjson.WatchResult) *store.Error {
	if msg.Result.CompactRevision > 0 {
		return newError(opWatch, store.Compacted, store.Refused, errors.New(msg.Result.CancelReason))
	}
	reason := msg.Result.CancelReason
	if msg.Error != nil {
		reason = msg.Error.Message
	}
	return newError(opWatch, store.Unavailable, store.Refused, errors.New("watch ended: "+reason))
}

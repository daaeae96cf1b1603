package platform

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdjson"
)

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.WatchRequest
	if !readJSON(w, r, &req) {
		return
	}
	discardBody(r)
	prefix := string(req.Create.Key)
	revision := s.store.Revision()
	from := int64(req.Create.StartRevision)
	if from == 0 {
		from = revision + 1
	}
	batches, err := s.store.Watch(r.Context(), prefix, from)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	stream := watchStream{w: w, enc: json.NewEncoder(w), flush: http.NewResponseController(w)}
	w.Header().Set("Content-Type", etcdjson.ContentType)
	stream.send(etcdjson.WatchResponse{Header: header(revision), Created: true})
	for batch := range batches {
		if batch.Err != nil {
			stream.sendError(batch.Err)
			return
		}
		stream.send(etcdjson.WatchResponse{Header: header(batch.Revision), Events: toEvents(batch.Events)})
	}
}

type watchStream struct {
	w     http.ResponseWriter
	enc   *json.Encoder
	flush *http.ResponseController
}

func (s *watchStream) send(res etcdjson.WatchResponse) {
	_ = s.enc.Encode(etcdjson.WatchResult{Result: res}) // a disconnect cancels the request's context
	_ = s.flush.Flush()
}

// sendError reports a compaction to the watcher. On any other error it aborts the
// connection.
func (s *watchStream) sendError(err error) {
	storeErr, ok := errors.Into[*store.Error](err)
	if !ok || storeErr.Kind != store.Compacted {
		panic(http.ErrAbortHandler) // aborts the connection
	}
	s.send(etcdjson.WatchResponse{
		Canceled:        true,
		CancelReason:    storeErr.Err.Error(),
		CompactRevision: 1,
	})
}

func toEvents(in []store.Event) []etcdjson.Event {
	out := make([]etcdjson.Event, 0, len(in))
	for _, ev := range in {
		event := etcdjson.Event{KV: toJSON(ev.KV)}
		if ev.Type == store.EventDelete {
			event.Type = etcdjson.EventTypeDel
		}
		out = append(out, event)
	}
	return out
}

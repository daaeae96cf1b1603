package openai

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// exchange implements call.Exchange.
type exchange struct {
	req      *request
	id       string // expected in every chunk of the response
	sink     sink
	progress *progress
	// checkedChunk is the chunk that Check decoded last; nil after an end marker.
	checkedChunk *chunk
}

var _ call.Exchange = (*exchange)(nil)

func newExchange(req *request, to call.Caller) *exchange {
	x := &exchange{req: req, id: chunkID(req.path, to.RequestID), progress: newProgress()}
	if req.stream {
		x.sink = newStreamSink(to)
	} else {
		x.sink = newBufferedSink(to.W, req.path)
	}
	return x
}

// RequestBody implements call.Exchange.
func (x *exchange) RequestBody(continuation bool) ([]byte, error) {
	if !continuation {
		return x.req.engineBody("")
	}
	return x.req.engineBody(x.progress.text.String())
}

// Check implements call.Exchange.
func (x *exchange) Check(addr string, ev engine.Event) error {
	x.checkedChunk = nil
	if ev.Done {
		if !x.progress.complete(x.req.choices) {
			return &engine.BrokenError{Addr: addr, Err: errors.New("end marker received before every choice was finished")}
		}
		return nil
	}
	c := &chunk{}
	if err := json.Unmarshal(ev.Data, c); err != nil {
		return &engine.BrokenError{Addr: addr, Err: err}
	}
	if c.ID != x.id {
		return &engine.MismatchError{Addr: addr, Want: x.id, Got: c.ID}
	}
	x.checkedChunk = c
	return nil
}

// Forward implements call.Exchange.
func (x *exchange) Forward(ev engine.Event) error {
	if x.checkedChunk == nil {
		return nil
	}
	if err := x.sink.writeEvent(ev.Data, x.checkedChunk); err != nil {
		return err
	}
	x.progress.add(ev.ID, x.checkedChunk)
	return nil
}

// LastEventID implements call.Exchange.
func (x *exchange) LastEventID() int64 { return x.progress.lastID }

// CanContinue implements call.Exchange: only text of a single choice can be continued.
func (x *exchange) CanContinue() bool { return x.req.choices == 1 && x.progress.plainText }

// ResponseStarted implements call.Exchange.
func (x *exchange) ResponseStarted() bool { return x.sink.committed() }

// Reset implements call.Exchange.
func (x *exchange) Reset() {
	x.sink.reset()
	x.progress = newProgress()
}

// Finish implements call.Exchange.
func (x *exchange) Finish() error { return x.sink.finish() }

// ResponseDocument implements call.Exchange.
func (x *exchange) ResponseDocument() []byte {
	if buffered, ok := x.sink.(*bufferedSink); ok {
		return buffered.sent
	}
	return nil
}

// Abort implements call.Exchange.
func (x *exchange) Abort(document []byte) { x.sink.abort(document) }

// Close implements call.Exchange.
func (x *exchange) Close() { x.sink.close() }

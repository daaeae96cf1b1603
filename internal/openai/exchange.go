package openai

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// exchange implements call.Exchange.
type exchange struct {
	req  *request
	id   string // of every chunk of this call's answer
	sink sink
	prog *progress
	// checked is what Check read last; nil after an end marker.
	checked *chunk
}

var _ call.Exchange = (*exchange)(nil)

func newExchange(req *request, to call.Caller) *exchange {
	x := &exchange{req: req, id: chunkID(req.path, to.RequestID), prog: newProgress()}
	if req.stream {
		x.sink = newStreamSink(to)
	} else {
		x.sink = newWholeSink(to.W, req.path)
	}
	return x
}

// RequestBody implements call.Exchange.
func (x *exchange) RequestBody(continuation bool) ([]byte, error) {
	if !continuation {
		return x.req.engineBody("")
	}
	return x.req.engineBody(x.prog.text.String())
}

// Check implements call.Exchange.
func (x *exchange) Check(addr string, ev engine.Event) error {
	x.checked = nil
	if ev.Done {
		if !x.prog.whole(x.req.choices) {
			return &engine.BrokenError{Addr: addr, Err: errors.New("end marker before the end of the answer")}
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
	x.checked = c
	return nil
}

// Forward implements call.Exchange.
func (x *exchange) Forward(ev engine.Event) error {
	if x.checked == nil {
		return nil
	}
	if err := x.sink.event(ev.Data, x.checked); err != nil {
		return err
	}
	x.prog.add(ev.ID, x.checked)
	return nil
}

// LastEventID implements call.Exchange.
func (x *exchange) LastEventID() int64 { return x.prog.lastID }

// CanContinue implements call.Exchange: text of a single choice can be continued.
func (x *exchange) CanContinue() bool { return x.req.choices == 1 && x.prog.plain }

// ResponseStarted implements call.Exchange.
func (x *exchange) ResponseStarted() bool { return x.sink.committed() }

// Reset implements call.Exchange.
func (x *exchange) Reset() {
	x.sink.restart()
	x.prog = newProgress()
}

// Finish implements call.Exchange.
func (x *exchange) Finish() error { return x.sink.finish() }

// ResponseDocument implements call.Exchange.
func (x *exchange) ResponseDocument() []byte {
	if whole, ok := x.sink.(*wholeSink); ok {
		return whole.sent
	}
	return nil
}

// Abort implements call.Exchange.
func (x *exchange) Abort(document []byte) { x.sink.abort(document) }

// Close implements call.Exchange.
func (x *exchange) Close() { x.sink.close() }

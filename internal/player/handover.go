package player

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/relay"
)

// others returns the other nodes, as membership would: those that are down are among them.
func (n *node) others() (out []relay.Node) {
	for _, other := range n.sys.nodes {
		if other != n && n.sys.world.nodesReach(n.zone, other.zone) {
			out = append(out, relay.Node{ID: other.id, Zone: other.zone, Addr: string(other.id)})
		}
	}
	return out
}

// nodeClient hands a node's calls over to the others. It implements relay.NodeClient.
type nodeClient struct{ from *node }

// Send implements relay.NodeClient.
func (c nodeClient) Send(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
	time.Sleep(roundTrip / 2)
	c.from.sys.recordHandOver(a.Call.ID)
	to := c.from.sys.node(cluster.NodeID(a.Peer.Addr))
	core := to.currentCore()
	if core == nil {
		return nil, &relay.NotRunError{Reason: "connection refused", Err: errors.New("the node is down")}
	}
	handedOver := *a.Call
	handedOver.HandedOver, handedOver.AttemptsLeft, handedOver.ResumeAfter, handedOver.ReceivedAt = true, a.MaxAttempts, a.ResumeAfter, time.Now()
	handedOver.Deadline = time.Now().Add(a.Timeout)
	ctx, cancel := context.WithCancel(ctx)
	answer := &handedOverAnswer{ctx: ctx, cancel: cancel, events: make(chan handOverEvent), last: resumeOffset(a.ResumeAfter)}
	go func() {
		defer close(answer.events)
		core.Serve(ctx, &handedOver, answer)
	}()
	first, ok := <-answer.events
	switch {
	case !ok:
		return nil, &relay.BrokenError{Reason: "no answer", ConnectionLost: true, Err: ctx.Err()}
	case first.refusal != nil:
		return nil, &relay.NodeRefusalError{Refusal: first.refusal}
	case first.aborted:
		return nil, &relay.BrokenError{Reason: "no answer", ConnectionLost: true, Err: io.ErrUnexpectedEOF}
	}
	return &relay.Reply{Head: call.Head{Status: http.StatusOK, Header: http.Header{}}, Body: answer}, nil
}

// recordHandOver records that a call was offered to a node.
func (sys *Simulation) recordHandOver(callID string) {
	sys.mu.Lock()
	defer sys.mu.Unlock()
	if sys.handOvers == nil {
		sys.handOvers = make(map[string]int)
	}
	sys.handOvers[callID]++
}

// node returns the node with the id.
func (sys *Simulation) node(id cluster.NodeID) *node {
	for _, n := range sys.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// handOverEvent is a step of an answer: its head, a piece, its end, or that it breaks off.
type handOverEvent struct {
	piece, end, aborted bool
	refusal             *fennelerr.Error
}

// handedOverAnswer is both ends of an answer between two nodes: the call.Sink of the node that
// took the call over and the relay.Body of the other.
type handedOverAnswer struct {
	ctx    context.Context
	cancel context.CancelFunc
	events chan handOverEvent
	last   int
}

func (h *handedOverAnswer) send(e handOverEvent) error {
	select {
	case h.events <- e:
		return nil
	case <-h.ctx.Done():
		return h.ctx.Err()
	}
}

// Start implements call.Sink.
func (h *handedOverAnswer) Start(call.Head) error { return h.send(handOverEvent{}) }

// Respond implements call.Sink.
func (h *handedOverAnswer) Respond(call.Head, []byte) error { return h.send(handOverEvent{end: true}) }

// WritePiece implements call.Sink.
func (h *handedOverAnswer) WritePiece([]byte) error { return h.send(handOverEvent{piece: true}) }

// End implements call.Sink.
func (h *handedOverAnswer) End() error { return h.send(handOverEvent{end: true}) }

// Abort implements call.Sink.
func (h *handedOverAnswer) Abort(*fennelerr.Error) { _ = h.send(handOverEvent{aborted: true}) }

// Refuse implements call.Sink.
func (h *handedOverAnswer) Refuse(err *fennelerr.Error) { _ = h.send(handOverEvent{refusal: err}) }

// Next implements relay.Body.
func (h *handedOverAnswer) Next() ([]byte, string, error) {
	e, ok := <-h.events
	switch {
	case ok && e.end:
		return nil, "", io.EOF
	case ok && e.piece:
		h.last++
		return []byte{}, strconv.Itoa(h.last), nil
	}
	return nil, "", &relay.BrokenError{Reason: "the stream broke off", ConnectionLost: true, Err: io.ErrUnexpectedEOF}
}

// ReadAll implements relay.Body.
func (h *handedOverAnswer) ReadAll(int64) ([]byte, error) {
	return nil, errors.New("only streamed responses are supported")
}

// Close implements relay.Body.
func (h *handedOverAnswer) Close() { h.cancel() }

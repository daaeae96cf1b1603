package player

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/relay"
)

// backend sends a node's attempts to the simulated VMs. It implements relay.Backend.
type backend struct {
	w    *world
	node cluster.NodeID
	zone cluster.ZoneID
	// answerTokens returns the length in tokens of the complete answer to a call.
	answerTokens func(id string) int
}

// dialTimeout is how long a node waits for a connection to an unresponsive VM.
const dialTimeout = 1500 * time.Millisecond

// Send implements relay.Backend.
func (b *backend) Send(ctx context.Context, a relay.Attempt) (*relay.Reply, error) {
	time.Sleep(roundTrip / 2)
	v, err := b.reach(ctx, a)
	if err != nil {
		return nil, err
	}
	ans, job, load, err := b.admit(v, a)
	if err != nil {
		return nil, b.awaitRefusal(ctx, err)
	}
	body := &streamBody{ctx: ctx, w: b.w, node: b.node, answer: ans, cancelJob: func() { b.w.cancelJob(v, job) }, lastPiece: resumeOffset(a.ResumeAfter)}
	if err := body.awaitFirst(); err != nil {
		return nil, err
	}
	b.w.mu.Lock()
	limit := b.w.nameLimit(v, b.node)
	leaving := b.w.sayLeaving(v, b.node)
	b.w.mu.Unlock()
	return &relay.Reply{Head: call.Head{Status: http.StatusOK, Header: http.Header{}}, State: relay.ServerState{Load: &load, RateLimit: limit, Leaving: leaving}, Body: body}, nil
}

// awaitRefusal returns a VM's refusal, or an error when ctx ends if what VMs send is lost.
func (b *backend) awaitRefusal(ctx context.Context, refusal error) error {
	if cut, disturbed := b.w.pathOf(b.node); !disturbed || cut.loss > 0 {
		return refusal
	}
	<-ctx.Done()
	return &relay.BrokenError{Reason: "no answer", Err: ctx.Err()}
}

// Refuses implements relay.Backend.
func (b *backend) Refuses(_ context.Context, p conns.Peer) bool {
	time.Sleep(roundTrip)
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	v := b.w.vms[p.Server]
	if cut, disturbed := b.w.isolated[b.node]; disturbed && cut.loss == 0 {
		return cut.refuse
	}
	return v != nil && v.crashed && b.w.reaches(b.zone, v.entry.Zone)
}

// HasSuccessor implements relay.Backend.
func (b *backend) HasSuccessor(ctx context.Context, p conns.Peer) bool {
	if !b.Accepts(ctx, p) {
		return false
	}
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	v := b.w.vms[p.Server]
	return v != nil && v.entry.StartedAt.UnixMilli() > p.StartedUnixMs
}

// Accepts implements relay.Backend.
func (b *backend) Accepts(ctx context.Context, p conns.Peer) bool {
	time.Sleep(roundTrip)
	b.w.mu.Lock()
	v := b.w.vms[p.Server]
	cut, disturbed := b.w.isolated[b.node]
	isolated := disturbed && cut.loss == 0
	reachable := v != nil && !isolated && b.w.reaches(b.zone, v.entry.Zone)
	refused := isolated && cut.refuse || reachable && v.crashed
	accepted := reachable && !v.crashed && !v.dead
	b.w.mu.Unlock()
	if accepted && disturbed && !clock.Pause(ctx, b.w.connectDelay(cut.loss)) {
		return false
	}
	if !accepted && !refused {
		<-ctx.Done()
	}
	return accepted
}

// resumeOffset returns the number of the last piece that the caller already has, 0 if it
// has none.
func resumeOffset(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return n
}

// reach returns the VM that the attempt is sent to, or an error after dialTimeout if it is
// down or unreachable from the zone.
func (b *backend) reach(ctx context.Context, a relay.Attempt) (*vm, error) {
	b.w.mu.Lock()
	v := b.w.vms[a.Peer.Server]
	cut, disturbed := b.w.isolated[b.node]
	isolated := disturbed && cut.loss == 0
	reachable := v != nil && (!isolated || cut.oneWay) && b.w.reaches(b.zone, v.entry.Zone)
	refused := isolated && cut.refuse || reachable && v.crashed
	b.w.mu.Unlock()
	if reachable && cut.loss > 0 {
		clock.Pause(ctx, b.w.retransmission(cut.loss))
	}
	switch {
	case refused:
		return nil, &relay.NotRunError{Reason: "connection refused", Refused: true, Err: errors.New("connection refused")}
	case reachable && !v.dead:
		return v, nil
	}
	clock.Pause(ctx, dialTimeout)
	return nil, &relay.NotRunError{Reason: "no connection", Err: errors.New("VM is down or unreachable")}
}

// admit adds the request to the replica that v is the head of, or returns a
// relay.NotRunError if there is none for the model or its queue is full.
func (b *backend) admit(v *vm, a relay.Attempt) (*answer, *enginemodel.Job, relay.Load, error) {
	w := b.w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordArrival(v, b.node)
	h := v.head
	open := h != nil && v.entry.Membership != nil && v.entry.Membership.State == fleet.Open
	load := relay.Load{Slots: w.scenario.Engine.Slots}
	if h != nil {
		load.Running, load.Waiting = h.replica.Running(), h.replica.Waiting()
	}
	if !open || v.model != a.Call.Model {
		return nil, nil, load, &relay.NotRunError{Reason: "not the head of a replica that serves the model", Received: true, State: relay.ServerState{Load: &load, RateLimit: w.nameLimit(v, b.node)}, Err: errors.New(string(v.entry.ID))}
	}
	if err := w.refuseForPushback(v, b.node, load); err != nil {
		return nil, nil, load, err
	}
	if load.Waiting >= w.scenario.Engine.Queue {
		return nil, nil, load, &relay.NotRunError{Reason: "full", Received: true, State: relay.ServerState{Load: &load, RateLimit: w.nameLimit(v, b.node)}, Err: errors.New(string(v.entry.ID))}
	}
	tokens := max(b.answerTokens(a.Call.ID)-resumeOffset(a.ResumeAfter)*w.scenario.Engine.StepsPerPass, 1)
	job := &enginemodel.Job{PromptTokens: max(a.Call.PromptTokens, 1), OutputTokens: tokens, Priority: a.Call.Priority}
	ans := &answer{pieces: make(chan time.Time, tokens/w.scenario.Engine.StepsPerPass+1), failed: make(chan struct{})}
	h.replica.Add(job)
	h.jobs[job] = ans
	if isCrashRequest(a.Call) {
		w.crashDeliveries = append(w.crashDeliveries, time.Now())
		time.AfterFunc(crashDelay, func() { w.crash(v, h) })
	}
	if !h.running {
		h.running = true
		go v.runPasses(h)
	}
	return ans, job, load, nil
}

// cancelJob removes a request whose sender has gone away from its replica.
func (w *world) cancelJob(v *vm, job *enginemodel.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := v.head; h != nil && h.jobs[job] != nil {
		h.replica.Remove(job)
		delete(h.jobs, job)
		v.finishClosing()
	}
}

// streamBody is the sender's end of a response stream. It implements relay.Body.
type streamBody struct {
	ctx          context.Context
	w            *world
	node         cluster.NodeID
	answer       *answer
	cancelJob    func()
	lastPiece    int
	firstPending bool
	// arrival is when the last piece arrived over a path that loses packets.
	arrival time.Time
	ended   bool
}

// awaitFirst waits for the first piece, which arrives together with the response head.
func (r *streamBody) awaitFirst() error {
	if err := r.await(); err != nil {
		return err
	}
	time.Sleep(r.w.scenario.Engine.ResponseOverhead)
	r.firstPending = true
	return nil
}

// await waits for the next piece; it returns io.EOF at the end of the stream.
func (r *streamBody) await() error {
	select {
	case sent, ok := <-r.answer.pieces:
		if err := r.awaitPath(sent); err != nil {
			return err
		}
		if !ok {
			return io.EOF
		}
		return nil
	case <-r.answer.failed:
		return &relay.BrokenError{Reason: "the replica abandoned the request", ConnectionLost: true, Err: io.ErrUnexpectedEOF}
	case <-r.ctx.Done():
		r.cancelJob()
		return &relay.BrokenError{Reason: "no answer", Err: r.ctx.Err()}
	}
}

// Next implements relay.Body.
func (r *streamBody) Next() ([]byte, string, error) {
	if !r.firstPending {
		if err := r.await(); err != nil {
			r.ended = errors.Is(err, io.EOF)
			return nil, "", err
		}
	}
	r.firstPending = false
	r.lastPiece++
	return []byte{}, strconv.Itoa(r.lastPiece), nil
}

// ReadAll implements relay.Body.
func (r *streamBody) ReadAll(int64) ([]byte, error) {
	return nil, errors.New("only streamed responses are supported")
}

// Close implements relay.Body.
func (r *streamBody) Close() {
	if !r.ended {
		r.cancelJob()
	}
}

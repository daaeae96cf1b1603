package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

const (
	// DefaultHeaderTimeout bounds the wait for the first byte of an answer.
	DefaultHeaderTimeout = 3 * time.Second
	// DefaultMaxGap is assumed of an engine that promises nothing.
	DefaultMaxGap = 2 * time.Second
	// gapGrace is added to the promised gap for the network and the scheduler.
	gapGrace = 500 * time.Millisecond
	// maxEventSize bounds one event of a stream, in bytes.
	maxEventSize = 1 << 20
	// maxRefusalBody bounds what is read of a refusal, in bytes.
	maxRefusalBody = 64 << 10
)

// StreamRequest is one attempt to get the rest of an answer from one replica.
type StreamRequest struct {
	Addr       string
	Path       string
	RequestID  string
	Replica    cluster.ReplicaID
	Generation int64
	Priority   int
	Body       []byte
	// ResumeAfter is the id of the last event that the caller of Stream has.
	ResumeAfter int64
	// Resume says that an earlier attempt may have started the request on this replica.
	Resume bool
	// Continue asks another replica to go on after ResumeAfter events.
	Continue bool
}

// StreamInfo is what the engine says about a stream in its answer's header.
type StreamInfo struct {
	CanContinue bool
	MaxGap      time.Duration
}

// Event is one event of a stream. Done marks the end marker.
type Event struct {
	ID   int64
	Data []byte
	Done bool
}

// Streamer reads answers of engines over pooled connections.
type Streamer struct {
	pools         *Pools
	headerTimeout time.Duration
}

// NewStreamer returns a Streamer on the given pools; headerTimeout zero takes the default.
func NewStreamer(pools *Pools, headerTimeout time.Duration) *Streamer {
	if headerTimeout <= 0 {
		headerTimeout = DefaultHeaderTimeout
	}
	return &Streamer{pools: pools, headerTimeout: headerTimeout}
}

// Stream runs one attempt. It calls onStart once the engine has accepted, then
// onEvent for each event in order, without gaps and without repeats. It returns
// nil only after the end marker. Other errors are *NotStartedError,
// *RejectedError, *MismatchError, *SequenceError, *SilentError, *BrokenError, the
// error of a callback, or ctx's error.
func (s *Streamer) Stream(ctx context.Context, req StreamRequest, onStart func(StreamInfo), onEvent func(Event) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dog := newWatchdog(cancel)
	defer dog.disarm()
	pool := s.pools.Get(req.Addr)

	dog.arm(s.headerTimeout)
	resp, sent, err := s.send(ctx, pool, req)
	dog.disarm()
	if err != nil {
		return s.sendError(ctx, err, sent, dog, pool, req)
	}
	defer resp.Body.Close()

	info, err := checkHeader(resp, req)
	if err != nil {
		return err
	}
	onStart(info)
	gap := info.MaxGap + gapGrace
	err = readEvents(&watchedBody{body: resp.Body, dog: dog, gap: gap}, req, onEvent)
	if err != nil && dog.fired.Load() {
		s.pools.Replace(req.Addr, pool)
		return &SilentError{Addr: req.Addr, Gap: gap}
	}
	return err
}

// send posts the request. sent reports whether a connection was obtained, so
// that bytes may have gone out.
func (s *Streamer) send(ctx context.Context, pool http.RoundTripper, req StreamRequest) (resp *http.Response, sent bool, err error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }}
	hreq, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace),
		http.MethodPost, "http://"+req.Addr+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, false, err
	}
	setHeaders(hreq.Header, req)
	resp, err = pool.RoundTrip(hreq)
	return resp, sent, err
}

func setHeaders(h http.Header, req StreamRequest) {
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(HeaderRequestID, req.RequestID)
	h.Set(HeaderReplica, string(req.Replica))
	h.Set(HeaderGeneration, strconv.FormatInt(req.Generation, 10))
	h.Set(HeaderPriority, strconv.Itoa(req.Priority))
	if req.Resume || req.Continue {
		h.Set(HeaderResumeAfter, strconv.FormatInt(req.ResumeAfter, 10))
	}
	if req.Continue {
		h.Set(HeaderContinue, "1")
	}
}

func (s *Streamer) sendError(ctx context.Context, err error, sent bool, dog *watchdog, pool *http.Transport, req StreamRequest) error {
	switch {
	case dog.fired.Load() && !sent:
		return &NotStartedError{Addr: req.Addr, Err: errors.Wrap(err, "dial took too long")}
	case dog.fired.Load():
		s.pools.Replace(req.Addr, pool)
		return &SilentError{Addr: req.Addr, Gap: s.headerTimeout}
	case ctx.Err() != nil:
		return ctx.Err()
	case !sent:
		return &NotStartedError{Addr: req.Addr, Err: err}
	default:
		return &BrokenError{Addr: req.Addr, Err: err}
	}
}

func checkHeader(resp *http.Response, req StreamRequest) (StreamInfo, error) {
	if resp.StatusCode != http.StatusOK {
		return StreamInfo{}, refusal(resp, req.Addr)
	}
	if got := resp.Header.Get(HeaderRequestID); got != req.RequestID {
		return StreamInfo{}, &MismatchError{Addr: req.Addr, Want: req.RequestID, Got: got}
	}
	info := StreamInfo{CanContinue: resp.Header.Get(HeaderCanContinue) == "1", MaxGap: DefaultMaxGap}
	if ms, err := strconv.Atoi(resp.Header.Get(HeaderMaxGap)); err == nil && ms > 0 {
		info.MaxGap = time.Duration(ms) * time.Millisecond
	}
	return info, nil
}

func refusal(resp *http.Response, addr string) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBody))
	notStarted := resp.Header.Get(HeaderStarted) == StartedNo
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return &RejectedError{Addr: addr, Status: resp.StatusCode, Body: body, NotStarted: notStarted}
	}
	if !notStarted {
		return &BrokenError{Addr: addr, Err: errors.Errorf("status %d: %s", resp.StatusCode, body)}
	}
	e := &NotStartedError{Addr: addr, Status: resp.StatusCode, Message: string(body)}
	if sec, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(sec) * time.Second
	}
	return e
}

// readEvents passes on events in order. Events may be repeated or come late
// after a resume: an id already passed on is dropped, a skipped one is an error.
func readEvents(body io.Reader, req StreamRequest, onEvent func(Event) error) error {
	last := req.ResumeAfter
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventSize}) {
		if err != nil {
			return &BrokenError{Addr: req.Addr, Err: err}
		}
		id, idErr := strconv.ParseInt(ev.LastEventID, 10, 64)
		done := ev.Data == DoneMarker
		switch {
		case idErr != nil && !done:
			return &BrokenError{Addr: req.Addr, Err: errors.Errorf("event without an id: %q", ev.LastEventID)}
		case done && idErr == nil && id > last+1, !done && id > last+1:
			return &SequenceError{Addr: req.Addr, Want: last + 1, Got: id}
		case done:
			return onEvent(Event{ID: id, Done: true})
		case id <= last:
			continue
		}
		last = id
		if err := onEvent(Event{ID: id, Data: []byte(ev.Data)}); err != nil {
			return err
		}
	}
	return &BrokenError{Addr: req.Addr, Err: io.ErrUnexpectedEOF}
}

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
	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
)

const (
	// DefaultHeaderTimeout bounds the wait for the response header, including the dial.
	DefaultHeaderTimeout = 3 * time.Second
	// DefaultMaxGap is assumed if the engine sends no HeaderMaxGap.
	DefaultMaxGap = 2 * time.Second
	// gapGrace is added to the engine's maximum gap for network and scheduling delays.
	gapGrace = 500 * time.Millisecond
	// maxEventSize bounds one event of a stream, in bytes.
	maxEventSize = 1 << 20
	// maxRefusalBody bounds the part of a refusal's body that is read, in bytes.
	maxRefusalBody = 64 << 10
)

// StreamRequest is one attempt to obtain a response, or the rest of it, from one replica.
type StreamRequest struct {
	Addr       string
	Path       string
	RequestID  string
	Replica    cluster.ReplicaID
	Generation int64
	Priority   int
	Body       []byte
	// ResumeAfter is the id of the last event that the caller of Stream has received.
	ResumeAfter int64
	// Resume is true if an earlier attempt may have started the request on this replica.
	Resume bool
	// Continue asks another replica to continue after ResumeAfter events.
	Continue bool
}

// StreamInfo describes a stream; it is taken from the response header.
type StreamInfo struct {
	CanContinue bool
	MaxGap      time.Duration
}

// Event is one event of a stream. Done is true for the end marker.
type Event struct {
	ID   int64
	Data []byte
	Done bool
}

// Streamer reads streamed responses of engines over pooled connections.
type Streamer struct {
	pools         *Pools
	headerTimeout time.Duration
}

// NewStreamer returns a Streamer on the given pools; a zero headerTimeout means
// DefaultHeaderTimeout.
func NewStreamer(pools *Pools, headerTimeout time.Duration) *Streamer {
	if headerTimeout <= 0 {
		headerTimeout = DefaultHeaderTimeout
	}
	return &Streamer{pools: pools, headerTimeout: headerTimeout}
}

// Stream runs one attempt. It calls onStart once the engine has accepted the request,
// then onEvent for each event in order, without gaps or duplicates. It returns nil only
// after the end marker; otherwise *NotStartedError, *RejectedError, *MismatchError,
// *SequenceError, *SilentError, *BrokenError, the error of a callback, or ctx's error.
func (s *Streamer) Stream(ctx context.Context, req StreamRequest, onStart func(StreamInfo), onEvent func(Event) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wd := newWatchdog(cancel)
	defer wd.disarm()
	pool := s.pools.Get(req.Addr)

	wd.arm(s.headerTimeout)
	resp, sent, err := s.send(ctx, pool, req)
	wd.disarm()
	if err != nil {
		return s.classifySendError(ctx, err, sent, wd, pool, req)
	}
	defer resp.Body.Close()

	info, err := checkHeader(resp, req)
	if err != nil {
		return err
	}
	onStart(info)
	gap := info.MaxGap + gapGrace
	err = readEvents(&watchedBody{body: resp.Body, watchdog: wd, gap: gap}, req, onEvent)
	if err != nil && wd.fired.Load() {
		s.pools.Replace(req.Addr, pool)
		return &SilentError{Addr: req.Addr, Gap: gap}
	}
	return err
}

// send posts the request. sent reports whether a connection was obtained, in which
// case bytes may have been sent.
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

func (s *Streamer) classifySendError(ctx context.Context, err error, sent bool, wd *watchdog, pool *httpbounds.Transport, req StreamRequest) error {
	switch {
	case wd.fired.Load() && !sent:
		return &NotStartedError{Addr: req.Addr, Err: errors.Wrap(err, "dial timed out")}
	case wd.fired.Load():
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
		return StreamInfo{}, refusalError(resp, req.Addr)
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

func refusalError(resp *http.Response, addr string) error {
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

// readEvents delivers events in order. After a resume events may be repeated or arrive
// late: an id that was already delivered is dropped, a skipped one is an error.
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

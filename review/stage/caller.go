package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
)

// callerHost is the host of all routes.
const callerHost = "a.example"

// request is one attempt of a caller.
type request struct {
	method, uri string
	header      map[string]string
	key         string
	body        []byte
	deadline    time.Duration
	// pace is how many bytes of the body are sent each second; 0 sends it at once.
	pace int
	// opaque sends the path as it stands, without the client's own escapes.
	opaque bool
}

// answer is what the caller got.
type answer struct {
	id     string
	status int // 0 without a whole answer
	seal   string
	size   int
	err    error
	took   time.Duration
	// kept is set if the request went over a connection that had carried another one.
	kept bool
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", time.Now().UnixNano()/1000*1000+lastID.Add(1)) }

// newClient returns a client that opens a connection for each request, as the platform's callers
// may do.
func newClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newKeepingClient returns a client that keeps its connection for many requests.
func newKeepingClient() *http.Client {
	client := newClient()
	client.Transport = &http.Transport{DisableCompression: true}
	return client
}

// call sends one attempt to a node and reads the answer.
func (s *stage) call(client *http.Client, n *node, r request) answer {
	id := newID()
	req, err := http.NewRequest(r.method, "http://"+n.callers()+r.uri, bytes.NewReader(r.body))
	if err != nil {
		return answer{id: id, err: err}
	}
	if r.pace > 0 {
		req.Body = &pacedBody{data: r.body, pace: r.pace, began: time.Now()}
	}
	if r.opaque {
		req.URL.Opaque = r.uri
	}
	req.Host = callerHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Authorization", "Token "+r.key)
	}
	headerBytes := 0
	for name, value := range r.header {
		req.Header.Set(name, value)
		headerBytes += len(name) + len(value) + 4
	}
	s.record("sends", "request", id, "node", n.name, "method", r.method, "uri", r.uri, "key", r.key != "", "body", len(r.body), "header", headerBytes)
	began := time.Now()
	a := answer{id: id}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.GetBody = nil // keeps net/http from sending the request a second time
	resp, err := client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.size, a.seal = len(data), resp.Header.Get("X-Replica-Seal")
		if err == nil {
			a.status = resp.StatusCode
		}
	}
	a.err, a.took = err, time.Since(began)
	s.record("gets", "request", id, "status", a.status, "kept", a.kept, "seal", a.seal, "bytes", a.size, "took", a.took, "err", a.err)
	return a
}

// pacedBody is a body that is sent at a steady pace.
type pacedBody struct {
	data  []byte
	sent  int
	pace  int
	began time.Time
}

// pacedChunk is the most that is sent at once.
const pacedChunk = 64 << 10

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.sent == len(b.data) {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), pacedChunk)], b.data[b.sent:])
	b.sent += n
	time.Sleep(time.Until(b.began.Add(time.Duration(b.sent) * time.Second / time.Duration(b.pace))))
	return n, nil
}

// Close implements io.Closer.
func (b *pacedBody) Close() error { return nil }

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// desk is a server of a plain service: a sound one that reads each request whole, works for a
// moment and answers with its signature.
type desk struct {
	s           *stage
	id, service string
	work        time.Duration
	// answerBytes is the size of an answer.
	answerBytes int
	listener    net.Listener
	http        *http.Server
	stop        context.CancelFunc
	born        int64

	// losesAnswers is set on a server some of whose answers are lost, and spoilsAnswers on one that
	// sends bytes that are not a response in place of some.
	losesAnswers, spoilsAnswers atomic.Bool
	// switchesProtocols is set on a server that answers some requests by switching to another protocol,
	// which nobody has asked for, and then says nothing.
	switchesProtocols atomic.Bool
	// restTime is for how long the server asks nodes for rest; it then runs nothing. 0 for a server that
	// does not.
	restTime time.Duration

	mu   sync.Mutex
	runs []string
	// targets holds the path and query of each request that ran, by its id.
	targets map[string]string
	// restAskedAt is when the server first asked for rest, and late counts the requests that reached it
	// restReaction and more after that, and before its end.
	restAskedAt time.Time
	late        int
}

func (s *stage) addDesk(id, service, zone string, work time.Duration, answerBytes int) (*desk, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &desk{id: id, service: service, work: work, answerBytes: answerBytes, listener: listener, targets: make(map[string]string)}
	s.startDesk(d, zone)
	return d, nil
}

// startDesk starts the server on its listener.
func (s *stage) startDesk(d *desk, zone string) {
	ctx, stop := context.WithCancel(context.Background())
	d.s, d.stop, d.born = s, stop, time.Now().UnixMilli()
	d.http = &http.Server{Handler: d}
	go func() { _ = d.http.Serve(d.listener) }() // ends with close
	s.desks = append(s.desks, d)
	go d.register(ctx, zone)
}

// askForRest turns a request away and asks for rest.
func (d *desk) askForRest(w http.ResponseWriter, id string) {
	d.mu.Lock()
	now := time.Now()
	if d.restAskedAt.IsZero() {
		d.restAskedAt = now
	}
	since := now.Sub(d.restAskedAt)
	if since >= restReaction && since < d.restTime {
		d.late++
	}
	d.mu.Unlock()
	d.s.record("asks for rest", "server", d.id, "request", id, "since", since)
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.Itoa(int(d.restTime.Seconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (d *desk) arrivalsInRest() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.late
}

func (d *desk) close() {
	d.stop()
	_ = d.http.Close()
}

// register writes the server's entry with each heartbeat.
func (d *desk) register(ctx context.Context, zone string) {
	lease, err := d.s.mem.Grant(ctx, serverLease)
	for seq := 1; ctx.Err() == nil && err == nil; seq++ {
		doc, _ := json.Marshal(map[string]any{ // can't fail: strings and numbers only
			"service": d.service, "address": d.listener.Addr().String(), "zone": zone, "version": "v1", "slots": 6, "state": "ready",
			"seq": seq, "cold_left_ms": 0, "born": d.born,
		})
		_, err = d.s.mem.Txn(ctx, store.Txn{Then: []store.Op{store.Put("servers/"+d.id, doc, lease)}})
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
			_, err = d.s.mem.KeepAlive(ctx, lease)
		}
	}
}

// ServeHTTP implements http.Handler.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Replica"); expected != "" && expected != d.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if d.restTime > 0 {
		d.askForRest(w, id)
		return
	}
	d.mu.Lock()
	d.runs = append(d.runs, id)
	d.targets[id] = r.RequestURI
	d.mu.Unlock()
	d.s.record("runs", "server", d.id, "service", d.service, "request", id, "uri", r.RequestURI, "tenant", r.Header.Get("X-Tenant"))
	time.Sleep(d.work)
	switch draw := rand.Float64(); {
	case d.losesAnswers.Load() && draw < lostShare:
		d.s.record("answer lost", "server", d.id, "request", id)
		<-r.Context().Done()
		return
	case d.spoilsAnswers.Load() && draw < spoiledShare:
		d.s.record("bytes that are not a response", "server", d.id, "request", id)
		d.sendNoResponse(w, id)
		return
	case d.switchesProtocols.Load() && draw < spoiledShare:
		d.s.record("switches protocols", "server", d.id, "request", id)
		d.sendSwitch(w, id)
		return
	}
	w.Header().Set("X-Replica-Seal", "seal-"+d.id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(d.answerBytes))
	_, _ = w.Write(make([]byte, d.answerBytes)) // the node may have left
}

// ran returns the ids of the requests that the server ran.
func (d *desk) ran() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.runs)
}

// target returns the path and query with which a request ran, or "" if it has not.
func (d *desk) target(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.targets[id]
}

// silentTime is how long a server leaves a connection open on which it says nothing.
const silentTime = 7 * time.Second

// sendSwitch sends the head of a response that switches protocols, and nothing after it.
func (d *desk) sendSwitch(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\n\r\n", id, d.id)
	time.AfterFunc(silentTime, func() { _ = conn.Close() })
}

// sendNoResponse sends what looks like a response and has no valid status.
func (d *desk) sendNoResponse(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 000 \r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\nContent-Length: 0\r\n\r\n", id, d.id)
	_ = conn.Close()
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Times of a replica. Heartbeat and expiry follow the pages: an entry is removed after three heartbeat
// intervals of silence.
const (
	heartbeat   = 1200 * time.Millisecond
	entryTTL    = 3 * heartbeat
	joinTime    = 200 * time.Millisecond
	loadTime    = 500 * time.Millisecond
	openTime    = 300 * time.Millisecond
	drainTime   = 2 * time.Second
	afterDrain  = 3 * time.Second
	storeExpiry = 2 * time.Second
)

// replica is a stand-in of one replica of the users' platform, in a process of its own.
type replica struct {
	id, service, addr, zone, domain, store string
	events                                 int
	interval                               time.Duration
	unframed                               bool
	born                                   int64
	out                                    *json.Encoder

	mu      sync.Mutex
	group   *group
	staged  []string
	epoch   int64
	fence   int64
	seq     int64
	lease   int64
	left    bool
	running int
	changed chan struct{}
}

// group is a replica's membership as its entry shows it.
type group struct {
	Name    string `json:"name"`
	Epoch   int64  `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"state"`
	model   string
	members []string
}

func replicaMain(args []string) error {
	fs := flag.NewFlagSet("replica", flag.ContinueOnError)
	r := &replica{born: time.Now().UnixMilli(), out: json.NewEncoder(os.Stdout), changed: make(chan struct{}, 1)}
	fs.StringVar(&r.id, "id", "", "id of the replica")
	fs.StringVar(&r.service, "service", "", "service")
	fs.StringVar(&r.addr, "addr", "", "ip:port to listen on")
	fs.StringVar(&r.zone, "zone", "", "zone")
	fs.StringVar(&r.domain, "domain", "", "domain; empty for a plain service")
	fs.StringVar(&r.store, "store", "", "ip:port of the store")
	fs.IntVar(&r.events, "events", 24, "events of a stream")
	fs.DurationVar(&r.interval, "interval", 100*time.Millisecond, "pause between two events, or the work of a plain request")
	fs.BoolVar(&r.unframed, "unframed", false, "answers have no length and end with their connection")
	if err := fs.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	go r.register()
	go r.leaveOnSignal()
	return http.Serve(listener, r)
}

// leaveOnSignal has the replica leave without reporting that it drains: its entry is removed, it goes on serving
// for the drain time and a little longer, and exits.
func (r *replica) leaveOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	<-signals
	r.mu.Lock()
	r.left = true
	r.mu.Unlock()
	for r.call(http.MethodPost, "/-/kv-txn", map[string]any{"expected": []any{}, "puts": []any{}, "delete": []string{"servers/" + r.id}}, nil) != http.StatusOK {
		time.Sleep(20 * time.Millisecond)
	}
	r.log("entry-removed", "")
	time.Sleep(drainTime + afterDrain)
	r.log("exit", "")
	os.Exit(0)
}

func (r *replica) log(what, request string) {
	_ = r.out.Encode(map[string]any{"at_ms": time.Now().UnixMilli(), "replica": r.id, "born": r.born, "what": what, "request": request})
}

// call sends one call to the store and returns its status; 0 without an answer.
func (r *replica) call(method, path string, in, out any) int {
	doc, err := json.Marshal(in)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeExpiry)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.store+path, bytes.NewReader(doc))
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if out != nil && json.NewDecoder(resp.Body).Decode(out) != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// register keeps the replica's entry in the store, and writes it at each change and heartbeat.
func (r *replica) register() {
	ticker := time.NewTicker(heartbeat)
	for {
		r.mu.Lock()
		lease, left := r.lease, r.left
		r.mu.Unlock()
		if left {
			return
		}
		if lease != 0 && r.call(http.MethodPost, "/-/kv-keep/"+strconv.FormatInt(lease, 10), struct{}{}, nil) != http.StatusOK {
			lease = 0
		}
		if lease == 0 {
			var granted struct {
				Lease int64 `json:"lease"`
			}
			r.call(http.MethodPost, "/-/kv-lease", map[string]any{"ttl_ms": entryTTL.Milliseconds()}, &granted)
			lease = granted.Lease
		}
		r.mu.Lock()
		r.lease = lease
		r.seq++
		value := r.entry()
		left = r.left
		r.mu.Unlock()
		if left {
			return
		}
		r.call(http.MethodPost, "/-/kv-txn", map[string]any{"expected": []any{}, "delete": []string{},
			"puts": []any{map[string]any{"key": "servers/" + r.id, "value": value, "lease": lease}}}, nil)
		select {
		case <-ticker.C:
		case <-r.changed:
		}
	}
}

// entry returns the replica's entry; the caller holds r.mu.
func (r *replica) entry() []byte {
	models := []any{}
	if r.group != nil && r.group.State != "joining" {
		models = append(models, map[string]any{"name": r.group.model, "version": 1, "adapters": []any{}})
	}
	doc, err := json.Marshal(map[string]any{"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": 16, "state": "ready",
		"cold_left_ms": 0, "seq": r.seq, "born": r.born, "domain": r.domain, "staged": append([]string{}, r.staged...), "models": models, "group": r.group})
	if err != nil {
		panic(err) // strings and numbers only
	}
	return doc
}

func (r *replica) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	switch {
	case req.Header.Get("X-Expect-Replica") != "" && req.Header.Get("X-Expect-Replica") != r.id:
		r.reject(w, id, http.StatusMisdirectedRequest)
	case req.URL.Path == "/-/report":
		r.mu.Lock()
		doc := map[string]any{"born": r.born, "seq": r.seq, "group": r.group, "in_flight": r.running}
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(doc)
	case req.URL.Path == "/-/order":
		r.serveOrder(w, req)
	case r.domain == "":
		r.servePlain(w, req, id)
	default:
		r.serveStream(w, req, id)
	}
}

func (r *replica) reject(w http.ResponseWriter, id string, status int) {
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (r *replica) servePlain(w http.ResponseWriter, req *http.Request, id string) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.log("run", id)
	time.Sleep(r.interval)
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Replica-Seal", "seal."+r.id)
	_, _ = io.WriteString(w, "answer to "+id)
}

func (r *replica) serveStream(w http.ResponseWriter, req *http.Request, id string) {
	_, _ = io.Copy(io.Discard, req.Body)
	r.mu.Lock()
	g := r.group
	switch {
	case g == nil || g.Rank != 0 || g.model != req.Header.Get("X-Model"):
		r.mu.Unlock()
		r.reject(w, id, http.StatusMisdirectedRequest)
		return
	case g.State != "open" || r.running >= 16:
		r.mu.Unlock()
		r.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.log("run after "+strconv.Itoa(after), id)
	head := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Replica-Seal: seal.%s\r\nContent-Type: text/event-stream\r\n", id, r.id)
	if !r.unframed {
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Replica-Seal", "seal."+r.id)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := after + 1; n <= r.events; n++ {
			time.Sleep(r.interval)
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Connection: close\r\n\r\n"); err != nil {
		return
	}
	for n := after + 1; n <= r.events; n++ {
		time.Sleep(r.interval)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
	}
	r.log("finished", id)
}

type order struct {
	Op      string   `json:"op"`
	Fence   int64    `json:"fence"`
	Group   string   `json:"group"`
	Epoch   int64    `json:"epoch"`
	Model   string   `json:"model"`
	Members []string `json:"members"`
}

func (r *replica) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	status := r.apply(o)
	r.mu.Unlock()
	r.notify()
	w.WriteHeader(status)
}

// apply carries out an order; the caller holds r.mu.
func (r *replica) apply(o order) int {
	if o.Fence < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = o.Fence
	mine := r.group != nil && r.group.Name == o.Group && r.group.Epoch == o.Epoch
	switch {
	case o.Op == "stage":
		r.later(loadTime, func() { r.staged = []string{o.Model} })
		return http.StatusAccepted
	case o.Op == "join":
		return r.join(o, mine)
	case !mine:
		return http.StatusConflict
	case o.Op == "open":
		if r.group.Rank != 0 || r.group.State != "ready" && r.group.State != "open" {
			return http.StatusConflict
		}
		g := r.group
		r.later(openTime, func() { g.State = "open" })
		return http.StatusAccepted
	case o.Op == "close":
		if r.group.State == "open" {
			r.group.State = "ready"
		}
		return http.StatusOK
	case o.Op == "leave":
		r.group = nil
		return http.StatusOK
	}
	return http.StatusBadRequest
}

func (r *replica) join(o order, mine bool) int {
	rank := slices.Index(o.Members, r.id)
	switch {
	case o.Epoch < r.epoch, mine && !slices.Equal(o.Members, r.group.members):
		return http.StatusPreconditionFailed
	case mine:
		return http.StatusOK
	case rank < 0:
		return http.StatusConflict
	}
	r.epoch = o.Epoch
	g := &group{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining", model: o.Model, members: o.Members}
	r.group = g
	wait := joinTime
	if !slices.Contains(r.staged, o.Model) {
		wait += loadTime
	}
	r.later(wait, func() {
		if r.group == g {
			r.staged = []string{o.Model}
			g.State = "ready"
		}
	})
	return http.StatusAccepted
}

func (r *replica) later(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		r.mu.Lock()
		f()
		r.mu.Unlock()
		r.notify()
	})
}

// Package standinservice is a plain-service stand-in (deposits, bookings). It
// executes every call it is sent, counts the executions by idempotency key and
// body, and can be told to fail around them. It serves tests and the quick
// start only.
package standinservice

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// Paths by which tests steer and inspect a stand-in process.
const (
	FaultsPath = "/standin/faults"
	RunsPath   = "/standin/runs"
)

// HeaderIdempotencyKey names a call that may be sent again but must not run again.
const HeaderIdempotencyKey = "Idempotency-Key"

const maxBody = 1 << 20

// Faults are the ways in which the service misbehaves until they are set anew.
type Faults struct {
	// Calls limits the faults to that many calls; zero means all.
	Calls int `json:"calls,omitempty"`
	// SlowMs delays each execution, in milliseconds.
	SlowMs int `json:"slow_ms,omitempty"`
	// LoseAnswer executes the call and closes the connection without an answer.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// Refuse answers 503 with the proof that nothing was started.
	Refuse bool `json:"refuse,omitempty"`
	// SwapEcho echoes another request's id.
	SwapEcho bool `json:"swap_echo,omitempty"`
	// CrashBefore and CrashAfter end the service before or after the execution.
	CrashBefore bool `json:"crash_before,omitempty"`
	CrashAfter  bool `json:"crash_after,omitempty"`
}

// Runs counts executions, by idempotency key and by the hex SHA-256 of the body.
type Runs struct {
	ByKey  map[string]int `json:"by_key"`
	ByBody map[string]int `json:"by_body"`
	Total  int            `json:"total"`
}

// Receipt is the answer to an executed call.
type Receipt struct {
	Run    int    `json:"run"` // how many calls were executed before and with this one
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
}

// Server is one plain service.
type Server struct {
	onCrash func()

	mu      sync.Mutex
	crashed bool
	faults  Faults
	runs    Runs
}

// New returns a service. onCrash, which may be nil, is called when a fault
// crashes it; a process exits in it.
func New(onCrash func()) *Server {
	return &Server{onCrash: onCrash, runs: Runs{ByKey: map[string]int{}, ByBody: map[string]int{}}}
}

// Handler serves any path, and the two stand-in paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+RunsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("POST "+FaultsPath, s.serveFaults)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// SetFaults replaces the service's faults and brings a crashed service back.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.crashed = f, false
}

// Runs returns the executions since New.
func (s *Server) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Runs{ByKey: map[string]int{}, ByBody: map[string]int{}, Total: s.runs.Total}
	for k, v := range s.runs.ByKey {
		out.ByKey[k] = v
	}
	for k, v := range s.runs.ByBody {
		out.ByBody[k] = v
	}
	return out
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f, crashed := s.takeFaults()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	s.echo(w, r, f)
	if f.Refuse {
		w.Header().Set(engine.HeaderStarted, engine.StartedNo)
		http.Error(w, "refused before starting", http.StatusServiceUnavailable)
		return
	}
	if f.CrashBefore {
		s.crash()
	}
	// An execution goes on when its caller is gone, as a booking would.
	if f.SlowMs > 0 {
		delay(context.WithoutCancel(r.Context()), time.Duration(f.SlowMs)*time.Millisecond)
	}
	receipt := s.execute(r, body)
	if f.CrashAfter {
		s.crash()
	}
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.Method == http.MethodPost {
		status = http.StatusCreated
	}
	writeJSON(w, status, receipt)
}

func delay(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (s *Server) takeFaults() (f Faults, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f = s.faults
	if f.Calls > 0 {
		s.faults.Calls--
		if s.faults.Calls == 0 {
			s.faults = Faults{}
		}
	}
	return f, s.crashed
}

func (s *Server) echo(w http.ResponseWriter, r *http.Request, f Faults) {
	id := r.Header.Get(engine.HeaderRequestID)
	if id == "" {
		return
	}
	if f.SwapEcho {
		id = "swapped-" + id
	}
	w.Header().Set(engine.HeaderRequestID, id)
}

func (s *Server) execute(r *http.Request, body []byte) Receipt {
	sum := sha256.Sum256(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs.Total++
	s.runs.ByBody[hex.EncodeToString(sum[:])]++
	if key := r.Header.Get(HeaderIdempotencyKey); key != "" {
		s.runs.ByKey[key]++
	}
	return Receipt{Run: s.runs.Total, Method: r.Method, Path: r.URL.Path, Body: string(body)}
}

// crash breaks the connection and every later one.
func (s *Server) crash() {
	s.mu.Lock()
	s.crashed = true
	s.mu.Unlock()
	if s.onCrash != nil {
		s.onCrash()
	}
	panic(http.ErrAbortHandler)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the peer may be gone
}

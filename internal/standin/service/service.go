// Package standinservice simulates a plain service (deposits, bookings), as opposed
// to a model engine. It executes every call that it receives, counts the executions
// by idempotency key and by body, and injects faults before and after them. It is for
// tests and the quick start only.
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

// Paths for injecting faults and for reading the execution counts.
const (
	FaultsPath = "/standin/faults"
	RunsPath   = "/standin/runs"
)

// HeaderIdempotencyKey identifies a call that may be retried but must be executed
// only once.
const HeaderIdempotencyKey = "Idempotency-Key"

const maxBody = 1 << 20

// Faults selects the faults to inject; they stay active until the next SetFaults.
type Faults struct {
	// Calls is the number of calls that the faults apply to; zero means all.
	Calls int `json:"calls,omitempty"`
	// SlowMs delays each execution, in milliseconds.
	SlowMs int `json:"slow_ms,omitempty"`
	// LoseAnswer executes the call and aborts the connection without a response.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// Refuse answers 503 with the header that says that the call was not executed.
	Refuse bool `json:"refuse,omitempty"`
	// SwapEcho returns another request's ID.
	SwapEcho bool `json:"swap_echo,omitempty"`
	// CrashBefore and CrashAfter crash the service before or after the execution.
	CrashBefore bool `json:"crash_before,omitempty"`
	CrashAfter  bool `json:"crash_after,omitempty"`
}

// Runs counts executions by idempotency key, by the hex SHA-256 of the body, and in
// total.
type Runs struct {
	ByKey  map[string]int `json:"by_key"`
	ByBody map[string]int `json:"by_body"`
	Total  int            `json:"total"`
}

// Receipt is the response to an executed call.
type Receipt struct {
	Run    int    `json:"run"` // number of calls executed so far, including this one
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body,omitempty"`
}

// Server simulates one plain service.
type Server struct {
	onCrash func()

	mu      sync.Mutex
	crashed bool
	faults  Faults
	runs    Runs
}

// New returns a Server. onCrash, which may be nil, is called when a fault crashes
// the service; fennel-standin exits the process in it.
func New(onCrash func()) *Server {
	return &Server{onCrash: onCrash, runs: Runs{ByKey: map[string]int{}, ByBody: map[string]int{}}}
}

// Handler returns the HTTP interface: FaultsPath and RunsPath, and the service itself
// on all other paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+RunsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("POST "+FaultsPath, s.serveFaults)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

// SetFaults replaces the injected faults and restarts a crashed service.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.crashed = f, false
}

// Runs returns the execution counts since New.
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
	s.echoRequestID(w, r, f)
	if f.Refuse {
		w.Header().Set(engine.HeaderStarted, engine.StartedNo)
		http.Error(w, "refused before execution", http.StatusServiceUnavailable)
		return
	}
	if f.CrashBefore {
		s.crash()
	}
	// The execution continues after the client disconnects, as a real booking would.
	if f.SlowMs > 0 {
		sleep(context.WithoutCancel(r.Context()), time.Duration(f.SlowMs)*time.Millisecond)
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

func sleep(ctx context.Context, d time.Duration) {
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

func (s *Server) echoRequestID(w http.ResponseWriter, r *http.Request, f Faults) {
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

// crash aborts the connection, and all later ones until SetFaults.
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
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

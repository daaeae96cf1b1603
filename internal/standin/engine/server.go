package standinengine

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// Paths for injecting faults and for reading the execution counts.
const (
	FaultsPath = "/standin/faults"
	RunsPath   = "/standin/runs"
)

// Runs counts executions by request ID and by the hex SHA-256 of the body, and the
// crashes.
type Runs struct {
	ByRequest map[string]int `json:"by_request"`
	ByBody    map[string]int `json:"by_body"`
	Crashes   int            `json:"crashes"`
}

// Server is the engine of one VM. Create it with New and stop it with Close.
type Server struct {
	opts   Options
	cache  *prefixCache
	mux    *http.ServeMux
	peers  *http.Client
	tokens atomic.Int64
	done   chan struct{}
	wg     sync.WaitGroup

	mu              sync.Mutex
	boot            string
	crashed         bool
	crashSignal     chan struct{} // closed on a crash
	assignment      engine.Assignment
	fence           cluster.Fence
	loadedAt        time.Time // time at which loading completes
	memberReports   map[cluster.VMID]memberReport
	faults          Faults
	thaw            chan struct{} // closed unless frozen
	runs            map[string]*run
	waiting         []*run
	running         int
	arrivals        int64
	runsByID        map[string]int
	runsByBody      map[string]int
	crashes         int
	load            engine.Load
	loadTokensTotal int64
}

// New returns an idle engine and starts its background goroutines.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts: opts, cache: newPrefixCache(opts), mux: http.NewServeMux(),
		peers: &http.Client{Timeout: opts.MemberTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		done:  make(chan struct{}), boot: randomID(), crashSignal: make(chan struct{}),
		assignment: engine.Assignment{Role: engine.RoleIdle},
		thaw:       closedChan(), runs: map[string]*run{},
		runsByID: map[string]int{}, runsByBody: map[string]int{},
	}
	s.load = engine.Load{AsOf: time.Now(), MaxRunning: opts.MaxRunning}
	s.mux.HandleFunc("POST "+engine.ChatPath, s.serveCompletion)
	s.mux.HandleFunc("POST "+engine.CompletionsPath, s.serveCompletion)
	s.mux.HandleFunc("GET "+engine.StatePath, s.serveState)
	s.mux.HandleFunc("POST "+engine.OrdersPath, s.serveOrder)
	s.mux.HandleFunc("POST "+engine.CancelPath, s.serveCancel)
	s.mux.HandleFunc("GET "+engine.CacheEventsPath, s.serveCacheEvents)
	s.mux.HandleFunc("GET "+RunsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	s.mux.HandleFunc("POST "+FaultsPath, s.serveFaults)
	s.wg.Add(2)
	go s.watchMembers()
	go s.sampleLoad()
	return s
}

func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func closedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Handler returns the engine's HTTP interface.
func (s *Server) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isCrashed() {
			panic(http.ErrAbortHandler)
		}
		// Faults and execution counts stay accessible while the engine is frozen, so
		// that it can be unfrozen.
		if r.URL.Path != FaultsPath && r.URL.Path != RunsPath {
			select {
			case <-s.thawed():
			case <-r.Context().Done():
				return
			case <-s.done:
				panic(http.ErrAbortHandler)
			}
		}
		s.mux.ServeHTTP(w, r)
	})
}

// Close aborts all runs and waits for all goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closedLocked() {
		close(s.done)
	}
	s.abortAllLocked()
	s.mu.Unlock()
	s.wg.Wait()
	s.peers.CloseIdleConnections()
}

func (s *Server) closedLocked() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Crash simulates a crash: every connection is aborted and no request is answered
// until Restart.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.crashed {
		s.mu.Unlock()
		return
	}
	s.crashed = true
	s.crashes++
	close(s.crashSignal)
	s.abortAllLocked()
	s.mu.Unlock()
	if s.opts.OnCrash != nil {
		s.opts.OnCrash()
	}
}

// Restart restarts the engine with a new boot ID, idle and with nothing loaded.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortAllLocked()
	s.boot, s.crashed, s.crashSignal = randomID(), false, make(chan struct{})
	s.assignment, s.fence = engine.Assignment{Role: engine.RoleIdle}, 0
	s.loadedAt, s.memberReports = time.Time{}, nil
}

func (s *Server) isCrashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

func (s *Server) thawed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.thaw
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Freeze && !s.faults.Freeze {
		s.thaw = make(chan struct{})
	}
	if !f.Freeze && s.faults.Freeze {
		close(s.thaw)
	}
	s.faults = f
}

// Runs returns the execution and crash counts since New.
func (s *Server) Runs() Runs {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Runs{ByRequest: map[string]int{}, ByBody: map[string]int{}, Crashes: s.crashes}
	for k, v := range s.runsByID {
		out.ByRequest[k] = v
	}
	for k, v := range s.runsByBody {
		out.ByBody[k] = v
	}
	return out
}

func bodyKey(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, false, err.Error())
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c engine.CancelRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, false, err.Error())
		return
	}
	s.mu.Lock()
	run := s.runs[c.RequestID]
	s.mu.Unlock()
	if run != nil {
		run.stopIdleTimer()
		s.discard(run)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	events, next := s.cache.eventsAfter(after, time.Now())
	s.mu.Lock()
	boot := s.boot
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, engine.CacheEvents{Boot: boot, Next: next, Events: events})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

type errorBody struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

// writeError writes an error response. With notStarted the response carries the
// header by which the caller knows that the request was not executed.
func writeError(w http.ResponseWriter, status int, notStarted bool, message string) {
	if notStarted {
		w.Header().Set(engine.HeaderStarted, engine.StartedNo)
	}
	var body errorBody
	body.Error.Type, body.Error.Message = "engine_refused", message
	writeJSON(w, status, body)
}

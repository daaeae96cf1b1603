// Package platform simulates the services that the platform provides: the key-value
// service, with the interface of the published etcd v3 JSON gateway, and the VM list.
// It keeps all data in memory and is for tests and the quick start only.
//
// Faults are injected by calling SetFaults, or over HTTP when the simulation runs as
// a separate process:
//
//	GET  /vms                 returns the VM list
//	PUT  /vms                 replaces the VMs with a JSON array
//	POST /standin/faults      replaces the injected faults (Faults as JSON)
//	GET  /standin/calls       returns the number of calls by kind since the start
package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdjson"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// Paths served in addition to those of the etcd gateway.
const (
	PathVMs    = "/vms"
	PathFaults = "/standin/faults"
	PathCalls  = "/standin/calls"
)

// KindVMs is the kind under which Calls counts reads of the VM list. Store calls are
// counted under the kinds of memstore.
const KindVMs = "vms"

// Options configures a Server. The zero value is ready for use.
type Options struct {
	Store memstore.Options
	VMs   []cluster.VM
	// Now returns the timestamp of the VM list; nil means time.Now.
	Now func() time.Time
}

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	Store memstore.Faults `json:"store"`
	// Silent accepts requests to the store and the VM list but never answers them.
	Silent bool `json:"silent,omitempty"`
	// VMsDown fails reads of the VM list.
	VMsDown bool `json:"vms_down,omitempty"`
	// FreezeVMs answers with the VM list as it was when the fault was set.
	FreezeVMs bool `json:"freeze_vms,omitempty"`
}

// Server simulates the key-value service and the VM list.
type Server struct {
	store *memstore.Store
	now   func() time.Time

	mu         sync.Mutex
	faults     Faults
	vms        []cluster.VM
	frozenList *cluster.VMList

	vmReads atomic.Int64
}

// New returns a Server with an empty store.
func New(opts Options) *Server {
	s := &Server{store: memstore.New(opts.Store), now: opts.Now, vms: slices.Clone(opts.VMs)}
	if s.now == nil {
		s.now = time.Now
	}
	return s
}

// Store returns the store behind the gateway.
func (s *Server) Store() *memstore.Store { return s.store }

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []cluster.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.Clone(vms)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	if !f.FreezeVMs {
		s.frozenList = nil
	} else if s.frozenList == nil {
		list := s.vmListLocked()
		s.frozenList = &list
	}
	s.faults = f
	s.mu.Unlock()
	s.store.SetFaults(f.Store)
}

// Calls returns the number of calls by kind since New.
func (s *Server) Calls() map[string]int64 {
	out := make(map[string]int64)
	for kind, n := range s.store.Calls() {
		out[string(kind)] = n
	}
	out[KindVMs] = s.vmReads.Load()
	return out
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for path, handle := range map[string]http.HandlerFunc{
		etcdjson.PathRange:     s.handleRange,
		etcdjson.PathPut:       s.handlePut,
		etcdjson.PathTxn:       s.handleTxn,
		etcdjson.PathGrant:     s.handleGrant,
		etcdjson.PathKeepAlive: s.handleKeepAlive,
		etcdjson.PathRevoke:    s.handleRevoke,
		etcdjson.PathRevokeKV:  s.handleRevoke,
		etcdjson.PathWatch:     s.handleWatch,
	} {
		mux.Handle("POST "+path, s.holdIfSilent(handle))
	}
	mux.Handle("GET "+PathVMs, s.holdIfSilent(s.handleVMs))
	mux.HandleFunc("PUT "+PathVMs, s.handleSetVMs)
	mux.HandleFunc("POST "+PathFaults, s.handleFaults)
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	return mux
}

// holdIfSilent leaves requests that arrive while the Silent fault is set unanswered
// until the client disconnects.
func (s *Server) holdIfSilent(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent := s.faults.Silent
		s.mu.Unlock()
		if silent {
			discardBody(r)
			<-r.Context().Done()
			return
		}
		next(w, r)
	})
}

func (s *Server) vmListLocked() cluster.VMList {
	return cluster.VMList{AsOf: s.now(), VMs: slices.Clone(s.vms)}
}

func (s *Server) handleVMs(w http.ResponseWriter, _ *http.Request) {
	s.vmReads.Add(1)
	s.mu.Lock()
	list := s.vmListLocked()
	if s.frozenList != nil {
		list = *s.frozenList
	}
	down := s.faults.VMsDown
	s.mu.Unlock()
	if down {
		http.Error(w, "the VM list is unavailable", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, list)
}

func (s *Server) handleSetVMs(w http.ResponseWriter, r *http.Request) {
	var vms []cluster.VM
	if !readJSON(w, r, &vms) {
		return
	}
	s.SetVMs(vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", etcdjson.ContentType)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

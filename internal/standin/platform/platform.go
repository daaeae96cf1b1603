// Package platform is a small stand-in for what the platform gives: the
// key-value service behind the published etcd v3 JSON gateway, and the VM list.
// It keeps everything in memory and is for tests and the quick start only.
//
// Its faults are switched in process by methods, or over HTTP when it runs as a
// process of its own:
//
//	GET  /vms                 the VM list
//	PUT  /vms                 replaces the VMs with a JSON array
//	POST /standin/faults      replaces the switches (Faults as JSON)
//	GET  /standin/calls       calls by kind since the start
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

// Paths beside the gateway's.
const (
	PathVMs    = "/vms"
	PathFaults = "/standin/faults"
	PathCalls  = "/standin/calls"
)

// KindVMs is the kind under which reads of the VM list are counted; the store's
// kinds are memstore's.
const KindVMs = "vms"

// Options configures a Server. The zero value is ready for use.
type Options struct {
	Store memstore.Options
	VMs   []cluster.VM
	// Now stamps the VM list; nil is time.Now.
	Now func() time.Time
}

// Faults are all switches of the stand-in.
type Faults struct {
	Store memstore.Faults `json:"store"`
	// Silent accepts requests to the store and the VM list and never answers them.
	Silent bool `json:"silent,omitempty"`
	// VMsDown fails reads of the VM list.
	VMsDown bool `json:"vms_down,omitempty"`
	// FreezeVMs keeps answering with the list as it was when the switch was set.
	FreezeVMs bool `json:"freeze_vms,omitempty"`
}

// Server is the stand-in.
type Server struct {
	store *memstore.Store
	now   func() time.Time

	mu     sync.Mutex
	faults Faults
	vms    []cluster.VM
	frozen *cluster.VMList

	vmReads atomic.Int64
}

// New returns a stand-in with an empty store.
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

// SetFaults replaces all switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	if !f.FreezeVMs {
		s.frozen = nil
	} else if s.frozen == nil {
		list := s.listLocked()
		s.frozen = &list
	}
	s.faults = f
	s.mu.Unlock()
	s.store.SetFaults(f.Store)
}

// Calls returns how many calls of each kind were made.
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
		mux.Handle("POST "+path, s.unlessSilent(handle))
	}
	mux.Handle("GET "+PathVMs, s.unlessSilent(s.handleVMs))
	mux.HandleFunc("PUT "+PathVMs, s.handleSetVMs)
	mux.HandleFunc("POST "+PathFaults, s.handleFaults)
	mux.HandleFunc("GET "+PathCalls, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	return mux
}

// unlessSilent holds requests back for as long as the Silent switch was set when
// they came in; the caller has to give up by itself.
func (s *Server) unlessSilent(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		silent := s.faults.Silent
		s.mu.Unlock()
		if silent {
			drain(r)
			<-r.Context().Done()
			return
		}
		next(w, r)
	})
}

func (s *Server) listLocked() cluster.VMList {
	return cluster.VMList{AsOf: s.now(), VMs: slices.Clone(s.vms)}
}

func (s *Server) handleVMs(w http.ResponseWriter, _ *http.Request) {
	s.vmReads.Add(1)
	s.mu.Lock()
	list := s.listLocked()
	if s.frozen != nil {
		list = *s.frozen
	}
	down := s.faults.VMsDown
	s.mu.Unlock()
	if down {
		http.Error(w, "the VM list is down", http.StatusServiceUnavailable)
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
	_ = json.NewEncoder(w).Encode(v) // the caller is gone if this fails
}

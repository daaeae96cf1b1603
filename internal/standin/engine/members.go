package standinengine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// memberReport is the last state that the serving VM received from a member.
type memberReport struct {
	receivedAt time.Time
	replica    cluster.ReplicaID
	generation int64
}

func (s *Server) serveState(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	st := s.stateLocked(time.Now())
	s.mu.Unlock()
	if r.URL.RawQuery == engine.BriefQuery {
		st = st.Brief()
	}
	writeJSON(w, http.StatusOK, st)
}

func (s *Server) stateLocked(now time.Time) engine.State {
	st := engine.State{
		VM: s.opts.VM, Boot: s.boot, Assignment: s.assignment, Loaded: s.loadedLocked(now),
		Fence: s.fence, ChecksFence: s.opts.ChecksFence, Load: s.load,
		MaxGapMs: s.opts.MaxGap.Milliseconds(),
	}
	if s.assignment.Role != engine.RoleServing {
		return st
	}
	for _, vm := range s.assignment.Members {
		if vm == s.opts.VM {
			st.Members = append(st.Members, engine.MemberDigest{VM: vm, Replica: s.assignment.Replica, Generation: s.assignment.Generation})
			continue
		}
		if seen, ok := s.memberReports[vm]; ok {
			st.Members = append(st.Members, engine.MemberDigest{
				VM: vm, Replica: seen.replica, Generation: seen.generation,
				SeenAgoMs: now.Sub(seen.receivedAt).Milliseconds(),
			})
		}
	}
	return st
}

func (s *Server) loadedLocked(now time.Time) bool {
	return s.assignment.Model != "" && !now.Before(s.loadedAt)
}

// healthyLocked reports whether every other member answered within MemberTimeout
// with the same replica and generation.
func (s *Server) healthyLocked(now time.Time) bool {
	a := s.assignment
	for _, vm := range a.Members {
		if vm == s.opts.VM {
			continue
		}
		seen, ok := s.memberReports[vm]
		if !ok || now.Sub(seen.receivedAt) > s.opts.MemberTimeout {
			return false
		}
		if seen.replica != a.Replica || seen.generation != a.Generation {
			return false
		}
	}
	return true
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, false, err.Error())
		return
	}
	now := time.Now()
	s.mu.Lock()
	reason := s.applyLocked(o, now)
	st := s.stateLocked(now)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, engine.OrderResult{Accepted: reason == "", Reason: reason, State: st})
}

// applyLocked executes the order, or returns the reason for rejecting it.
func (s *Server) applyLocked(o engine.Order, now time.Time) (refused string) {
	if o.VM != s.opts.VM {
		return "order is addressed to another VM"
	}
	if s.opts.ChecksFence && o.Fence < s.fence {
		return "stale fencing token"
	}
	if o.Kind == engine.OrderLoad && s.assignment.Replica != o.Assignment.Replica {
		return "VM is not assigned to that replica"
	}
	next := s.assignment
	switch o.Kind {
	case engine.OrderAssign:
		next = o.Assignment
	case engine.OrderRelease:
		next = engine.Assignment{Role: engine.RoleIdle}
	case engine.OrderLoad:
		next.Version, next.Adapters = o.Assignment.Version, o.Assignment.Adapters
	default:
		return "unknown order kind"
	}
	s.fence = max(s.fence, o.Fence)
	s.setAssignmentLocked(next, now)
	return ""
}

func (s *Server) setAssignmentLocked(next engine.Assignment, now time.Time) {
	prev := s.assignment
	sameWeights := prev.Model != "" && prev.Model == next.Model &&
		prev.Version == next.Version && slices.Equal(prev.Adapters, next.Adapters)
	sameMembers := prev.Replica == next.Replica && prev.Serving == next.Serving &&
		slices.Equal(prev.Members, next.Members)
	if !sameWeights {
		s.loadedAt = now.Add(s.opts.LoadTime)
	}
	if !sameMembers {
		s.abortAllLocked()
		s.memberReports = nil
	}
	s.assignment = next
}

// watchMembers polls the members of the replica that this VM serves. It aborts all
// streams when one is missing, because no token can be generated without that
// member's share of the weights.
func (s *Server) watchMembers() {
	defer s.wg.Done()
	tick := time.NewTicker(s.opts.MemberPoll)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-tick.C:
		}
		select {
		case <-s.thawed():
		case <-s.done:
			return
		}
		s.pollMembers()
		now := time.Now()
		s.mu.Lock()
		if s.assignment.Role == engine.RoleServing && !s.healthyLocked(now) {
			s.abortAllLocked()
		}
		s.mu.Unlock()
	}
}

func (s *Server) pollMembers() {
	s.mu.Lock()
	a, crashed := s.assignment, s.crashed
	s.mu.Unlock()
	if a.Role != engine.RoleServing || crashed {
		return
	}
	var wg sync.WaitGroup
	for _, vm := range a.Members {
		addr := s.memberAddr(a, vm)
		if vm == s.opts.VM || addr == "" {
			continue
		}
		wg.Go(func() { s.pollMember(vm, addr) })
	}
	wg.Wait()
}

func (s *Server) memberAddr(a engine.Assignment, vm cluster.VMID) string {
	if addr := a.Addrs[vm]; addr != "" {
		return addr
	}
	if s.opts.PeerAddr != nil {
		return s.opts.PeerAddr(vm)
	}
	return ""
}

func (s *Server) pollMember(vm cluster.VMID, addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.opts.MemberTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+engine.StatePath, nil)
	if err != nil {
		return
	}
	resp, err := s.peers.Do(req)
	if err != nil {
		return // the previous report expires after MemberTimeout
	}
	defer resp.Body.Close()
	var st engine.State
	if json.NewDecoder(resp.Body).Decode(&st) != nil || st.VM != vm {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.memberReports == nil {
		s.memberReports = map[cluster.VMID]memberReport{}
	}
	s.memberReports[vm] = memberReport{receivedAt: time.Now(), replica: st.Assignment.Replica, generation: st.Assignment.Generation}
}

// sampleLoad updates the load report every LoadLag, so that a report is up to
// LoadLag old.
func (s *Server) sampleLoad() {
	defer s.wg.Done()
	tick := time.NewTicker(s.opts.LoadLag)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-tick.C:
			s.updateLoad(now)
		}
	}
}

func (s *Server) updateLoad(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FreezeLoadReport {
		return
	}
	total := s.tokens.Load()
	elapsed := now.Sub(s.load.AsOf).Seconds()
	next := engine.Load{AsOf: now, Running: s.running, Waiting: len(s.waiting), MaxRunning: s.opts.MaxRunning}
	next.KVUsed = float64(s.running) / float64(s.opts.MaxRunning)
	if elapsed > 0 {
		next.TokensPerSecond = float64(total-s.loadTokensTotal) / elapsed
	}
	if s.faults.ReportIdle {
		next.Running, next.Waiting, next.KVUsed = 0, 0, 0
	}
	s.load, s.loadTokensTotal = next, total
}

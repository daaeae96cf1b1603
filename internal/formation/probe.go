package formation

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
)

var probesTotal = metrics.NewCounter("fennel_formation_probes_total")

// suspects are replicas that stand still as callers' requests show.
type suspects struct {
	mu  sync.Mutex
	ids map[cluster.ReplicaID]bool
}

// ReportStalled says that a replica stands still. The holder then asks its members which
// of them is lost: the list shows it only after some heartbeats.
func (c *Controller) ReportStalled(id cluster.ReplicaID) {
	c.suspects.mu.Lock()
	defer c.suspects.mu.Unlock()
	if c.suspects.ids == nil {
		c.suspects.ids = make(map[cluster.ReplicaID]bool)
	}
	c.suspects.ids[id] = true
}

func (s *suspects) take() map[cluster.ReplicaID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.ids
	s.ids = nil
	return ids
}

// probeMembers asks the members of a replica that stands still; those without an
// answer are asked twice.
func (t *term) probeMembers(ctx context.Context, p lifecycle.ReplicaProbe) {
	silent := t.silentOf(ctx, p.Members)
	if len(silent) == 0 {
		t.opts.Log.Info("probe", "replica", p.Replica, "outcome", "every member answers")
		if t.opts.OnMembersResponsive != nil {
			t.opts.OnMembersResponsive(p.Replica)
		}
		return
	}
	if len(silent) == len(p.Members) {
		// All of them: it is more likely this node that is cut off.
		t.opts.Log.Info("probe", "replica", p.Replica, "outcome", "no member answers")
		return
	}
	silent = t.silentOf(ctx, serversOf(silent))
	for _, s := range silent {
		t.opts.Log.Info("probe", "replica", p.Replica, "vm", s.vm.ID, "born", s.vm.Born, "outcome", "down", "err", s.err.Error())
	}
	t.report(func(in *lifecycle.Input) { in.Unresponsive = append(in.Unresponsive, serversOf(silent)...) })
}

// probeMissing asks a VM that the list lacks.
func (t *term) probeMissing(ctx context.Context, vm fleet.Server) {
	if silent := t.silentOf(ctx, []fleet.Server{vm}); len(silent) > 0 {
		t.opts.Log.Info("probe", "vm", vm.ID, "born", vm.Born, "outcome", "unlisted VM does not answer", "err", silent[0].err.Error())
		return
	}
	t.report(func(in *lifecycle.Input) { in.RespondingUnlisted = append(in.RespondingUnlisted, vm.ID) })
}

// unanswered is a probe without an answer.
type unanswered struct {
	vm  fleet.Server
	err error
}

func serversOf(probes []unanswered) (vms []fleet.Server) {
	for _, p := range probes {
		vms = append(vms, p.vm)
	}
	return vms
}

// silentOf probes VMs at the same time and returns those that did not answer.
func (t *term) silentOf(ctx context.Context, vms []fleet.Server) (silent []unanswered) {
	ctx, cancel := context.WithTimeout(ctx, lifecycle.ProbeTimeout)
	defer cancel()
	errs := make([]error, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		probesTotal.Inc()
		wg.Go(func() { errs[i] = t.opts.Client.Probe(ctx, vm) })
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			silent = append(silent, unanswered{vms[i], err})
		}
	}
	return silent
}

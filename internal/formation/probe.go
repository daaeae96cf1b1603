package formation

import (
	"context"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
)

var probesTotal = metrics.NewCounter("fennel_formation_probes_total")

// stallReports collects the replicas reported as stalled because requests on them make no
// progress.
type stallReports struct {
	mu  sync.Mutex
	ids map[cluster.ReplicaID]bool
}

// ReportStalled reports that a replica is stalled. The holder then probes its members to find
// the lost one, which disappears from the list only after several missed heartbeats.
func (c *Controller) ReportStalled(id cluster.ReplicaID) {
	c.stalled.mu.Lock()
	defer c.stalled.mu.Unlock()
	if c.stalled.ids == nil {
		c.stalled.ids = make(map[cluster.ReplicaID]bool)
	}
	c.stalled.ids[id] = true
}

func (s *stallReports) take() map[cluster.ReplicaID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.ids
	s.ids = nil
	return ids
}

// probeMembers probes the members of a stalled replica. Members that do not respond are probed
// a second time before they are reported.
func (t *term) probeMembers(ctx context.Context, p lifecycle.ReplicaProbe) {
	failed := t.findUnresponsive(ctx, p.Members)
	if len(failed) == 0 {
		t.opts.Log.Info("probe", "replica", p.Replica, "outcome", "all members responded")
		if t.opts.OnMembersResponsive != nil {
			t.opts.OnMembersResponsive(p.Replica)
		}
		return
	}
	if len(failed) == len(p.Members) {
		// More likely this node is partitioned than every member down.
		t.opts.Log.Info("probe", "replica", p.Replica, "outcome", "no member responded")
		return
	}
	failed = t.findUnresponsive(ctx, serversOf(failed))
	for _, s := range failed {
		t.opts.Log.Info("probe", "replica", p.Replica, "vm", s.vm.ID, "born", s.vm.StartedAt, "outcome", "down", "err", s.err.Error())
	}
	t.addReport(func(in *lifecycle.Input) { in.Unresponsive = append(in.Unresponsive, serversOf(failed)...) })
}

// probeUnlisted probes a VM that is missing from the list.
func (t *term) probeUnlisted(ctx context.Context, vm fleet.Server) {
	if failed := t.findUnresponsive(ctx, []fleet.Server{vm}); len(failed) > 0 {
		t.opts.Log.Info("probe", "vm", vm.ID, "born", vm.StartedAt, "outcome", "unlisted VM did not respond", "err", failed[0].err.Error())
		return
	}
	t.addReport(func(in *lifecycle.Input) { in.RespondingUnlisted = append(in.RespondingUnlisted, vm.ID) })
}

// failedProbe is a probe that got no response.
type failedProbe struct {
	vm  fleet.Server
	err error
}

func serversOf(probes []failedProbe) (vms []fleet.Server) {
	for _, p := range probes {
		vms = append(vms, p.vm)
	}
	return vms
}

// findUnresponsive probes VMs concurrently and returns those that did not respond.
func (t *term) findUnresponsive(ctx context.Context, vms []fleet.Server) (failed []failedProbe) {
	ctx, cancel := clock.WithRunningTimeout(ctx, lifecycle.ProbeTimeout)
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
			failed = append(failed, failedProbe{vms[i], err})
		}
	}
	return failed
}

package formation

import (
	"context"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
)

// term is one time of holding the lease: it carries out what the machine decides and
// brings it what came of it.
type term struct {
	opts    Options
	machine *lifecycle.Machine
	sending sync.WaitGroup
	woken   chan struct{}

	mu sync.Mutex
	// next has what the machine is told at its next step.
	next lifecycle.Input
}

func newTerm(opts Options, fence cluster.Fence, seen map[cluster.VMID]fleet.Server) *term {
	machine := lifecycle.NewMachine(lifecycle.Options{Scope: opts.Scope, Fence: fence, Policy: opts.Policy, Log: opts.Log, Seen: seen})
	return &term{opts: opts, machine: machine, woken: make(chan struct{}, 1)}
}

// step has the machine look at the list once and carries out what it decides.
func (t *term) step(ctx context.Context, list fleet.List, leaseLeft time.Duration, suspected map[cluster.ReplicaID]bool, now time.Time) {
	set := t.opts.Rules()
	if set == nil {
		return
	}
	in := t.takeReports()
	in.Now, in.List, in.Rules, in.FreeLoads = now, list, set, t.opts.FreeLoads()
	in.LeaseLeft, in.Suspected = leaseLeft, suspected
	out := t.machine.Step(in)
	for _, s := range out.Send {
		t.sending.Go(func() { t.send(ctx, s) })
	}
	for _, p := range out.Probe {
		t.sending.Go(func() { t.probeMembers(ctx, p) })
	}
	for _, vm := range out.ProbeMissing {
		t.sending.Go(func() { t.probeMissing(ctx, vm) })
	}
}

func (t *term) send(ctx context.Context, s lifecycle.Sending) {
	ctx, cancel := context.WithTimeout(ctx, lifecycle.OrderTimeout)
	defer cancel()
	ordersSent.Inc()
	answer, err := t.opts.Orders.Send(ctx, s.To, s.Order)
	if err != nil {
		ordersFailed.Inc()
	}
	outcome := lifecycle.Answered{To: s.To, Order: s.Order, Answer: answer, Err: err, At: time.Now()}
	t.report(func(in *lifecycle.Input) { in.Answered = append(in.Answered, outcome) })
}

// report notes something for the machine's next step, and has that come at once.
func (t *term) report(note func(*lifecycle.Input)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	note(&t.next)
	select {
	case t.woken <- struct{}{}:
	default:
	}
}

func (t *term) takeReports() lifecycle.Input {
	t.mu.Lock()
	defer t.mu.Unlock()
	in := t.next
	t.next = lifecycle.Input{}
	return in
}

// sleep waits for the next look, or for a report.
func (t *term) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.woken:
	}
}

// wait returns when no order or probe is under way.
func (t *term) wait() { t.sending.Wait() }

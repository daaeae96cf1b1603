package formation

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/grouping"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
)

// term is one time of holding the lease: it carries out what the machine decides and
// brings it what came of it.
type term struct {
	opts    Options
	lease   *grouping.Lease
	machine *lifecycle.Machine
	sending sync.WaitGroup
	// starting bounds the orders that are being begun.
	starting chan struct{}
	woken    chan struct{}

	mu sync.Mutex
	// next has what the machine is told at its next step.
	next lifecycle.Input
}

// Bounds on orders. Were hundreds begun together, a node with a part of a core would work
// on them alone for longer than an order may take, and extend its lease too late.
const (
	// ordersAtOnce is how many orders may be begun within startTime. One without an
	// answer by then doesn't hold up others any more.
	ordersAtOnce = 64
	startTime    = 100 * time.Millisecond
)

// Bounds on steps: each looks at all VMs, and answers come by the hundred.
const (
	// stepShare is the part of the holder's time that its steps may take.
	stepShare = 0.1
	// leastGap is the least time between two steps.
	leastGap = 10 * time.Millisecond
)

// errLeaseShort is why an order is not sent.
var errLeaseShort = errors.New("the lease may end before the order's answer")

func newTerm(opts Options, lease *grouping.Lease, seen map[cluster.VMID]fleet.Server) *term {
	machine := lifecycle.NewMachine(lifecycle.Options{Scope: opts.Scope, Fence: lease.Fence(), Policy: opts.Policy, Log: opts.Log, LastListed: seen})
	return &term{opts: opts, lease: lease, machine: machine, starting: make(chan struct{}, ordersAtOnce), woken: make(chan struct{}, 1)}
}

// step has the machine look at the list once and carries out what it decides.
func (t *term) step(ctx context.Context, list fleet.List, leaseLeft time.Duration, suspected map[cluster.ReplicaID]bool, now time.Time) {
	set := t.opts.Rules()
	if set == nil {
		return
	}
	in := t.takeReports()
	in.Now, in.List, in.Rules, in.UnmeteredLoads = now, list, set, t.opts.UnmeteredLoads()
	in.LeaseRemaining, in.Stalled = leaseLeft, suspected
	out := t.machine.Step(in)
	for _, s := range out.SendOrders {
		t.sending.Go(func() { t.send(ctx, s) })
	}
	for _, p := range out.ProbeReplicas {
		t.sending.Go(func() { t.probeMembers(ctx, p) })
	}
	for _, vm := range out.ProbeUnlisted {
		t.sending.Go(func() { t.probeMissing(ctx, vm) })
	}
}

func (t *term) send(ctx context.Context, s lifecycle.OutgoingOrder) {
	t.starting <- struct{}{}
	started := sync.OnceFunc(func() { <-t.starting })
	defer time.AfterFunc(startTime, started).Stop()
	answer, err := t.sendNow(ctx, s)
	started()
	outcome := lifecycle.OrderResult{To: s.To, Order: s.Order, Response: answer, Err: err, NotSent: errors.Is(err, errLeaseShort), At: time.Now()}
	t.report(func(in *lifecycle.Input) { in.OrderResults = append(in.OrderResults, outcome) })
}

// sendNow sends an order unless the lease may end before the answer: it may have waited
// for others.
func (t *term) sendNow(ctx context.Context, s lifecycle.OutgoingOrder) (lifecycle.Response, error) {
	if t.lease.Left(time.Now()) < lifecycle.OrderTimeout {
		return "", &SendError{VM: s.To.ID, NotSent: true, Err: errLeaseShort}
	}
	ctx, cancel := context.WithTimeout(ctx, lifecycle.OrderTimeout)
	defer cancel()
	ordersSent.Inc()
	answer, err := t.opts.Client.Send(ctx, s.To, s.Order)
	if err != nil {
		ordersFailed.Inc()
	}
	return answer, err
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

// stepGap is the least time between a step that took so long and the next one.
func stepGap(took, most time.Duration) time.Duration {
	return min(max(time.Duration(float64(took)*(1/stepShare-1)), leastGap), most)
}

// sleep waits for the next look after d, or for a report, but no less than gap.
func (t *term) sleep(ctx context.Context, d, gap time.Duration) {
	if !clock.Pause(ctx, gap) {
		return
	}
	timer := time.NewTimer(d - gap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.woken:
	}
}

// wait returns when no order or probe is under way.
func (t *term) wait() { t.sending.Wait() }

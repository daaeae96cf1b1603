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

// term is one period of holding the lease. It executes the machine's decisions and reports
// the results back to it.
type term struct {
	opts     Options
	lease    *grouping.Lease
	machine  *lifecycle.Machine
	inFlight sync.WaitGroup
	// startSlots limits the orders that are being started concurrently.
	startSlots chan struct{}
	// probeSlots limits the concurrent probes.
	probeSlots chan struct{}
	wake       chan struct{}

	mu sync.Mutex
	// pendingInput collects the results for the machine's next step.
	pendingInput lifecycle.Input
}

// Limits on concurrent orders. If hundreds were started together, a node with a fraction of a
// core would be busy with them for longer than OrderTimeout and extend its lease too late.
const (
	// maxStartingOrders is the number of orders that may be starting at once. An order without a
	// response after startWindow frees its slot, so that it does not delay others.
	maxStartingOrders = 64
	startWindow       = 100 * time.Millisecond
	// maxProbes is the number of concurrent probes. The members of all replicas may be probed at
	// once, and probes that wait for the processor would count as unanswered.
	maxProbes = 128
)

// Limits on the frequency of steps: each step examines all VMs, and responses arrive by the
// hundred.
const (
	// maxStepFraction is the fraction of the holder's time that steps may take.
	maxStepFraction = 0.1
	// minStepGap is the minimum time between two steps.
	minStepGap = 10 * time.Millisecond
)

// errLeaseExpiring is the reason why an order was not sent.
var errLeaseExpiring = errors.New("the lease may expire before the response to the order")

func newTerm(opts Options, lease *grouping.Lease, lastListed map[cluster.VMID]fleet.Server) *term {
	machine := lifecycle.NewMachine(lifecycle.Options{Scope: opts.Scope, Fence: lease.Fence(), Policy: opts.Policy, Log: opts.Log, LastListed: lastListed})
	return &term{opts: opts, lease: lease, machine: machine, startSlots: make(chan struct{}, maxStartingOrders),
		probeSlots: make(chan struct{}, maxProbes), wake: make(chan struct{}, 1)}
}

// step runs one step of the machine and starts the orders and probes that it requests.
func (t *term) step(ctx context.Context, list fleet.List, leaseRemaining time.Duration, stalled map[cluster.ReplicaID]bool, now time.Time) {
	set := t.opts.Rules()
	if set == nil {
		return
	}
	in := t.takeReports()
	in.Now, in.List, in.Rules, in.UnmeteredLoads = now, list, set, t.opts.UnmeteredLoads()
	in.LeaseRemaining, in.Stalled = leaseRemaining, stalled
	if t.opts.Work != nil {
		in.Work = t.opts.Work()
	}
	out := t.machine.Step(in)
	for _, s := range out.SendOrders {
		t.inFlight.Go(func() { t.send(ctx, s) })
	}
	for _, p := range out.ProbeReplicas {
		t.inFlight.Go(func() { t.probeMembers(ctx, p) })
	}
	for _, vm := range out.ProbeUnlisted {
		t.inFlight.Go(func() { t.probeUnlisted(ctx, vm) })
	}
}

func (t *term) send(ctx context.Context, s lifecycle.OutgoingOrder) {
	t.startSlots <- struct{}{}
	started := sync.OnceFunc(func() { <-t.startSlots })
	defer time.AfterFunc(startWindow, started).Stop()
	response, err := t.sendOrder(ctx, s)
	started()
	result := lifecycle.OrderResult{To: s.To, Order: s.Order, Response: response, Err: err, NotSent: errors.Is(err, errLeaseExpiring), At: time.Now()}
	t.addReport(func(in *lifecycle.Input) { in.OrderResults = append(in.OrderResults, result) })
}

// sendOrder sends an order unless the lease may expire before the response: the order may have
// waited for a slot.
func (t *term) sendOrder(ctx context.Context, s lifecycle.OutgoingOrder) (lifecycle.Response, error) {
	if t.lease.Remaining(time.Now()) < lifecycle.OrderTimeout {
		return "", &SendError{VM: s.To.ID, NotSent: true, Err: errLeaseExpiring}
	}
	ctx, cancel := context.WithTimeout(ctx, lifecycle.OrderTimeout)
	defer cancel()
	ordersSent.Inc()
	response, err := t.opts.Client.Send(ctx, s.To, s.Order)
	if err != nil {
		ordersFailed.Inc()
	}
	return response, err
}

// addReport adds a result to the machine's next input and wakes the step loop.
func (t *term) addReport(add func(*lifecycle.Input)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	add(&t.pendingInput)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *term) takeReports() lifecycle.Input {
	t.mu.Lock()
	defer t.mu.Unlock()
	in := t.pendingInput
	t.pendingInput = lifecycle.Input{}
	return in
}

// stepGap returns the minimum time between a step of the given duration and the next one, at
// most limit.
func stepGap(took, limit time.Duration) time.Duration {
	return min(max(time.Duration(float64(took)*(1/maxStepFraction-1)), minStepGap), limit)
}

// waitForNextStep waits until d has passed or a result is reported, but at least for gap.
func (t *term) waitForNextStep(ctx context.Context, d, gap time.Duration) {
	if !clock.Pause(ctx, gap) {
		return
	}
	timer := time.NewTimer(d - gap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.wake:
	}
}

// waitInFlight blocks until no order or probe is in progress.
func (t *term) waitInFlight() { t.inFlight.Wait() }

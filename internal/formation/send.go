package formation

import (
	"context"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

// answered is an order with what came of it.
type answered struct {
	vm cluster.VMID
	// born is the start of the process that the order was meant for, as listed.
	born   time.Time
	order  Order
	answer Answer
	err    error
	// at is when the answer came.
	at time.Time
}

func (t *tenure) busy(vm cluster.VMID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight[vm]
}

// send sends an order in the background; false when one to this VM is under way.
func (t *tenure) send(ctx context.Context, to fleet.Server, order Order) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[to.ID] {
		return false
	}
	t.inFlight[to.ID] = true
	t.sending.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		ordersSent.Inc()
		answer, err := t.opts.Orders.Send(ctx, to, order)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.inFlight, to.ID)
		t.answers = append(t.answers, answered{to.ID, to.Born, order, answer, err, time.Now()})
		select {
		case t.woken <- struct{}{}:
		default:
		}
	})
	return true
}

// takeAnswers acts on what came of orders.
func (t *tenure) takeAnswers(now time.Time) {
	t.mu.Lock()
	answers := t.answers
	t.answers = nil
	t.mu.Unlock()
	for _, a := range answers {
		t.take(a, now)
	}
}

func (t *tenure) take(a answered, now time.Time) {
	id := fleet.ReplicaID(a.order.Replica, a.order.Epoch)
	if a.err != nil {
		ordersFailed.Inc()
		t.opts.Log.Warn("order", "order", a.order.Kind, "vm", a.vm, "born", a.born, "replica", id, "outcome", "unknown", "err", a.err.Error())
		if e := t.ending[id]; e != nil && a.vm == e.head {
			e.headSilent = true
		}
		return
	}
	t.opts.Log.Info("order", "order", a.order.Kind, "vm", a.vm, "born", a.born, "replica", id, "outcome", a.answer)
	switch {
	case a.answer == Fenced:
		t.lost = true
	case a.order.Kind == Join && (a.answer == Begun || a.answer == Done):
		if f := t.formed[id]; f != nil {
			f.joined[a.vm] = true
		}
	case a.order.Kind == Leave && t.ending[id] != nil:
		t.takeLeave(id, t.ending[id], a, now)
	}
}

// fenced reports whether a VM has seen a later holder.
func (t *tenure) fenced() bool { return t.lost }

// sleep waits for the next look, or for the answer to an order.
func (t *tenure) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-t.woken:
	}
}

// wait returns when no order is under way.
func (t *tenure) wait() { t.sending.Wait() }

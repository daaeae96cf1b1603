package player

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// vm is one VM. All fields are guarded by world.mu.
type vm struct {
	w       *world
	entry   fleet.Server
	dead    bool
	slow    float64
	epoch   int64
	members []cluster.VMID
	// model is that of its replica; loaded is the one in its memory, which its entry
	// tells only while a replica holds it.
	model, loaded string
	// orderSeq counts the orders that began something, so that a later one replaces the
	// effect of an earlier one that is still under way.
	orderSeq int
	head     *head
	// doc is the newest entry, publishing is true while it is brought to the store.
	doc        []byte
	publishing bool
}

// head is the serving part of an open replica.
type head struct {
	replica enginemodel.Replica
	jobs    map[*enginemodel.Job]*answer
	// stalledSince is when a member was lost; zero while all are there.
	stalledSince time.Time
	running      bool
	failed       bool
}

// answer is one request on a replica, as its sender reads it.
type answer struct {
	pieces chan struct{}
	// failed is closed when the replica gives the request up.
	failed chan struct{}
}

// publish writes the VM's entry to the store; the caller holds world.mu.
func (v *vm) publish() {
	if v.dead {
		return
	}
	doc, err := json.Marshal(v.entry)
	if err != nil {
		panic(err) // strings, numbers and times only: cannot fail
	}
	v.doc = doc
	if !v.publishing {
		v.publishing = true
		go v.writeEntry()
	}
}

// publishRetryDelay is when a VM tries again that the store did not answer.
const publishRetryDelay = 300 * time.Millisecond

// writeEntry writes the newest entry until the store has it.
func (v *vm) writeEntry() {
	key := serversPrefix + string(v.entry.ID)
	for {
		v.w.mu.Lock()
		doc, dead := v.doc, v.dead
		v.w.mu.Unlock()
		if dead {
			doc = nil
		}
		if doc != nil {
			if _, err := v.w.store.Txn(context.Background(), store.Txn{Then: []store.Op{store.Put(key, doc, 0)}}); err != nil {
				time.Sleep(publishRetryDelay)
				continue
			}
		}
		v.w.mu.Lock()
		if doc == nil || bytes.Equal(doc, v.doc) {
			v.publishing = false
			v.w.mu.Unlock()
			return
		}
		v.w.mu.Unlock()
	}
}

// heartbeat has the entry written at least once a heartbeat, which also tells the nodes that
// the store answers.
func (v *vm) heartbeat(ctx context.Context) {
	clock.Every(ctx, v.w.scenario.Engine.Heartbeat, func(time.Time) {
		v.w.mu.Lock()
		defer v.w.mu.Unlock()
		v.publish()
	})
}

// execute does an order and returns its answer.
func (v *vm) execute(o lifecycle.Order) lifecycle.Response {
	w := v.w
	w.mu.Lock()
	defer w.mu.Unlock()
	switch o.Kind {
	case lifecycle.Stage:
		v.stage(o.Model)
	case lifecycle.Join:
		return v.join(o)
	case lifecycle.Open:
		return v.open(o)
	case lifecycle.Close:
		return v.close(o)
	case lifecycle.Leave:
		if m := v.entry.Membership; m != nil && m.Replica == o.Replica && m.Epoch == o.Epoch {
			v.leave()
		}
	}
	return lifecycle.Done
}

func (v *vm) stage(model string) {
	if slices.Contains(v.entry.Staged, model) {
		return
	}
	took := v.w.startLoad(model)
	v.after(took, func() {
		v.w.loading--
		v.entry.Staged = []string{model}
		v.publish()
	})
}

// after runs f later under the lock, unless the VM has died.
func (v *vm) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		v.w.mu.Lock()
		defer v.w.mu.Unlock()
		if !v.dead {
			f()
		}
	})
}

// rejoinTime is how long a VM takes to be ready for the model that it has loaded, and openTime
// how long a head takes to open.
const (
	rejoinTime = 200 * time.Millisecond
	openTime   = 300 * time.Millisecond
)

func (v *vm) join(o lifecycle.Order) lifecycle.Response {
	if o.Epoch < v.epoch {
		return lifecycle.Fenced
	}
	if o.Epoch == v.epoch {
		return lifecycle.Done
	}
	v.w.checkFree(v)
	v.leave()
	v.epoch, v.members, v.model = o.Epoch, o.Members, o.Model
	v.orderSeq++
	order := v.orderSeq
	rank := slices.Index(o.Members, v.entry.ID)
	v.entry.Membership = &fleet.Membership{Replica: o.Replica, Epoch: o.Epoch, Rank: rank, State: fleet.Joining}
	took, loads := rejoinTime, false
	switch {
	case v.loaded == o.Model:
	case slices.Contains(v.entry.Staged, o.Model):
		took = v.w.model(o.Model).WarmLoad
	default:
		took, loads = v.w.startLoad(o.Model), true
	}
	v.publish()
	v.after(took, func() {
		if loads {
			v.w.loading--
			v.entry.Staged = []string{o.Model}
		}
		if v.orderSeq == order {
			v.loaded, v.entry.Model = o.Model, o.Model
			v.entry.Membership.State = fleet.Ready
		}
		v.publish()
	})
	return lifecycle.Accepted
}

func (v *vm) open(o lifecycle.Order) lifecycle.Response {
	m := v.entry.Membership
	if m == nil || m.Epoch != o.Epoch || m.Rank != 0 || m.State != fleet.Ready {
		return lifecycle.Conflict
	}
	order := v.orderSeq
	v.after(openTime, func() {
		if v.orderSeq != order || v.entry.Membership == nil {
			return
		}
		v.w.checkComplete(v)
		v.setState(fleet.Open)
		v.head = &head{replica: enginemodel.Replica{Profile: v.w.scenario.figures(v.w.model(v.model))}, jobs: make(map[*enginemodel.Job]*answer)}
		v.publish()
	})
	return lifecycle.Accepted
}

func (v *vm) close(o lifecycle.Order) lifecycle.Response {
	m := v.entry.Membership
	if m == nil || m.Epoch != o.Epoch || m.State != fleet.Open {
		return lifecycle.Conflict
	}
	if !o.Graceful {
		v.head.fail()
	}
	v.setState(fleet.Closing)
	v.publish()
	v.finishClosing()
	return lifecycle.Accepted
}

// setState replaces the membership rather than changing it: its entry may be on the
// way to the store.
func (v *vm) setState(s fleet.State) {
	m := *v.entry.Membership
	m.State = s
	v.entry.Membership = &m
}

// finishClosing ends a closing head that has no work left.
func (v *vm) finishClosing() {
	if m := v.entry.Membership; m != nil && m.State == fleet.Closing && (v.head == nil || len(v.head.jobs) == 0) {
		v.head = nil
		v.setState(fleet.Ready)
		v.publish()
	}
}

// leave takes the VM out of its replica; the head of one that lost a member notices.
func (v *vm) leave() {
	m := v.entry.Membership
	if m == nil {
		return
	}
	if v.head != nil {
		v.head.fail()
		v.head = nil
	}
	v.orderSeq++
	members, epoch := v.members, v.epoch
	v.entry.Membership, v.entry.Model, v.members = nil, "", nil
	v.publish()
	v.w.stallReplica(members, epoch)
}

// fail gives up all requests.
func (h *head) fail() {
	h.failed = true
	for j, a := range h.jobs {
		h.replica.Remove(j)
		close(a.failed)
	}
	clear(h.jobs)
}

// runPasses plays passes while the replica has work and all its members.
func (v *vm) runPasses(h *head) {
	w := v.w
	for {
		w.mu.Lock()
		if v.head != h || v.dead || !h.stalledSince.IsZero() {
			h.running = false
			w.mu.Unlock()
			return
		}
		h.replica.SlowFactor = w.slowest(v)
		took, wrote := h.replica.RunPass()
		if took == 0 {
			h.running = false
			v.finishClosing()
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		time.Sleep(took)
		w.mu.Lock()
		if v.head == h && !v.dead && h.stalledSince.IsZero() {
			h.deliver(wrote)
		}
		w.mu.Unlock()
	}
}

// deliver hands out the pieces that a pass has written.
func (h *head) deliver(wrote []*enginemodel.Job) {
	for _, j := range wrote {
		a := h.jobs[j]
		if a == nil {
			continue
		}
		a.pieces <- struct{}{}
		if j.Done() {
			close(a.pieces)
			delete(h.jobs, j)
		}
	}
}

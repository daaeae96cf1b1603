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

// vm is a simulated VM. All fields are guarded by world.mu.
type vm struct {
	w     *world
	entry fleet.Server
	dead  bool
	// crashed is set while the VM runs without its server process.
	crashed bool
	// rateLimit is the limit that the VM names in its answers; 0 for none.
	rateLimit float64
	slow      float64
	epoch     int64
	members   []cluster.VMID
	// model is the model of its replica. loaded is the model in its memory, which its
	// entry names only while the VM belongs to a replica.
	model, loaded string
	// orderSeq counts the orders that started an operation, so that a later order cancels
	// the effect of an earlier one that is still in progress.
	orderSeq int
	head     *head
	// doc is the latest entry. publishing is true while it is being written to the store.
	doc        []byte
	publishing bool
}

// head is the state of an open replica, held by its first member.
type head struct {
	replica enginemodel.Replica
	jobs    map[*enginemodel.Job]*answer
	// stalledSince is when a member was lost; zero while all members are up.
	stalledSince time.Time
	running      bool
	failed       bool
}

// answer is the sender's view of one request on a replica.
type answer struct {
	pieces chan time.Time
	// failed is closed when the replica abandons the request.
	failed chan struct{}
}

// publish schedules a write of the VM's entry to the store. The caller holds world.mu.
func (v *vm) publish() {
	if v.dead {
		return
	}
	doc, err := json.Marshal(v.entry)
	if err != nil {
		panic(err) // only strings, numbers and times: encoding cannot fail
	}
	v.doc = doc
	if !v.publishing {
		v.publishing = true
		go v.writeEntry()
	}
}

// publishRetryDelay is how long a VM waits after a failed write of its entry.
const publishRetryDelay = 300 * time.Millisecond

// writeEntry writes the latest entry until the store holds it.
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

// heartbeat rewrites the entry once per heartbeat interval, which also shows the nodes that
// the store responds.
func (v *vm) heartbeat(ctx context.Context) {
	clock.Every(ctx, v.w.scenario.Engine.Heartbeat, func(time.Time) {
		v.w.mu.Lock()
		defer v.w.mu.Unlock()
		v.publish()
	})
}

// execute carries out an order and returns the response.
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

// after calls f with world.mu held once d has passed, unless the VM is down by then.
func (v *vm) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		v.w.mu.Lock()
		defer v.w.mu.Unlock()
		if !v.dead {
			f()
		}
	})
}

// rejoinTime is how long a VM that has the model loaded takes to become ready, and
// openTime how long a head takes to open its replica.
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

// setState replaces the membership instead of changing it in place, because an entry that
// refers to it may be on its way to the store.
func (v *vm) setState(s fleet.State) {
	m := *v.entry.Membership
	m.State = s
	v.entry.Membership = &m
}

// finishClosing completes the closing of a replica that has no requests left.
func (v *vm) finishClosing() {
	if m := v.entry.Membership; m != nil && m.State == fleet.Closing && (v.head == nil || len(v.head.jobs) == 0) {
		v.head = nil
		v.setState(fleet.Ready)
		v.publish()
	}
}

// leave removes the VM from its replica. If others remain, the head stalls.
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

// fail abandons all requests.
func (h *head) fail() {
	h.failed = true
	for j, a := range h.jobs {
		h.replica.Remove(j)
		close(a.failed)
	}
	clear(h.jobs)
}

// runPasses runs engine passes while the replica has requests and all its members.
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
		took, jobs := h.replica.RunPass()
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
			h.deliver(jobs)
		}
		w.mu.Unlock()
	}
}

// deliver sends the pieces produced by a pass to their requests.
func (h *head) deliver(jobs []*enginemodel.Job) {
	for _, j := range jobs {
		a := h.jobs[j]
		if a == nil {
			continue
		}
		a.pieces <- time.Now()
		if j.Done() {
			close(a.pieces)
			delete(h.jobs, j)
		}
	}
}

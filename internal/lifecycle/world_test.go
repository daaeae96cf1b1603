package lifecycle

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// worldTick is the time between two looks of the holder.
const worldTick = 100 * time.Millisecond

// world is a holder before VMs, in its own time.
type world struct {
	now   time.Time
	set   *rules.Set
	free  bool
	vms   []*modelVM
	fence cluster.Fence
	// machine is the holder's; seen are the servers as its node saw them.
	machine *Machine
	seen    map[cluster.VMID]fleet.Server
	list    fleet.List
	stale   bool
	next    Input
	// pending are orders without an answer, told as such once they time out.
	pending []pendingOrder
	// ready has who was ever ready in which replica.
	ready map[readyKey]bool
	// loadsAt are the starts of loads that count.
	loadsAt   []time.Time
	violation string
}

type pendingOrder struct {
	at      time.Time
	outcome OrderResult
}

type readyKey struct {
	replica cluster.ReplicaID
	vm      cluster.VMID
}

// worldOptions sets up a world.
type worldOptions struct {
	domains, vms int
	// size is the number of VMs in a replica.
	size int
	// cold worlds load weights at a bounded rate.
	cold bool
}

func newWorld(o worldOptions) *world {
	group := rules.Group{Name: "m", Model: "m", VMs: o.size, SameDomain: true, Servers: "models", ColdLoad: vmCold, WarmLoad: vmWarm}
	w := &world{now: time.Unix(1000, 0), set: rules.Assemble(rules.Set{Groups: []rules.Group{group}}), free: !o.cold, fence: 1,
		seen: make(map[cluster.VMID]fleet.Server), ready: make(map[readyKey]bool)}
	if o.cold {
		w.set.Weights = rules.WeightStore{LoadsPerSecond: 1.25, LoadsAtOnce: 12}
	}
	for d := range o.domains {
		for i := range o.vms {
			at := w.now.Add(-time.Duration(i) * 250 * time.Millisecond)
			w.vms = append(w.vms, &modelVM{id: cluster.VMID(fmt.Sprintf("vm-%02d-%02d", d, i)), domain: cluster.DomainID(fmt.Sprint("d", d)),
				alive: true, born: w.now, beatAt: at})
			if !o.cold {
				w.vms[len(w.vms)-1].staged = []string{"m"}
			}
		}
	}
	w.handOver()
	return w
}

var quiet = slog.New(slog.DiscardHandler)

// handOver has another node take the lease: it knows only what is listed now.
func (w *world) handOver() {
	w.fence++
	w.stale, w.next, w.pending = false, Input{}, nil
	w.seen = make(map[cluster.VMID]fleet.Server)
	w.machine = NewMachine(Options{Scope: "here", Fence: w.fence, Policy: placement.Mix{}, Log: quiet, LastListed: w.seen})
}

func (w *world) find(id cluster.VMID) *modelVM {
	for _, v := range w.vms {
		if v.id == id {
			return v
		}
	}
	return nil
}

// lostTo reports whether a head lacks a member.
func (w *world) lostTo(head *modelVM) bool {
	id := fleet.ReplicaID(head.member.Replica, head.member.Epoch)
	return slices.ContainsFunc(head.members, func(vm cluster.VMID) bool {
		v := w.find(vm)
		return v == nil || !v.runs() || !v.in(id)
	})
}

// tick advances the world by one look of the holder. It reports whether anything
// happened that a fault could interleave with.
func (w *world) tick() (eventful bool) {
	w.now = w.now.Add(worldTick)
	for _, v := range w.vms {
		v.advance(w.now, w.lostTo)
		w.noteReady(v)
	}
	eventful = w.publish()
	for _, s := range w.list.Servers {
		w.seen[s.ID] = s
	}
	w.timeOut()
	in := w.next
	w.next = Input{}
	in.Now, in.Rules, in.UnmeteredLoads, in.LeaseRemaining, in.List = w.now, w.set, w.free, time.Hour, w.list
	out := w.machine.Step(in)
	for _, s := range out.SendOrders {
		w.deliver(s)
	}
	for _, p := range out.ProbeUnlisted {
		if v := w.find(p.ID); v != nil && v.runs() && !v.silent && !v.mute {
			w.next.RespondingUnlisted = append(w.next.RespondingUnlisted, v.id)
		}
	}
	return eventful || len(out.SendOrders) > 0 || len(in.OrderResults) > 0
}

func (w *world) noteReady(v *modelVM) {
	if v.runs() && v.member != nil && v.member.State == fleet.Ready {
		w.ready[readyKey{fleet.ReplicaID(v.member.Replica, v.member.Epoch), v.id}] = true
	}
}

// publish brings the VMs' entries to the holder's list; it reports whether the list changed.
func (w *world) publish() bool {
	list := fleet.List{Revision: 1 << 40, ReadAt: w.now}
	for _, v := range w.vms {
		if v.runs() && !v.cutStore {
			for w.now.Sub(v.beatAt) >= vmBeat {
				v.beatAt = v.beatAt.Add(vmBeat)
			}
			list.Servers = append(list.Servers, v.entry())
			continue
		}
		if w.now.Sub(v.beatAt) < vmLapse {
			if s := w.list.Find(v.id); s != nil {
				list.Servers = append(list.Servers, *s)
			}
		}
	}
	if w.stale {
		return false
	}
	changed := !list.Same(w.list)
	list.Changed = w.list.Changed
	if changed || list.Changed == 0 {
		list.Changed++
	}
	w.list = list
	return changed
}

// timeOut tells the holder of the orders that had no answer in time.
func (w *world) timeOut() {
	kept := w.pending[:0:0]
	for _, p := range w.pending {
		if w.now.Before(p.at) {
			kept = append(kept, p)
			continue
		}
		w.next.OrderResults = append(w.next.OrderResults, p.outcome)
	}
	w.pending = kept
}

// deliver brings an order to its VM, or not.
func (w *world) deliver(s OutgoingOrder) {
	outcome := OrderResult{To: s.To, Order: s.Order, At: w.now}
	v := w.find(s.To.ID)
	switch {
	case v == nil || !v.alive || v.silent:
		outcome.Err = context.DeadlineExceeded
	case v.frozen:
		outcome.Err = syscall.ECONNREFUSED
		w.next.OrderResults = append(w.next.OrderResults, outcome)
		return
	case v.late:
		v.queue = append(v.queue, s.Order)
		outcome.Err = context.DeadlineExceeded
	default:
		outcome.Response = w.carryOut(v, s.Order, true)
		if !v.mute {
			w.next.OrderResults = append(w.next.OrderResults, outcome)
			return
		}
		outcome.Response, outcome.Err = "", context.DeadlineExceeded
	}
	w.pending = append(w.pending, pendingOrder{w.now.Add(OrderTimeout), outcome})
}

// carryOut has a VM do an order, and checks what must always hold.
func (w *world) carryOut(v *modelVM, o Order, counts bool) Response {
	before, loads := v.clone(), 0
	answer := v.carryOut(o, w.now, &loads)
	if o.Kind == Join && answer == Accepted {
		w.checkJoin(before, o)
	}
	if o.Kind == Open && answer == Accepted {
		w.checkOpen(v)
	}
	for range loads {
		if counts && !w.free {
			w.loadsAt = append(w.loadsAt, w.now)
		}
	}
	return answer
}

// checkJoin: no VM joins a replica while another that it belongs to may still serve.
func (w *world) checkJoin(v *modelVM, o Order) {
	if v.member == nil || v.member.Epoch == o.Epoch {
		return
	}
	id := fleet.ReplicaID(v.member.Replica, v.member.Epoch)
	head := w.find(v.members[0])
	if head != nil && head.alive && head.in(id) && (head.member.State == fleet.Open || head.member.State == fleet.Closing) {
		w.violate("%s joins %s while %s, head %s, is %s", v.id, o.Replica, id, head.id, head.member.State)
	}
}

// checkOpen: nothing opens of which a member was never ready.
func (w *world) checkOpen(head *modelVM) {
	id := fleet.ReplicaID(head.member.Replica, head.member.Epoch)
	if len(head.members) != w.set.Groups[0].VMs {
		w.violate("%s opens with %d members", id, len(head.members))
	}
	for _, vm := range head.members {
		if !w.ready[readyKey{id, vm}] {
			w.violate("%s opens and %s was never ready", id, vm)
		}
	}
}

// checkLoads: loads stay within the weight store's rate in any window.
func (w *world) checkLoads() {
	const window = 5 * time.Second
	most := w.set.Weights.LoadsPerSecond*window.Seconds()*1.1 + 3
	for i, from := range w.loadsAt {
		n := 0
		for _, at := range w.loadsAt[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if float64(n) > most {
			w.violate("%d loads within %s", n, window)
		}
	}
}

func (w *world) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// waitMost is how long run waits for something to happen.
const waitMost = 2 * time.Second

// run advances the world until something happens.
func (w *world) run() {
	for until := w.now.Add(waitMost); w.now.Before(until) && w.violation == ""; {
		if w.tick() {
			return
		}
	}
}

// runFor advances the world by a time.
func (w *world) runFor(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until) && w.violation == ""; {
		w.tick()
	}
}

// heal ends all faults but those that are for good.
func (w *world) heal() {
	w.stale = false
	for _, v := range w.vms {
		v.frozen, v.cutStore, v.silent, v.mute, v.late = false, false, false, false, false
		w.flush(v)
	}
}

// flush has a VM carry out what it kept for later.
func (w *world) flush(v *modelVM) {
	queue := v.queue
	v.queue = nil
	for _, o := range queue {
		if v.runs() {
			w.carryOut(v, o, false)
		}
	}
}

// serving counts the whole replicas that are open, and possible is how many there could be.
func (w *world) serving() (open, possible int) {
	usable := make(map[cluster.DomainID]int)
	for _, v := range w.vms {
		if v.runs() && v.drainedAt.IsZero() {
			usable[v.domain]++
		}
		if v.runs() && v.member != nil && v.member.State == fleet.Open && !w.lostTo(v) {
			open++
		}
	}
	for _, n := range usable {
		possible += n / w.set.Groups[0].VMs
	}
	return open, possible
}

// clone returns a copy of the world that goes its own way.
func (w *world) clone() *world {
	c := *w
	c.vms = nil
	for _, v := range w.vms {
		c.vms = append(c.vms, v.clone())
	}
	c.seen = maps.Clone(w.seen)
	c.machine = w.machine.clone(c.seen)
	c.ready = maps.Clone(w.ready)
	c.pending, c.loadsAt = slices.Clone(w.pending), slices.Clone(w.loadsAt)
	c.next.OrderResults, c.next.RespondingUnlisted = slices.Clone(w.next.OrderResults), slices.Clone(w.next.RespondingUnlisted)
	return &c
}

// clone returns a copy of the machine, on the given servers seen. Its limit of loads
// starts anew: only worlds in which loads are free are cloned.
func (m *Machine) clone(seen map[cluster.VMID]fleet.Server) *Machine {
	c := *m
	c.seen, c.opts.LastListed = seen, seen
	limits := *m.loads
	limits.until = maps.Clone(m.loads.until)
	limits.limiter = rate.NewLimiter(m.loads.limiter.Limit(), loadBurst)
	c.loads = &limits
	c.staging, c.down, c.sightings, c.inFlight = maps.Clone(m.staging), maps.Clone(m.down), maps.Clone(m.sightings), maps.Clone(m.inFlight)
	c.suspectedAt = maps.Clone(m.suspectedAt)
	c.present = make(map[cluster.VMID]*presence, len(m.present))
	for vm, p := range m.present {
		one := *p
		c.present[vm] = &one
	}
	c.records = make(map[cluster.ReplicaID]*record, len(m.records))
	for id, r := range m.records {
		c.records[id] = r.clone()
	}
	return &c
}

func (r *record) clone() *record {
	c := record{phase: r.phase}
	if r.forming != nil {
		f := *r.forming
		f.sentAt, f.joined, f.born = maps.Clone(f.sentAt), maps.Clone(f.joined), maps.Clone(f.born)
		c.forming = &f
	}
	if r.ending != nil {
		e := *r.ending
		e.members, e.left, e.sentAt = slices.Clone(e.members), maps.Clone(e.left), maps.Clone(e.sentAt)
		c.ending = &e
	}
	if r.ended != nil {
		e := *r.ended
		c.ended = &e
	}
	return &c
}

// hash identifies the state of the world, whatever the time and the numbers of its replicas.
func (w *world) hash() uint64 {
	h := fnv.New64a()
	names := w.names()
	age := func(t time.Time) int64 {
		if t.IsZero() {
			return -1 << 30
		}
		return min(int64(w.now.Sub(t)/worldTick), 400)
	}
	name := func(id cluster.ReplicaID) int { return names[id] }
	member := func(m *fleet.Membership) string {
		if m == nil {
			return "-"
		}
		return fmt.Sprint(name(fleet.ReplicaID(m.Replica, m.Epoch)), m.Rank, m.State)
	}
	order := func(o Order) string {
		return fmt.Sprint(o.Kind, w.fence-o.Fence, name(fleet.ReplicaID(o.Replica, o.Epoch)))
	}
	for _, v := range w.vms {
		fmt.Fprint(h, v.alive, v.frozen, v.cutStore, v.silent, v.mute, v.late, age(v.drainedAt), age(v.born), member(v.member), v.members,
			age(v.dueAt), age(v.stalledSince), v.lastModel, v.staged, v.staging, age(v.stagedAt), age(v.beatAt), w.fence-v.fenceSeen)
		for _, o := range v.queue {
			fmt.Fprint(h, order(o))
		}
	}
	fmt.Fprint(h, "|", w.stale)
	for _, s := range w.list.Servers {
		fmt.Fprint(h, s.ID, age(s.Born), s.Draining, member(s.Membership), s.Staged, s.Model)
	}
	for _, p := range w.pending {
		fmt.Fprint(h, "p", age(p.at), p.outcome.To.ID, order(p.outcome.Order))
	}
	for _, a := range w.next.OrderResults {
		fmt.Fprint(h, "a", a.To.ID, order(a.Order), a.Response, a.Err != nil)
	}
	fmt.Fprint(h, w.next.RespondingUnlisted)
	w.machine.print(h, age, name, member)
	return h.Sum64()
}

// names numbers the replicas that anything still names, oldest first.
func (w *world) names() map[cluster.ReplicaID]int {
	epochs := make(map[cluster.ReplicaID]int64)
	note := func(replica string, epoch int64) { epochs[fleet.ReplicaID(replica, epoch)] = epoch }
	servers := slices.Clone(w.list.Servers)
	servers = slices.AppendSeq(servers, maps.Values(w.seen))
	for _, v := range w.vms {
		servers = append(servers, v.entry())
		for _, o := range v.queue {
			note(o.Replica, o.Epoch)
		}
	}
	for _, s := range servers {
		if s.Membership != nil {
			note(s.Membership.Replica, s.Membership.Epoch)
		}
	}
	for _, p := range w.pending {
		note(p.outcome.Order.Replica, p.outcome.Order.Epoch)
	}
	for _, a := range w.next.OrderResults {
		note(a.Order.Replica, a.Order.Epoch)
	}
	for id, r := range w.machine.records {
		if r.forming != nil {
			note(r.forming.name, r.forming.epoch)
		} else {
			name, _, _ := strings.Cut(string(id), ".")
			var epoch int64
			_, _ = fmt.Sscanf(name, "m/%d", &epoch)
			note(name, epoch)
		}
	}
	ids := slices.SortedFunc(maps.Keys(epochs), func(a, b cluster.ReplicaID) int { return int(epochs[a] - epochs[b]) })
	names := make(map[cluster.ReplicaID]int, len(ids))
	for i, id := range ids {
		names[id] = i + 1
	}
	return names
}

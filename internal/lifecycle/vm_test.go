package lifecycle

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

// Times of a VM, as the users publish them.
const (
	vmBeat       = 1200 * time.Millisecond
	vmLapse      = 3 * vmBeat
	vmRejoin     = 200 * time.Millisecond
	vmWarm       = time.Second
	vmCold       = 4 * time.Second
	vmForm       = 300 * time.Millisecond
	vmStall      = 5 * time.Second
	vmDrain      = 4 * time.Second
	vmClose      = 500 * time.Millisecond
	vmRetainsFor = 1 // models that a host keeps
)

// modelVM is a VM as the published protocol describes it.
type modelVM struct {
	id     cluster.VMID
	domain cluster.DomainID
	born   time.Time
	// alive is false for good once the VM has crashed.
	alive bool
	// frozen VMs refuse connections, write no entry and keep their state.
	frozen bool
	// cutStore VMs write no entry; silent ones hear nothing of the holder; mute ones
	// carry orders out and their answers are lost; late ones queue orders, which may be
	// carried out after newer ones.
	cutStore, silent, mute, late bool
	queue                        []Order
	drainedAt                    time.Time

	member  *fleet.Membership
	members []cluster.VMID
	// dueAt is when the membership's next state comes; zero if none does.
	dueAt time.Time
	// stalledSince is since when a member is lost; zero while all are there.
	stalledSince time.Time
	lastModel    string
	staged       []string
	stagedAt     time.Time
	staging      string
	epochSeen    int64
	fenceSeen    cluster.Fence

	beatAt time.Time
}

func (v *modelVM) runs() bool { return v.alive && !v.frozen }

// in reports whether the VM is a member of the replica.
func (v *modelVM) in(id cluster.ReplicaID) bool { return v.entry().In(id) }

// entry is what the VM says of itself.
func (v *modelVM) entry() fleet.Server {
	s := fleet.Server{ID: v.id, Service: "models", Domain: v.domain, Slots: 8, Born: v.born, Draining: !v.drainedAt.IsZero(),
		Staged: slices.Clone(v.staged), Model: v.lastModel}
	if v.member != nil {
		m := *v.member
		s.Membership = &m
	}
	return s
}

// restart begins the VM's process anew under its id.
func (v *modelVM) restart(now time.Time) {
	*v = modelVM{id: v.id, domain: v.domain, alive: true, born: now, staged: v.staged, beatAt: now,
		cutStore: v.cutStore, silent: v.silent, mute: v.mute, late: v.late}
}

// replace puts a new VM without weights in the place of one that is gone.
func (v *modelVM) replace(now time.Time) {
	*v = modelVM{id: v.id + "n", domain: v.domain, alive: true, born: now, beatAt: now}
}

// carryOut does an order at now and returns the answer; loads counts the loads that it begins.
func (v *modelVM) carryOut(o Order, now time.Time, loads *int) Response {
	if o.Fence < v.fenceSeen {
		return Fenced
	}
	v.fenceSeen = o.Fence
	id := fleet.ReplicaID(o.Replica, o.Epoch)
	switch o.Kind {
	case Stage:
		if !slices.Contains(v.staged, o.Model) && v.staging != o.Model {
			v.staging, v.stagedAt = o.Model, now.Add(vmCold)
			*loads++
		}
		return Accepted
	case Join:
		return v.join(o, now, loads)
	case Open:
		switch {
		case !v.in(id) || v.member.Rank != 0 || v.member.State == fleet.Joining || v.member.State == fleet.Broken:
			return Conflict
		case v.member.State != fleet.Ready:
			return Done
		}
		v.dueAt = now.Add(vmForm)
		return Accepted
	case Close:
		if !v.in(id) || v.member.State != fleet.Open {
			return Conflict
		}
		v.member.State, v.dueAt = fleet.Closing, now.Add(vmClose)
		return Accepted
	case Leave:
		if v.in(id) {
			v.leave()
		}
		return Done
	}
	return Invalid
}

func (v *modelVM) leave() {
	v.member, v.members, v.dueAt, v.stalledSince = nil, nil, time.Time{}, time.Time{}
}

func (v *modelVM) join(o Order, now time.Time, loads *int) Response {
	id := fleet.ReplicaID(o.Replica, o.Epoch)
	switch {
	case o.Epoch < v.epochSeen:
		return Fenced
	case v.in(id) && !slices.Equal(v.members, o.Members):
		return Fenced
	case v.in(id):
		return Done
	}
	v.leave()
	v.epochSeen = o.Epoch
	v.members = slices.Clone(o.Members)
	v.member = &fleet.Membership{Replica: o.Replica, Epoch: o.Epoch, Rank: slices.Index(o.Members, v.id), State: fleet.Joining}
	switch {
	case v.lastModel == o.Model:
		v.dueAt = now.Add(vmRejoin)
	case slices.Contains(v.staged, o.Model):
		v.dueAt = now.Add(vmWarm)
	default:
		*loads++
		v.dueAt = now.Add(vmCold)
		v.staging, v.stagedAt = o.Model, v.dueAt
	}
	return Accepted
}

// advance brings the VM's own steps that are due.
func (v *modelVM) advance(now time.Time, lost func(*modelVM) bool) {
	if !v.drainedAt.IsZero() && now.Sub(v.drainedAt) > vmDrain {
		v.alive = false
	}
	if !v.runs() {
		return
	}
	if v.staging != "" && !now.Before(v.stagedAt) {
		v.staged = append([]string{v.staging}, v.staged...)
		v.staged = v.staged[:min(len(v.staged), vmRetainsFor)]
		v.staging = ""
	}
	if v.member == nil {
		return
	}
	if !v.dueAt.IsZero() && !now.Before(v.dueAt) {
		v.dueAt = time.Time{}
		switch v.member.State {
		case fleet.Joining:
			v.member.State, v.lastModel = fleet.Ready, fleet.ModelOf(v.member.Replica)
		case fleet.Ready:
			v.member.State = fleet.Open
		case fleet.Closing:
			v.member.State = fleet.Ready
		}
	}
	v.stall(now, lost(v))
}

// stall breaks the VM's replica when it has lacked a member for long.
func (v *modelVM) stall(now time.Time, lost bool) {
	serves := v.member.State == fleet.Open || v.member.State == fleet.Closing
	if !serves || !lost {
		v.stalledSince = time.Time{}
		return
	}
	if v.stalledSince.IsZero() {
		v.stalledSince = now
	}
	if now.Sub(v.stalledSince) >= vmStall {
		v.member.State, v.dueAt = fleet.Broken, time.Time{}
	}
}

// clone returns a copy that shares nothing that changes.
func (v *modelVM) clone() *modelVM {
	c := *v
	c.queue, c.members, c.staged = slices.Clone(v.queue), slices.Clone(v.members), slices.Clone(v.staged)
	if v.member != nil {
		m := *v.member
		c.member = &m
	}
	return &c
}

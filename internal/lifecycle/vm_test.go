package lifecycle

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

// Timing of a VM according to the users' published protocol.
const (
	vmHeartbeat       = 1200 * time.Millisecond
	vmEntryTTL        = 3 * vmHeartbeat
	vmRejoinTime      = 200 * time.Millisecond
	vmWarmLoad        = time.Second
	vmColdLoad        = 4 * time.Second
	vmOpenTime        = 300 * time.Millisecond
	vmStallTimeout    = 5 * time.Second
	vmDrainTime       = 4 * time.Second
	vmCloseTime       = 500 * time.Millisecond
	vmMaxStagedModels = 1 // models that a host keeps staged
)

// simulatedVM simulates a VM according to the published protocol.
type simulatedVM struct {
	id           cluster.VMID
	domain       cluster.DomainID
	processStart time.Time
	// alive is false once the VM has crashed permanently.
	alive bool
	// frozen VMs refuse connections, do not write their entry and keep their state.
	frozen bool
	// storeDisconnected VMs do not write their entry; holderDisconnected ones receive nothing from the
	// holder; the responses of dropsResponses ones are lost; delaysOrders ones queue orders, which may
	// be executed after newer ones.
	storeDisconnected, holderDisconnected, dropsResponses, delaysOrders bool
	delayedOrders                                                       []Order
	drainedAt                                                           time.Time

	member  *fleet.Membership
	members []cluster.VMID
	// nextStateAt is when the membership's next state change is due; zero if none is.
	nextStateAt time.Time
	// stalledSince is when the head lost a member; zero while it has all of them.
	stalledSince time.Time
	lastModel    string
	staged       []string
	stagedAt     time.Time
	staging      string
	highestEpoch int64
	highestFence cluster.Fence

	heartbeatAt time.Time
}

func (v *simulatedVM) running() bool { return v.alive && !v.frozen }

// in reports whether the VM is a member of the replica.
func (v *simulatedVM) in(id cluster.ReplicaID) bool { return v.entry().IsMemberOf(id) }

// entry returns the VM's list entry.
func (v *simulatedVM) entry() fleet.Server {
	s := fleet.Server{ID: v.id, Service: "models", Domain: v.domain, Slots: 8, StartedAt: v.processStart, Draining: !v.drainedAt.IsZero(),
		Staged: slices.Clone(v.staged), Model: v.lastModel}
	if v.member != nil {
		m := *v.member
		s.Membership = &m
	}
	return s
}

// restart replaces the VM's process by a new one under the same id.
func (v *simulatedVM) restart(now time.Time) {
	*v = simulatedVM{id: v.id, domain: v.domain, alive: true, processStart: now, staged: v.staged, heartbeatAt: now,
		storeDisconnected: v.storeDisconnected, holderDisconnected: v.holderDisconnected, dropsResponses: v.dropsResponses, delaysOrders: v.delaysOrders}
}

// replace replaces a crashed VM by a new one without weights.
func (v *simulatedVM) replace(now time.Time) {
	*v = simulatedVM{id: v.id + "n", domain: v.domain, alive: true, processStart: now, heartbeatAt: now}
}

// execute executes an order at now and returns the response. It adds the loads that it starts to
// loads.
func (v *simulatedVM) execute(o Order, now time.Time, loads *int) Response {
	if o.Fence < v.highestFence {
		return Fenced
	}
	v.highestFence = o.Fence
	id := fleet.ReplicaID(o.Replica, o.Epoch)
	switch o.Kind {
	case Stage:
		if !slices.Contains(v.staged, o.Model) && v.staging != o.Model {
			v.staging, v.stagedAt = o.Model, now.Add(vmColdLoad)
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
		v.nextStateAt = now.Add(vmOpenTime)
		return Accepted
	case Close:
		if !v.in(id) || v.member.State != fleet.Open {
			return Conflict
		}
		v.member.State, v.nextStateAt = fleet.Closing, now.Add(vmCloseTime)
		return Accepted
	case Leave:
		if v.in(id) {
			v.leave()
		}
		return Done
	}
	return Invalid
}

func (v *simulatedVM) leave() {
	v.member, v.members, v.nextStateAt, v.stalledSince = nil, nil, time.Time{}, time.Time{}
}

func (v *simulatedVM) join(o Order, now time.Time, loads *int) Response {
	id := fleet.ReplicaID(o.Replica, o.Epoch)
	switch {
	case o.Epoch < v.highestEpoch:
		return Fenced
	case v.in(id) && !slices.Equal(v.members, o.Members):
		return Fenced
	case v.in(id):
		return Done
	}
	v.leave()
	v.highestEpoch = o.Epoch
	v.members = slices.Clone(o.Members)
	v.member = &fleet.Membership{Replica: o.Replica, Epoch: o.Epoch, Rank: slices.Index(o.Members, v.id), State: fleet.Joining}
	switch {
	case v.lastModel == o.Model:
		v.nextStateAt = now.Add(vmRejoinTime)
	case slices.Contains(v.staged, o.Model):
		v.nextStateAt = now.Add(vmWarmLoad)
	default:
		*loads++
		v.nextStateAt = now.Add(vmColdLoad)
		v.staging, v.stagedAt = o.Model, v.nextStateAt
	}
	return Accepted
}

// advance executes the VM's state changes that are due.
func (v *simulatedVM) advance(now time.Time, lost func(*simulatedVM) bool) {
	if !v.drainedAt.IsZero() && now.Sub(v.drainedAt) > vmDrainTime {
		v.alive = false
	}
	if !v.running() {
		return
	}
	if v.staging != "" && !now.Before(v.stagedAt) {
		v.staged = append([]string{v.staging}, v.staged...)
		v.staged = v.staged[:min(len(v.staged), vmMaxStagedModels)]
		v.staging = ""
	}
	if v.member == nil {
		return
	}
	if !v.nextStateAt.IsZero() && !now.Before(v.nextStateAt) {
		v.nextStateAt = time.Time{}
		switch v.member.State {
		case fleet.Joining:
			v.member.State, v.lastModel = fleet.Ready, fleet.ModelOf(v.member.Replica)
		case fleet.Ready:
			v.member.State = fleet.Open
		case fleet.Closing:
			v.member.State = fleet.Ready
		}
	}
	v.checkStall(now, lost(v))
}

// checkStall marks the VM's replica broken once it has lacked a member for vmStallTimeout.
func (v *simulatedVM) checkStall(now time.Time, lost bool) {
	serves := v.member.State == fleet.Open || v.member.State == fleet.Closing
	if !serves || !lost {
		v.stalledSince = time.Time{}
		return
	}
	if v.stalledSince.IsZero() {
		v.stalledSince = now
	}
	if now.Sub(v.stalledSince) >= vmStallTimeout {
		v.member.State, v.nextStateAt = fleet.Broken, time.Time{}
	}
}

// clone returns a copy that shares no mutable state.
func (v *simulatedVM) clone() *simulatedVM {
	c := *v
	c.delayedOrders, c.members, c.staged = slices.Clone(v.delayedOrders), slices.Clone(v.members), slices.Clone(v.staged)
	if v.member != nil {
		m := *v.member
		c.member = &m
	}
	return &c
}

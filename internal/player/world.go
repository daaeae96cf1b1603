package player

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/formation"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// Keys in the store of the simulated platform.
const (
	serversPrefix = "servers/"
	configKey     = "config"
	// engineService is the service whose backend servers are all the VMs.
	engineService cluster.Service = "engines"
)

// world is the state of the simulated VMs, the store and the network.
type world struct {
	scenario *Scenario
	store    *memstore.Store
	rng      *rand.Rand

	mu       sync.Mutex
	vms      map[cluster.VMID]*vm
	vmsAdded int
	loading  int
	// started is set just before the first call; model loads take their full time from
	// then on.
	started bool
	// partitioned holds the zones that are separated from the others and from the store.
	partitioned map[cluster.ZoneID]bool
	// isolated holds the nodes that are separated from all VMs.
	isolated map[cluster.NodeID]isolation
	// violations are broken invariants of replicas.
	violations []string
	loads      int
	startedAt  time.Time
	// crashDeliveries and crashes are when requests that crash servers reached one, and when
	// they crashed it.
	crashDeliveries, crashes []time.Time
	// coldArrivals holds the requests to the VMs that are cold.
	coldArrivals map[cluster.VMID][]time.Time
	// limits records the requests to the VMs that name a rate limit, each time that they do.
	limits map[cluster.VMID][]*limitRecord
	// signals holds what VMs say of themselves, signalRecords the requests of nodes that were told.
	signals       map[cluster.VMID]signalFault
	signalRecords map[sender]*signalRecord

	heartbeats sync.WaitGroup
	cancel     context.CancelFunc
	ctx        context.Context
}

func newWorld(s *Scenario, rng *rand.Rand) *world {
	w := &world{scenario: s, store: memstore.New(memstore.Options{}), rng: rng, vms: make(map[cluster.VMID]*vm), partitioned: make(map[cluster.ZoneID]bool), isolated: make(map[cluster.NodeID]isolation), coldArrivals: make(map[cluster.VMID][]time.Time), limits: make(map[cluster.VMID][]*limitRecord), signals: make(map[cluster.VMID]signalFault), signalRecords: make(map[sender]*signalRecord), startedAt: time.Now()}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	for _, z := range s.Zones {
		for d, size := range z.Domains {
			for range size {
				w.add(z.Name, domainName(z.Name, d))
			}
		}
	}
	return w
}

// uptime is the simulated clock since boot; the machine's own is not simulated.
func (w *world) uptime() time.Duration { return time.Since(w.startedAt) }

func domainName(zone cluster.ZoneID, n int) cluster.DomainID {
	return cluster.DomainID(fmt.Sprintf("%s-d%d", zone, n))
}

// add starts an empty VM.
func (w *world) add(zone cluster.ZoneID, domain cluster.DomainID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vmsAdded++
	id := cluster.VMID(fmt.Sprintf("vm-%03d", w.vmsAdded))
	v := &vm{w: w, entry: fleet.Server{ID: id, Service: engineService, Addr: string(id), Zone: zone, Domain: domain, Slots: w.scenario.Engine.Slots, StartedAt: time.Now()}}
	w.vms[id] = v
	v.publish()
	w.heartbeats.Go(func() { v.heartbeat(w.ctx) })
}

// close stops all VMs.
func (w *world) close() {
	w.mu.Lock()
	for _, v := range w.vms {
		v.dead = true
		v.head = nil
	}
	w.mu.Unlock()
	w.cancel()
	w.heartbeats.Wait()
}

// startServing marks the end of the warmup: calls follow.
func (w *world) startServing() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = true
}

func (w *world) isPartitioned(zone cluster.ZoneID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.partitioned[zone]
}

func (w *world) model(name string) Model {
	at := slices.IndexFunc(w.scenario.Models, func(m Model) bool { return m.Name == name })
	return w.scenario.Models[at]
}

// warmupLoadFactor is the fraction of their full time that model loads take before the
// first call.
const warmupLoadFactor = 0.1

// startLoad counts a model load and returns how long it takes. The caller holds w.mu.
func (w *world) startLoad(model string) time.Duration {
	w.loading++
	w.loads++
	cold := w.model(model).ColdLoad
	if !w.started {
		return time.Duration(warmupLoadFactor * float64(cold))
	}
	return time.Duration(float64(cold) * max(1, float64(w.loading)/float64(max(w.scenario.Engine.LoadsAtOnce, 1))))
}

// checkFree records a violation if the VM joins a replica while its old one may still serve.
func (w *world) checkFree(v *vm) {
	if v.entry.Membership == nil || len(v.members) == 0 {
		return
	}
	h := w.vms[v.members[0]]
	if h != nil && !h.dead && h.epoch == v.epoch && h.head != nil && !h.head.failed {
		w.violations = append(w.violations, fmt.Sprintf("%s joins another replica while its replica %s is serving", v.entry.ID, v.entry.Membership.Replica))
	}
}

// checkComplete records a violation if a replica opens without one of its members.
func (w *world) checkComplete(v *vm) {
	for _, id := range v.members {
		m := w.vms[id]
		if m == nil || m.epoch != v.epoch || m.entry.Membership == nil || m.entry.Membership.State == fleet.Joining {
			w.violations = append(w.violations, fmt.Sprintf("replica headed by %s opens without a ready member %s", v.entry.ID, id))
		}
	}
}

// slowest returns the slowdown factor of the replica's slowest member.
func (w *world) slowest(v *vm) float64 {
	slow := 1.0
	for _, id := range v.members {
		if m := w.vms[id]; m != nil {
			slow = max(slow, m.slow)
		}
	}
	return slow
}

// stallReplica stalls the replica that a member was lost from and breaks it after the stall
// timeout.
func (w *world) stallReplica(members []cluster.VMID, epoch int64) {
	if len(members) == 0 {
		return
	}
	h := w.vms[members[0]]
	if h == nil || h.dead || h.epoch != epoch || h.head == nil || !h.head.stalledSince.IsZero() {
		return
	}
	stalled := h.head
	stalled.stalledSince = time.Now()
	h.after(w.scenario.Engine.StallTimeout, func() {
		if h.head == stalled {
			stalled.fail()
			h.head = nil
			h.setState(fleet.Broken)
			h.publish()
		}
	})
}

// kill silences a VM. Its entry is removed three heartbeats later unless it was revived.
func (w *world) kill(v *vm) {
	v.dead = true
	if v.head != nil {
		v.head.stalledSince = time.Now()
	}
	w.stallReplica(v.members, v.epoch)
	key := serversPrefix + string(v.entry.ID)
	time.AfterFunc(3*w.scenario.Engine.Heartbeat, func() {
		w.mu.Lock()
		gone := v.dead
		w.mu.Unlock()
		if gone {
			_, _ = w.store.Txn(context.Background(), store.Txn{Then: []store.Op{store.Delete(key)}}) // best effort: simulates the entry's expiry
		}
	})
}

// revive restarts a silenced VM. Models staged on its host are kept.
func (w *world) revive(v *vm) {
	v.dead, v.crashed, v.head, v.members, v.model, v.loaded = false, false, nil, nil, "", ""
	v.entry.Membership, v.entry.Model, v.entry.StartedAt = nil, "", time.Now()
	v.epoch = 0
	v.orderSeq++
	v.publish()
}

// servingMembers returns the live members of open replicas, in random order, restricted to
// the zone and the model if they are not empty.
func (w *world) servingMembers(zone cluster.ZoneID, model string) (out []*vm) {
	for _, v := range w.vms {
		m := v.entry.Membership
		if v.dead || m == nil || zone != "" && v.entry.Zone != zone || model != "" && v.model != model {
			continue
		}
		if h := w.vms[v.members[0]]; h != nil && h.head != nil && h.head.stalledSince.IsZero() {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b *vm) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// reaches reports whether a node in one zone reaches a VM in another.
func (w *world) reaches(from, to cluster.ZoneID) bool {
	return from == to || !w.partitioned[from] && !w.partitioned[to]
}

// nodesReach reports whether nodes in two zones reach each other.
func (w *world) nodesReach(a, b cluster.ZoneID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reaches(a, b)
}

// decodeServer decodes the entry that a VM published.
func decodeServer(kv store.KV, _ time.Time) (fleet.Server, error) {
	var s fleet.Server
	err := json.Unmarshal(kv.Value, &s)
	return s, err
}

// orders sends orders to VMs on behalf of a node. It implements formation.OrderClient.
type orders struct {
	w    *world
	zone cluster.ZoneID
}

// roundTrip is the network round-trip time between two machines.
const roundTrip = 2 * time.Millisecond

// Send implements formation.OrderClient.
func (o orders) Send(ctx context.Context, to fleet.Server, order lifecycle.Order) (lifecycle.Response, error) {
	v, err := o.reach(ctx, to.ID)
	if err != nil {
		return "", err
	}
	return v.execute(order), nil
}

// Probe implements formation.OrderClient.
func (o orders) Probe(ctx context.Context, to fleet.Server) error {
	_, err := o.reach(ctx, to.ID)
	return err
}

// reach returns the VM, or an error when ctx ends if it is down or unreachable.
func (o orders) reach(ctx context.Context, id cluster.VMID) (*vm, error) {
	time.Sleep(roundTrip)
	o.w.mu.Lock()
	v := o.w.vms[id]
	up := v != nil && !v.dead && o.w.reaches(o.zone, v.entry.Zone)
	o.w.mu.Unlock()
	if !up {
		<-ctx.Done()
		return nil, &formation.SendError{VM: id, Err: ctx.Err()}
	}
	return v, nil
}

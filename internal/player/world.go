package player

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/formation"
	"github.com/fennelcourse/fennelcourse/internal/lifecycle"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// Keys of the played platform.
const (
	serversPrefix = "servers/"
	configKey     = "config"
	// engineService is the service that all VMs are backend servers of.
	engineService cluster.Service = "engines"
)

// world is the VMs and the store.
type world struct {
	scenario *Scenario
	store    *memstore.Store
	rng      *rand.Rand

	mu       sync.Mutex
	vms      map[cluster.VMID]*vm
	vmsAdded int
	loading  int
	// started is true from the first call on: loads cost their full time then.
	started bool
	// partitioned are the zones that are parted from the others and from the store.
	partitioned map[cluster.ZoneID]bool
	// violations are broken promises about replicas.
	violations []string
	loads      int

	heartbeats sync.WaitGroup
	cancel     context.CancelFunc
	ctx        context.Context
}

func newWorld(s *Scenario, rng *rand.Rand) *world {
	w := &world{scenario: s, store: memstore.New(memstore.Options{}), rng: rng, vms: make(map[cluster.VMID]*vm), partitioned: make(map[cluster.ZoneID]bool)}
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

func domainName(zone cluster.ZoneID, n int) cluster.DomainID {
	return cluster.DomainID(fmt.Sprintf("%s-d%d", zone, n))
}

// add brings an empty VM.
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

// close ends what the VMs do.
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

// startServing says that the first call is about to come.
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

// warmupLoadFactor is the part of their time that loads take before the first call.
const warmupLoadFactor = 0.1

// startLoad counts a load and says how long it takes. The caller holds w.mu.
func (w *world) startLoad(model string) time.Duration {
	w.loading++
	w.loads++
	cold := w.model(model).ColdLoad
	if !w.started {
		return time.Duration(warmupLoadFactor * float64(cold))
	}
	return time.Duration(float64(cold) * max(1, float64(w.loading)/float64(max(w.scenario.Engine.LoadsAtOnce, 1))))
}

// checkFree notes a join of a VM whose replica may still serve.
func (w *world) checkFree(v *vm) {
	if v.entry.Membership == nil || len(v.members) == 0 {
		return
	}
	h := w.vms[v.members[0]]
	if h != nil && !h.dead && h.epoch == v.epoch && h.head != nil && !h.head.failed {
		w.violations = append(w.violations, fmt.Sprintf("%s joins another replica while %s serves", v.entry.ID, v.entry.Membership.Replica))
	}
}

// checkComplete notes an opened replica that lacks a member.
func (w *world) checkComplete(v *vm) {
	for _, id := range v.members {
		m := w.vms[id]
		if m == nil || m.epoch != v.epoch || m.entry.Membership == nil || m.entry.Membership.State == fleet.Joining {
			w.violations = append(w.violations, fmt.Sprintf("%s opens without %s", v.entry.ID, id))
		}
	}
}

// slowest is the factor of the replica's slowest member.
func (w *world) slowest(v *vm) float64 {
	slow := 1.0
	for _, id := range v.members {
		if m := w.vms[id]; m != nil {
			slow = max(slow, m.slow)
		}
	}
	return slow
}

// stallReplica has the head of a replica stand still, and break after a while.
func (w *world) stallReplica(members []cluster.VMID, epoch int64) {
	if len(members) == 0 {
		return
	}
	h := w.vms[members[0]]
	if h == nil || h.dead || h.epoch != epoch || h.head == nil || !h.head.stalledSince.IsZero() {
		return
	}
	stuck := h.head
	stuck.stalledSince = time.Now()
	h.after(w.scenario.Engine.StallTimeout, func() {
		if h.head == stuck {
			stuck.fail()
			h.head = nil
			h.setState(fleet.Broken)
			h.publish()
		}
	})
}

// kill silences a VM for good. Its entry is gone some heartbeats later.
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
			_, _ = w.store.Txn(context.Background(), store.Txn{Then: []store.Op{store.Delete(key)}}) // it expires in the platform
		}
	})
}

// revive starts a VM that was silent anew; it remembers what its host has staged.
func (w *world) revive(v *vm) {
	v.dead, v.head, v.members, v.model, v.loaded = false, nil, nil, "", ""
	v.entry.Membership, v.entry.Model, v.entry.StartedAt = nil, "", time.Now()
	v.epoch = 0
	v.orderSeq++
	v.publish()
}

// servingMembers are live VMs of the zone, all zones if it is empty, that are members of open
// replicas of the model, of any if it is empty; in random order.
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

// reaches reports whether a node of one zone reaches a VM of another.
func (w *world) reaches(from, to cluster.ZoneID) bool {
	return from == to || !w.partitioned[from] && !w.partitioned[to]
}

// nodesReach reports whether nodes of two zones reach each other.
func (w *world) nodesReach(a, b cluster.ZoneID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reaches(a, b)
}

// servers reads the listing for a node.
func servers(entries map[string]store.KV, revision int64) fleet.List {
	list := fleet.List{Revision: revision, ReadAt: time.Now()}
	for _, kv := range entries {
		var s fleet.Server
		if err := json.Unmarshal(kv.Value, &s); err != nil {
			panic(err) // written by publish
		}
		list.Servers = append(list.Servers, s)
	}
	slices.SortFunc(list.Servers, func(a, b fleet.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// orders implements formation.OrderClient for a node of a zone.
type orders struct {
	w    *world
	zone cluster.ZoneID
}

// roundTrip is a call between machines, there and back.
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

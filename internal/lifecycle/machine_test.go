package lifecycle

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/placement"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// sentOrder is an order and the VM that it was sent to.
type sentOrder struct {
	to    cluster.VMID
	order Order
}

// fakeVMs records orders and responds to all of them with response. VMs in unresponsive never
// respond, and those in refusing refuse connections.
type fakeVMs struct {
	sent         []sentOrder
	response     Response
	unresponsive map[cluster.VMID]bool
	refusing     map[cluster.VMID]bool
	// wrongVM holds VMs at whose address another VM responds.
	wrongVM map[cluster.VMID]bool
}

func (v *fakeVMs) send(to fleet.Server, order Order) (Response, error) {
	v.sent = append(v.sent, sentOrder{to.ID, order})
	switch {
	case v.unresponsive[to.ID]:
		return "", context.DeadlineExceeded
	case v.refusing[to.ID]:
		return "", syscall.ECONNREFUSED
	case v.wrongVM[to.ID]:
		return WrongVM, nil
	}
	return v.response, nil
}

// takeOrders removes and returns the recorded orders of a kind, by VM.
func (v *fakeVMs) takeOrders(kind OrderKind) map[cluster.VMID]Order {
	out := make(map[cluster.VMID]Order)
	kept := v.sent[:0]
	for _, sent := range v.sent {
		if sent.order.Kind == kind {
			out[sent.to] = sent.order
			continue
		}
		kept = append(kept, sent)
	}
	v.sent = kept
	return out
}

// fixture runs a machine on a list that the test edits.
type fixture struct {
	t       *testing.T
	machine *Machine
	vms     *fakeVMs
	servers []fleet.Server
	now     time.Time
	// next collects the machine's next input.
	next Input
	// evacuated holds the evacuated zones.
	evacuated []cluster.ZoneID
}

var fixtureRules = rules.Assemble(rules.Set{Groups: []rules.Group{{Name: "m", Model: "m", VMs: 3, SameDomain: true, Servers: "models", ColdLoad: time.Second, WarmLoad: time.Second}}})

func newFixture(t *testing.T, vms int) *fixture {
	t.Helper()
	f := &fixture{t: t, vms: &fakeVMs{response: Accepted, unresponsive: make(map[cluster.VMID]bool), refusing: make(map[cluster.VMID]bool)}, now: time.Now()}
	f.machine = NewMachine(Options{Scope: "here", Fence: 2, Policy: placement.Mix{}, Log: slog.New(slog.DiscardHandler), LastListed: make(map[cluster.VMID]fleet.Server)})
	for i := range vms {
		f.servers = append(f.servers, fleet.Server{ID: cluster.VMID(fmt.Sprintf("vm-%d", i)), Service: "models", Domain: "rack", Slots: 8, StartedAt: f.now})
	}
	return f
}

// step runs the machine once, after more than resendInterval since the last step.
func (f *fixture) step() {
	f.now = f.now.Add(2 * resendInterval)
	for _, server := range f.servers {
		f.machine.lastListed[server.ID] = server
	}
	in := f.next
	in.Now, in.Rules, in.UnmeteredLoads, in.LeaseRemaining = f.now, fixtureRules, true, time.Hour
	in.List = fleet.List{Revision: 1 << 40, ReadAt: f.now, Servers: f.servers, Evacuated: f.evacuated}
	f.next = Input{}
	out := f.machine.Step(in)
	for _, o := range out.SendOrders {
		response, err := f.vms.send(o.To, o.Order)
		f.next.OrderResults = append(f.next.OrderResults, OrderResult{To: o.To, Order: o.Order, Response: response, Err: err, At: f.now})
	}
	for _, vm := range out.ProbeUnlisted {
		if !f.vms.unresponsive[vm.ID] && !f.vms.refusing[vm.ID] {
			f.next.RespondingUnlisted = append(f.next.RespondingUnlisted, vm.ID)
		}
	}
}

// setMembership sets a VM's membership in the list, with the model loaded.
func (f *fixture) setMembership(vm cluster.VMID, order Order, rank int, state fleet.State) {
	for i := range f.servers {
		if f.servers[i].ID == vm {
			f.servers[i].Staged, f.servers[i].Model = []string{"m"}, "m"
			f.servers[i].Membership = &fleet.Membership{Replica: order.Replica, Epoch: order.Epoch, Rank: rank, State: state}
		}
	}
}

// clearMembership removes a VM's membership from the list.
func (f *fixture) clearMembership(vm cluster.VMID) {
	for i := range f.servers {
		if f.servers[i].ID == vm {
			f.servers[i].Membership = nil
		}
	}
}

// unlist removes a VM from the list.
func (f *fixture) unlist(vm cluster.VMID) {
	kept := f.servers[:0]
	for _, server := range f.servers {
		if server.ID != vm {
			kept = append(kept, server)
		}
	}
	f.servers = kept
}

// listed returns a VM's list entry.
func (f *fixture) listed(vm cluster.VMID) fleet.Server {
	for _, server := range f.servers {
		if server.ID == vm {
			return server
		}
	}
	f.t.Fatalf("%s is not listed", vm)
	return fleet.Server{}
}

// relist adds a VM to the list, which stays sorted.
func (f *fixture) relist(vm fleet.Server) {
	f.servers = append(f.servers, vm)
	slices.SortFunc(f.servers, func(a, b fleet.Server) int { return cmp.Compare(a.ID, b.ID) })
}

// newOpenReplica returns a fixture with one serving replica and the join order that formed it.
func newOpenReplica(t *testing.T, vms int) (*fixture, Order) {
	t.Helper()
	f := newFixture(t, vms)
	f.step()
	joins := f.vms.takeOrders(Join)
	require.Len(t, joins, 3)
	var order Order
	for _, order = range joins {
		for rank, vm := range order.Members {
			f.setMembership(vm, order, rank, fleet.Ready)
		}
	}
	f.step()
	require.Len(t, f.vms.takeOrders(Open), 1)
	f.setMembership(order.Members[0], order, 0, fleet.Open)
	f.step()
	return f, order
}

// Guards against opening an incomplete replica: the head does not check its members itself and would
// run requests without one.
func TestOpensOnlyWhenEveryMemberIsReady(t *testing.T) {
	f := newFixture(t, 3)
	f.step()
	joins := f.vms.takeOrders(Join)
	order := joins["vm-0"]
	require.Len(t, order.Members, 3)
	for rank, vm := range order.Members {
		f.setMembership(vm, order, rank, []fleet.State{fleet.Ready, fleet.Ready, fleet.Joining}[rank])
	}
	f.step()
	require.Empty(t, f.vms.takeOrders(Open))
	f.setMembership(order.Members[2], order, 2, fleet.Ready)
	f.step()
	open := f.vms.takeOrders(Open)
	require.Contains(t, open, order.Members[0])
	require.Equal(t, order.Epoch, open[order.Members[0]].Epoch)
}

// Guards against a VM in two replicas when a member is lost: the survivors must not be reused while
// the head is still open.
func TestSurvivorsAreNotReusedBeforeHeadLeaves(t *testing.T) {
	f, order := newOpenReplica(t, 4)
	f.vms.response = "" // no usable response until the test sets one
	f.vms.unresponsive[order.Members[0]] = true
	f.unlist(order.Members[2])
	f.vms.unresponsive[order.Members[2]] = true
	f.step() // probes the missing member
	f.step() // which does not respond
	f.step()
	require.Contains(t, f.vms.takeOrders(Leave), order.Members[0])
	require.Empty(t, f.vms.takeOrders(Join), "the head has not responded")
	delete(f.vms.unresponsive, order.Members[0])
	f.vms.response = Done
	f.step()
	f.step()
	f.step()
	joins := f.vms.takeOrders(Join)
	require.Len(t, joins, 3, "both survivors and the spare")
	require.Greater(t, joins[order.Members[1]].Epoch, order.Epoch)
}

// Guards against reusing members of an unlisted, unresponsive head, which may still be serving: each
// must confirm that it has left first.
func TestMembersOfUnresponsiveHeadAreReleasedOneByOne(t *testing.T) {
	f, order := newOpenReplica(t, 4)
	head, second, third := order.Members[0], order.Members[1], order.Members[2]
	f.unlist(head)
	f.vms.unresponsive[head], f.vms.unresponsive[third] = true, true
	f.vms.response = Done
	f.step()
	f.step()
	leaves := f.vms.takeOrders(Leave)
	require.Contains(t, leaves, second)
	require.Contains(t, leaves, third)
	f.step()
	for _, join := range f.vms.takeOrders(Join) {
		require.NotContains(t, join.Members, third, "it has not responded")
	}
	delete(f.vms.unresponsive, third)
	f.step()
	f.step()
	f.step()
	require.Contains(t, f.vms.takeOrders(Join), third)
}

// Guards against shutting down a working replica whose member is partitioned from the store: the
// member is unlisted but responds to probes.
func TestReplicaWithPartitionedMemberIsKept(t *testing.T) {
	f, order := newOpenReplica(t, 4)
	f.unlist(order.Members[2])
	for range 4 {
		f.step()
	}
	require.Empty(t, f.vms.takeOrders(Leave))
	require.Empty(t, f.vms.takeOrders(Join))
}

// Guards against a holder that was paused or partitioned and keeps acting after a later one took over.
func TestFencedHolderStops(t *testing.T) {
	f := newFixture(t, 3)
	f.vms.response = Fenced
	f.step()
	f.step()
	require.True(t, f.machine.Fenced())
}

// Guards against a delayed order of an earlier holder undoing one of a later holder.
func TestEpochsIncreaseFromHolderToHolder(t *testing.T) {
	first := newFixture(t, 3)
	first.step()
	early := first.vms.takeOrders(Join)["vm-0"].Epoch
	later := newFixture(t, 3)
	later.machine.opts.Fence = first.machine.opts.Fence + 1
	later.step()
	require.Greater(t, later.vms.takeOrders(Join)["vm-0"].Epoch, early+1<<(epochSequenceBits-1))
}

// Guards against taking a refused connection as the end of a process: the head refuses connections for
// a while, then continues to serve, so its members must leave before they are reused.
func TestMembersOfAHeadThatRefusesConnectionsAreNotReused(t *testing.T) {
	f, order := newOpenReplica(t, 5)
	head, second, third := order.Members[0], order.Members[1], order.Members[2]
	f.unlist(third)
	f.vms.unresponsive[third], f.vms.unresponsive[second], f.vms.refusing[head] = true, true, true
	for range 4 {
		f.step()
	}
	require.Contains(t, f.vms.takeOrders(Leave), head)
	for _, join := range f.vms.takeOrders(Join) {
		require.NotContains(t, join.Members, second, "it has not left the replica")
	}
	f.vms.response = Done
	delete(f.vms.unresponsive, second)
	for range 4 {
		f.step()
	}
	require.Contains(t, f.vms.takeOrders(Leave), second)
	require.Contains(t, f.vms.takeOrders(Join), second, "it has left")
}

// Guards against a head in two replicas: after refusing connections it is listed as open again and must
// leave before it joins another replica.
func TestHeadListedOpenAgainLeavesBeforeItJoins(t *testing.T) {
	f, order := newOpenReplica(t, 4)
	head, third := order.Members[0], order.Members[2]
	headEntry := f.listed(head)
	f.unlist(third)
	f.vms.unresponsive[third], f.vms.refusing[head] = true, true
	f.vms.response = Done
	for range 3 {
		f.step()
	}
	f.unlist(head)
	f.step()
	f.vms.takeOrders(Leave)
	f.vms.takeOrders(Join)

	f.relist(headEntry)
	delete(f.vms.refusing, head)
	f.vms.unresponsive[head] = true // still unreachable
	f.step()
	require.Contains(t, f.vms.takeOrders(Leave), head)
	for _, join := range f.vms.takeOrders(Join) {
		require.NotContains(t, join.Members, head, "it is open")
	}
	delete(f.vms.unresponsive, head)
	for range 4 {
		f.step()
	}
	require.Contains(t, f.vms.takeOrders(Leave), head)
	require.Contains(t, f.vms.takeOrders(Join), head, "it has left")
}

// Guards against releasing a replica because this holder sent no open order: one from an earlier holder
// may still take effect.
func TestReplicaOfAnEarlierHolderIsLeftBeforeItsMembersAreReused(t *testing.T) {
	f := newFixture(t, 4)
	order := Order{Replica: "m/7", Epoch: 7, Members: []cluster.VMID{"vm-0", "vm-1", "vm-2"}}
	for rank, vm := range order.Members {
		f.setMembership(vm, order, rank, fleet.Ready)
	}
	f.machine.inFlight["vm-0"] = true // prevents an open order from this holder
	f.step()
	require.Empty(t, f.vms.takeOrders(Open))
	delete(f.machine.inFlight, "vm-0")
	f.unlist("vm-2")
	f.vms.unresponsive["vm-0"] = true
	f.step()
	f.step()
	require.Contains(t, f.vms.takeOrders(Leave), cluster.VMID("vm-0"))
	require.Empty(t, f.vms.takeOrders(Join), "the head has not responded")
}

// Guards against taking a response from another VM at the head's address as proof that the head left.
func TestAnswerOfAnotherVMDoesNotEndAReplica(t *testing.T) {
	f, order := newOpenReplica(t, 4)
	head, second, third := order.Members[0], order.Members[1], order.Members[2]
	f.unlist(third)
	f.vms.unresponsive[third], f.vms.unresponsive[second] = true, true
	f.vms.wrongVM = map[cluster.VMID]bool{head: true}
	for range 4 {
		f.step()
	}
	require.Contains(t, f.vms.takeOrders(Leave), second)
	require.Empty(t, f.vms.takeOrders(Join))
}

// Guards against reusing members of a head that delayed orders join and open again after it left.
func TestHeadReopenedAfterLeavingIsEndedAgain(t *testing.T) {
	f, order := newOpenReplica(t, 3)
	head, third := order.Members[0], order.Members[2]
	f.vms.response = Done
	f.vms.unresponsive[third] = true
	f.unlist(third)
	for range 3 {
		f.step()
	}
	require.Contains(t, f.vms.takeOrders(Leave), head)
	f.clearMembership(head)
	f.step()

	f.setMembership(head, order, 0, fleet.Open)
	f.vms.unresponsive[head] = true
	f.relist(fleet.Server{ID: "vm-9", Service: "models", Domain: "rack", Slots: 8, StartedAt: f.now, Staged: []string{"m"}})
	f.step()
	f.step()
	require.Empty(t, f.vms.takeOrders(Join), "the head serves again")
	require.Contains(t, f.vms.takeOrders(Leave), head)
	delete(f.vms.unresponsive, head)
	for range 3 {
		f.step()
	}
	require.Contains(t, f.vms.takeOrders(Join), head)
}

// Guards against a broken replica that is never ended: its head broke while a member was away, and all
// members are listed again.
func TestReplicaWithBrokenHeadIsFormedAgain(t *testing.T) {
	f, order := newOpenReplica(t, 3)
	f.setMembership(order.Members[0], order, 0, fleet.Broken)
	for range 3 {
		f.step()
	}
	joins := f.vms.takeOrders(Join)
	require.Len(t, joins, 3)
	require.Greater(t, joins[order.Members[0]].Epoch, order.Epoch)
}

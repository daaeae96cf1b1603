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

// sentOrder is an order with the VM it went to.
type sentOrder struct {
	to    cluster.VMID
	order Order
}

// recorder takes orders and answers them as set; VMs in dead never answer, those in
// refusing refuse connections.
type recorder struct {
	sent     []sentOrder
	answer   Response
	dead     map[cluster.VMID]bool
	refusing map[cluster.VMID]bool
	// elsewhere are VMs at whose address another one answers.
	elsewhere map[cluster.VMID]bool
}

func (r *recorder) send(to fleet.Server, order Order) (Response, error) {
	r.sent = append(r.sent, sentOrder{to.ID, order})
	switch {
	case r.dead[to.ID]:
		return "", context.DeadlineExceeded
	case r.refusing[to.ID]:
		return "", syscall.ECONNREFUSED
	case r.elsewhere[to.ID]:
		return WrongVM, nil
	}
	return r.answer, nil
}

// take returns the orders of a kind that were sent since the last call, by VM.
func (r *recorder) take(kind OrderKind) map[cluster.VMID]Order {
	out := make(map[cluster.VMID]Order)
	kept := r.sent[:0]
	for _, s := range r.sent {
		if s.order.Kind == kind {
			out[s.to] = s.order
			continue
		}
		kept = append(kept, s)
	}
	r.sent = kept
	return out
}

// scene is a machine before a list that the test writes.
type scene struct {
	t       *testing.T
	machine *Machine
	orders  *recorder
	servers []fleet.Server
	now     time.Time
	// next is what the machine is told at its next step.
	next Input
}

var sceneRules = rules.Assemble(rules.Set{Groups: []rules.Group{{Name: "m", Model: "m", VMs: 3, SameDomain: true, Servers: "models", ColdLoad: time.Second, WarmLoad: time.Second}}})

func newScene(t *testing.T, vms int) *scene {
	t.Helper()
	s := &scene{t: t, orders: &recorder{answer: Accepted, dead: make(map[cluster.VMID]bool), refusing: make(map[cluster.VMID]bool)}, now: time.Now()}
	s.machine = NewMachine(Options{Scope: "here", Fence: 2, Policy: placement.Mix{}, Log: slog.New(slog.DiscardHandler), LastListed: make(map[cluster.VMID]fleet.Server)})
	for i := range vms {
		s.servers = append(s.servers, fleet.Server{ID: cluster.VMID(fmt.Sprintf("vm-%d", i)), Service: "models", Domain: "rack", Slots: 8, Born: s.now})
	}
	return s
}

// step lets the machine look at the list, a while after its last look.
func (s *scene) step() {
	s.now = s.now.Add(2 * resendAfter)
	for _, one := range s.servers {
		s.machine.seen[one.ID] = one
	}
	in := s.next
	in.Now, in.Rules, in.UnmeteredLoads, in.LeaseRemaining = s.now, sceneRules, true, time.Hour
	in.List = fleet.List{Revision: 1 << 40, ReadAt: s.now, Servers: s.servers}
	s.next = Input{}
	out := s.machine.Step(in)
	for _, o := range out.SendOrders {
		answer, err := s.orders.send(o.To, o.Order)
		s.next.OrderResults = append(s.next.OrderResults, OrderResult{To: o.To, Order: o.Order, Response: answer, Err: err, At: s.now})
	}
	for _, vm := range out.ProbeUnlisted {
		if !s.orders.dead[vm.ID] && !s.orders.refusing[vm.ID] {
			s.next.RespondingUnlisted = append(s.next.RespondingUnlisted, vm.ID)
		}
	}
}

// show sets a VM's membership in the list.
func (s *scene) show(vm cluster.VMID, order Order, rank int, state fleet.State) {
	for i := range s.servers {
		if s.servers[i].ID == vm {
			s.servers[i].Staged, s.servers[i].Model = []string{"m"}, "m"
			s.servers[i].Membership = &fleet.Membership{Replica: order.Replica, Epoch: order.Epoch, Rank: rank, State: state}
		}
	}
}

// clear takes a VM's membership out of the list.
func (s *scene) clear(vm cluster.VMID) {
	for i := range s.servers {
		if s.servers[i].ID == vm {
			s.servers[i].Membership = nil
		}
	}
}

// vanish takes a VM out of the list.
func (s *scene) vanish(vm cluster.VMID) {
	kept := s.servers[:0]
	for _, one := range s.servers {
		if one.ID != vm {
			kept = append(kept, one)
		}
	}
	s.servers = kept
}

// listed is a VM as the list has it.
func (s *scene) listed(vm cluster.VMID) fleet.Server {
	for _, one := range s.servers {
		if one.ID == vm {
			return one
		}
	}
	s.t.Fatalf("%s is not listed", vm)
	return fleet.Server{}
}

// restore brings a VM back into the list, in its order.
func (s *scene) restore(vm fleet.Server) {
	s.servers = append(s.servers, vm)
	slices.SortFunc(s.servers, func(a, b fleet.Server) int { return cmp.Compare(a.ID, b.ID) })
}

// opened is a scene with one replica that serves, and the order that made it.
func opened(t *testing.T, vms int) (*scene, Order) {
	t.Helper()
	s := newScene(t, vms)
	s.step()
	joins := s.orders.take(Join)
	require.Len(t, joins, 3)
	var order Order
	for _, order = range joins {
		for rank, vm := range order.Members {
			s.show(vm, order, rank, fleet.Ready)
		}
	}
	s.step()
	require.Len(t, s.orders.take(Open), 1)
	s.show(order.Members[0], order, 0, fleet.Open)
	s.step()
	return s, order
}

// Nobody but the holder looks at the members: opened too soon, a head would run requests without one.
func TestOpensOnlyWhenEveryMemberIsReady(t *testing.T) {
	s := newScene(t, 3)
	s.step()
	joins := s.orders.take(Join)
	order := joins["vm-0"]
	require.Len(t, order.Members, 3)
	for rank, vm := range order.Members {
		s.show(vm, order, rank, []fleet.State{fleet.Ready, fleet.Ready, fleet.Joining}[rank])
	}
	s.step()
	require.Empty(t, s.orders.take(Open))
	s.show(order.Members[2], order, 2, fleet.Ready)
	s.step()
	open := s.orders.take(Open)
	require.Contains(t, open, order.Members[0])
	require.Equal(t, order.Epoch, open[order.Members[0]].Epoch)
}

// A member is lost and the head still open: a survivor that joined another replica would be in two.
func TestSurvivorsWaitForTheirHead(t *testing.T) {
	s, order := opened(t, 4)
	s.orders.answer = "" // orders get an answer only when the test says so
	s.orders.dead[order.Members[0]] = true
	s.vanish(order.Members[2])
	s.orders.dead[order.Members[2]] = true
	s.step() // asks the missing member
	s.step() // it does not answer
	s.step()
	require.Contains(t, s.orders.take(Leave), order.Members[0])
	require.Empty(t, s.orders.take(Join), "the head has not answered")
	delete(s.orders.dead, order.Members[0])
	s.orders.answer = Done
	s.step()
	s.step()
	s.step()
	joins := s.orders.take(Join)
	require.Len(t, joins, 3, "both survivors and the spare")
	require.Greater(t, joins[order.Members[1]].Epoch, order.Epoch)
}

// A head that is not listed and silent may serve on: each member leaves, with an answer, before it is used.
func TestMembersOfASilentHeadLeaveOneByOne(t *testing.T) {
	s, order := opened(t, 4)
	head, second, third := order.Members[0], order.Members[1], order.Members[2]
	s.vanish(head)
	s.orders.dead[head], s.orders.dead[third] = true, true
	s.orders.answer = Done
	s.step()
	s.step()
	leaves := s.orders.take(Leave)
	require.Contains(t, leaves, second)
	require.Contains(t, leaves, third)
	s.step()
	for _, join := range s.orders.take(Join) {
		require.NotContains(t, join.Members, third, "it has not answered")
	}
	delete(s.orders.dead, third)
	s.step()
	s.step()
	s.step()
	require.Contains(t, s.orders.take(Join), third)
}

// A member that the list dropped and that answers is cut off from the store: its replica works on.
func TestReplicaOfAMemberCutOffFromTheStoreIsLeftAlone(t *testing.T) {
	s, order := opened(t, 4)
	s.vanish(order.Members[2])
	for range 4 {
		s.step()
	}
	require.Empty(t, s.orders.take(Leave))
	require.Empty(t, s.orders.take(Join))
}

// A holder that was paused or cut off must not order what is a later one's to decide.
func TestFencedHolderStops(t *testing.T) {
	s := newScene(t, 3)
	s.orders.answer = Fenced
	s.step()
	s.step()
	require.True(t, s.machine.Fenced())
}

// An earlier holder's order that is carried out late must not undo a later one's.
func TestEpochsRiseFromHolderToHolder(t *testing.T) {
	first := newScene(t, 3)
	first.step()
	early := first.orders.take(Join)["vm-0"].Epoch
	later := newScene(t, 3)
	later.machine.opts.Fence = first.machine.opts.Fence + 1
	later.step()
	require.Greater(t, later.orders.take(Join)["vm-0"].Epoch, early+1<<(epochBits-1))
}

// A head refuses connections for a while, then goes on serving: its members must not be used before they have left.
func TestMembersOfAHeadThatRefusesConnectionsAreNotReused(t *testing.T) {
	s, order := opened(t, 5)
	head, second, third := order.Members[0], order.Members[1], order.Members[2]
	s.vanish(third)
	s.orders.dead[third], s.orders.dead[second], s.orders.refusing[head] = true, true, true
	for range 4 {
		s.step()
	}
	require.Contains(t, s.orders.take(Leave), head)
	for _, join := range s.orders.take(Join) {
		require.NotContains(t, join.Members, second, "it has not left the replica")
	}
	s.orders.answer = Done
	delete(s.orders.dead, second)
	for range 4 {
		s.step()
	}
	require.Contains(t, s.orders.take(Leave), second)
	require.Contains(t, s.orders.take(Join), second, "it has left")
}

// A head that refused connections is listed again as open: it must leave before it joins another replica.
func TestHeadThatComesBackOpenLeavesBeforeItJoins(t *testing.T) {
	s, order := opened(t, 4)
	head, third := order.Members[0], order.Members[2]
	back := s.listed(head)
	s.vanish(third)
	s.orders.dead[third], s.orders.refusing[head] = true, true
	s.orders.answer = Done
	for range 3 {
		s.step()
	}
	s.vanish(head)
	s.step()
	s.orders.take(Leave)
	s.orders.take(Join)

	s.restore(back)
	delete(s.orders.refusing, head)
	s.orders.dead[head] = true // it hears nothing yet
	s.step()
	require.Contains(t, s.orders.take(Leave), head)
	for _, join := range s.orders.take(Join) {
		require.NotContains(t, join.Members, head, "it is open")
	}
	delete(s.orders.dead, head)
	for range 4 {
		s.step()
	}
	require.Contains(t, s.orders.take(Leave), head)
	require.Contains(t, s.orders.take(Join), head, "it has left")
}

// An earlier holder's open order may still take effect: a replica it formed is never freed on this holder's word alone.
func TestReplicaOfAnEarlierHolderIsLeftBeforeItsMembersAreReused(t *testing.T) {
	s := newScene(t, 4)
	order := Order{Replica: "m/7", Epoch: 7, Members: []cluster.VMID{"vm-0", "vm-1", "vm-2"}}
	for rank, vm := range order.Members {
		s.show(vm, order, rank, fleet.Ready)
	}
	s.machine.inFlight["vm-0"] = true // so that no open order of this holder goes out
	s.step()
	require.Empty(t, s.orders.take(Open))
	delete(s.machine.inFlight, "vm-0")
	s.vanish("vm-2")
	s.orders.dead["vm-0"] = true
	s.step()
	s.step()
	require.Contains(t, s.orders.take(Leave), cluster.VMID("vm-0"))
	require.Empty(t, s.orders.take(Join), "the head has not answered")
}

// Another VM answers at the head's address: that says nothing of the head's process.
func TestAnswerOfAnotherVMDoesNotEndAReplica(t *testing.T) {
	s, order := opened(t, 4)
	head, second, third := order.Members[0], order.Members[1], order.Members[2]
	s.vanish(third)
	s.orders.dead[third], s.orders.dead[second] = true, true
	s.orders.elsewhere = map[cluster.VMID]bool{head: true}
	for range 4 {
		s.step()
	}
	require.Contains(t, s.orders.take(Leave), second)
	require.Empty(t, s.orders.take(Join))
}

// Delayed orders may join and open a head again after it left: its members are held again then.
func TestHeadThatOpensAgainAfterItLeftIsLeftAgain(t *testing.T) {
	s, order := opened(t, 3)
	head, third := order.Members[0], order.Members[2]
	s.orders.answer = Done
	s.orders.dead[third] = true
	s.vanish(third)
	for range 3 {
		s.step()
	}
	require.Contains(t, s.orders.take(Leave), head)
	s.clear(head)
	s.step()

	s.show(head, order, 0, fleet.Open)
	s.orders.dead[head] = true
	s.restore(fleet.Server{ID: "vm-9", Service: "models", Domain: "rack", Slots: 8, Born: s.now, Staged: []string{"m"}})
	s.step()
	s.step()
	require.Empty(t, s.orders.take(Join), "the head serves again")
	require.Contains(t, s.orders.take(Leave), head)
	delete(s.orders.dead, head)
	for range 3 {
		s.step()
	}
	require.Contains(t, s.orders.take(Join), head)
}

// A head broke while a member was away, and all are listed again: the replica must not stand as it is.
func TestReplicaWhoseHeadBrokeIsFormedAnew(t *testing.T) {
	s, order := opened(t, 3)
	s.show(order.Members[0], order, 0, fleet.Broken)
	for range 3 {
		s.step()
	}
	joins := s.orders.take(Join)
	require.Len(t, joins, 3)
	require.Greater(t, joins[order.Members[0]].Epoch, order.Epoch)
}

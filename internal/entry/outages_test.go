package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// outageRules returns rules by which the services have the model m.
func outageRules(services ...cluster.Service) *rules.Set {
	set := rules.Set{Revision: 1}
	for _, s := range services {
		set.Groups = append(set.Groups, rules.Group{Name: rules.ModelGroupName(s, "m"), Model: "m", Servers: s, VMs: 1})
	}
	return rules.Assemble(set)
}

func openReplica(id cluster.VMID, service cluster.Service, epoch int64) fleet.Server {
	return fleet.Server{ID: id, Service: service, Addr: "127.0.0.1:1", Zone: "z", Slots: 1, Staged: []string{"m"}, Model: "m",
		Membership: &fleet.Membership{Replica: fleet.ReplicaName("m", epoch), Epoch: epoch, State: fleet.Open}}
}

// recorded returns the seconds of a measure in the record, by group.
func recorded(n *Core, from, to time.Time, measure ledger.Measure) map[cluster.GroupName]float64 {
	report := n.outages.report(from, to, nil, nil)
	out := make(map[cluster.GroupName]float64)
	for _, row := range report.Rows {
		if row.Measure == measure && row.Cause == "" {
			out[row.Group] = row.High
		}
	}
	return out
}

// Guards against the record of one service's outages that a replica of another service's model of the same name ends.
func TestOutagesOfServicesWithOneModelAreRecordedApart(t *testing.T) {
	n := newTestNode(t).Core
	set := outageRules("a", "b")
	n.rules.Store(set)
	serve := func(servers ...fleet.Server) {
		list := fleet.List{Servers: servers}
		n.serverList.Store(&list)
		n.updateRoutes()
	}
	began := time.Now()
	a, b := openReplica("vm-a", "a", 1), openReplica("vm-b", "b", 2)
	serve(a, b)
	serve(b)                           // a's replica is lost
	serve(openReplica("vm-c", "b", 3)) // b's is replaced, which is no replacement of a's
	n.outages.mu.Lock()
	down := n.outages.unreplaced
	require.Len(t, down[rules.ModelGroupName("a", "m")], 1)
	require.Empty(t, down[rules.ModelGroupName("b", "m")])
	n.outages.mu.Unlock()
	require.Contains(t, recorded(n, began, time.Now(), ledger.Downtime), rules.ModelGroupName("a", "m"))
}

// Guards against stranded accelerators of one service that hide those of another one, or stay recorded after their model has left the rules.
func TestStrandedAcceleratorsAreCountedByService(t *testing.T) {
	n := newTestNode(t).Core
	idle := func(id cluster.VMID, service cluster.Service) fleet.Server {
		return fleet.Server{ID: id, Service: service, Staged: []string{"m"}}
	}
	n.serverList.Store(&fleet.List{Servers: []fleet.Server{idle("vm-1", "a"), idle("vm-2", "b"), idle("vm-3", "b")}})
	n.rules.Store(outageRules("a", "b"))
	require.Equal(t, map[strandedKey]int{{"a/m", causeUnassigned}: 1, {"b/m", causeUnassigned}: 2, {"", causeNoWeights}: 0}, n.countStranded())
	now := time.Now()
	n.outages.recordStranded(n.countStranded(), now)
	n.rules.Store(outageRules("a"))
	for s := range 4 {
		n.outages.recordStranded(n.countStranded(), now.Add(time.Duration(s+1)*time.Second))
	}
	stranded := recorded(n, now, now.Add(time.Minute), ledger.Stranded)
	require.InDelta(t, 2, stranded["b/m"], 0.1, "two accelerators for a second")
	require.InDelta(t, 3, stranded["m"], 0.1, "only service a has the model")
}

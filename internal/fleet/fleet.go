// Package fleet models the backend servers registered in the store, the replicas they form and
// which of those replicas may take requests. It also keeps a local mirror of the store.
package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// State is a member's state within its replica, as reported by the member.
type State string

// Member states. Only the serving member (rank 0) is ever Open or Closing. A serving member
// reports Broken after it has lost another member.
const (
	Joining State = "joining"
	Ready   State = "ready"
	Open    State = "open"
	Closing State = "closing"
	Broken  State = "broken"
)

// Membership assigns a VM to a replica.
type Membership struct {
	// Replica and Epoch identify one attempt to form a replica. A later epoch supersedes an
	// earlier one, whatever the replica's name.
	Replica string
	Epoch   int64
	// Rank is the VM's index in the member list; rank 0 serves.
	Rank  int
	State State
}

// ID returns the ID of the replica.
func (m Membership) ID() cluster.ReplicaID { return ReplicaID(m.Replica, m.Epoch) }

// Server is the store entry of one VM that hosts a model engine or a plain service.
type Server struct {
	ID      cluster.VMID
	Service cluster.Service
	Addr    string
	Zone    cluster.ZoneID
	Domain  cluster.DomainID
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Draining servers take no new work and are about to shut down.
	Draining bool
	// StartedAt is the start time of the process. It distinguishes two processes that use
	// the same ID.
	StartedAt time.Time
	// Staged lists the models whose weights are cached on the VM's host.
	Staged []string
	// Model is the loaded model; empty if none.
	Model string
	// Membership is nil for a VM that belongs to no replica.
	Membership *Membership
	// ColdUntil is when the server stops being cold, by this node's clock; zero if it is not.
	ColdUntil time.Time
}

// Equal reports whether two entries describe the same state of the same server.
func (s Server) Equal(o Server) bool {
	if s.ID != o.ID || s.Service != o.Service || s.Addr != o.Addr || s.Zone != o.Zone || s.Domain != o.Domain || s.Slots != o.Slots {
		return false
	}
	if s.Draining != o.Draining || !s.StartedAt.Equal(o.StartedAt) || s.Model != o.Model || !slices.Equal(s.Staged, o.Staged) {
		return false
	}
	if s.ColdUntil.Sub(o.ColdUntil).Abs() > coldTolerance {
		return false
	}
	if s.Membership == nil || o.Membership == nil {
		return s.Membership == o.Membership
	}
	return *s.Membership == *o.Membership
}

// coldTolerance is the largest difference between two computations of the same ColdUntil. A cold
// server writes its remaining time with each heartbeat, which arrives with a varying delay.
const coldTolerance = 500 * time.Millisecond

// IsMemberOf reports whether the server says that it is a member of the replica.
func (s Server) IsMemberOf(id cluster.ReplicaID) bool {
	return s.Membership != nil && s.Membership.ID() == id
}

// List is a snapshot of all servers, ordered by ID, at a store revision.
type List struct {
	Revision int64
	// Version increases with each change of Servers or Evacuated; zero if unknown. Lists built by
	// the same process with the same Version have the same contents.
	Version int64
	// ReadAt is the local time at which the list was last confirmed.
	ReadAt  time.Time
	Servers []Server
	// Evacuated holds the zones to whose servers nothing may be sent.
	Evacuated []cluster.ZoneID
}

// IsEvacuated reports whether nothing may be sent to the servers of the zone.
func (l List) IsEvacuated(zone cluster.ZoneID) bool { return slices.Contains(l.Evacuated, zone) }

// SameServers reports whether two lists have the same contents, whatever their revisions.
func (l List) SameServers(o List) bool { return slices.EqualFunc(l.Servers, o.Servers, Server.Equal) }

// Find returns the server with the given ID, or nil.
func (l List) Find(id cluster.VMID) *Server {
	i, ok := slices.BinarySearchFunc(l.Servers, id, func(s Server, id cluster.VMID) int { return cmp.Compare(s.ID, id) })
	if !ok {
		return nil
	}
	return &l.Servers[i]
}

// Replica is a replica as described by its members' entries.
type Replica struct {
	Name  string
	Epoch int64
	Model string
	// Group is the group of the model at the members' service.
	Group cluster.GroupName
	// Size is the number of members that the model requires.
	Size int
	// Members are the listed members, ordered by rank. Some may be missing.
	Members []Server
}

// newReplica returns the replica of a member, without members. The members of a replica belong to one service.
func newReplica(s *Server, groups []rules.Group) *Replica {
	m := s.Membership
	r := &Replica{Name: m.Replica, Epoch: m.Epoch, Model: ModelOf(m.Replica)}
	r.Group = rules.ModelGroupName(s.Service, r.Model)
	if g := rules.ModelGroup(groups, s.Service, r.Model); g != nil {
		r.Group, r.Size = g.Name, g.VMs
	}
	r.Members = make([]Server, 0, r.Size)
	return r
}

func (r *Replica) sortMembers() {
	slices.SortFunc(r.Members, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Membership.Rank, b.Membership.Rank), cmp.Compare(a.ID, b.ID))
	})
}

// ID returns the replica's ID. It includes the epoch, so each epoch is a separate replica.
func (r *Replica) ID() cluster.ReplicaID { return ReplicaID(r.Name, r.Epoch) }

// ReplicaID builds a replica ID from a name and an epoch.
func ReplicaID(name string, epoch int64) cluster.ReplicaID {
	return cluster.ReplicaID(name + "." + strconv.FormatInt(epoch, 10))
}

// Head returns the serving member, or nil while it is not listed.
func (r *Replica) Head() *Server {
	if len(r.Members) > 0 && r.Members[0].Membership.Rank == 0 {
		return &r.Members[0]
	}
	return nil
}

// State returns the state of the serving member; empty while it is not listed.
func (r *Replica) State() State {
	if head := r.Head(); head != nil {
		return head.Membership.State
	}
	return ""
}

// Complete reports whether every member is listed and none is draining.
func (r *Replica) Complete() bool {
	if len(r.Members) != r.Size || r.Size == 0 {
		return false
	}
	for rank, m := range r.Members {
		if m.Membership.Rank != rank || m.Draining {
			return false
		}
	}
	return true
}

// Formed reports whether the replica is complete and no member is joining or broken.
func (r *Replica) Formed() bool {
	if !r.Complete() {
		return false
	}
	for _, m := range r.Members {
		if m.Membership.State == Joining || m.Membership.State == Broken {
			return false
		}
	}
	return true
}

// Serves reports whether the replica may take requests.
func (r *Replica) Serves() bool { return r.State() == Open && r.Formed() }

// MayKeepServing reports whether a replica that was serving with all members may keep taking
// requests. A member that is no longer listed may only be partitioned from the store and still
// be working. If it is really lost, the replica stalls, which is detected sooner than the list
// changes. A replica whose head is not listed takes no more requests.
func (r *Replica) MayKeepServing() bool {
	if r.State() != Open {
		return false
	}
	for _, m := range r.Members {
		if m.Draining || m.Membership.State == Joining || m.Membership.State == Broken {
			return false
		}
	}
	return true
}

// Replicas derives the replicas from the list. A replica's name contains its model (see
// ReplicaName), so the model is known even before any member has loaded it. Replicas of a model
// that their service does not have by the group rules have size 0.
func Replicas(l List, groups []rules.Group) []Replica {
	type attempt struct {
		name  string
		epoch int64
	}
	attempts := make(map[attempt]*Replica)
	byID := make(map[cluster.ReplicaID]*Replica)
	for i := range l.Servers {
		m := l.Servers[i].Membership
		if m == nil {
			continue
		}
		r := attempts[attempt{m.Replica, m.Epoch}]
		if r == nil {
			r = newReplica(&l.Servers[i], groups)
			attempts[attempt{m.Replica, m.Epoch}] = r
			byID[r.ID()] = r
		}
		r.Members = append(r.Members, l.Servers[i])
	}
	out := make([]Replica, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		r := byID[id]
		r.sortMembers()
		out = append(out, *r)
	}
	return out
}

// nameSeparator separates the model from the number in a replica name.
const nameSeparator = "/"

// ReplicaName returns the name of the n-th replica of a model.
func ReplicaName(model string, n int64) string { return fmt.Sprintf("%s%s%d", model, nameSeparator, n) }

// ModelOf returns the model in a replica name; empty if ReplicaName did not build the name.
func ModelOf(name string) string {
	i := strings.LastIndex(name, nameSeparator)
	if i < 0 {
		return ""
	}
	return name[:i]
}

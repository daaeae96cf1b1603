// Package fleet holds what is known of the backend servers where a list tells of
// every change of theirs: which there are, which replicas they form, and which of
// these may take requests.
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

// State is a member's part in its replica, as the member says it.
type State string

// States of a member. Only a serving member (rank 0) is ever Open or Closing;
// Broken is said by a serving member that lost another.
const (
	Joining State = "joining"
	Ready   State = "ready"
	Open    State = "open"
	Closing State = "closing"
	Broken  State = "broken"
)

// Membership ties a VM to a replica.
type Membership struct {
	// Replica and Epoch name one attempt to form a replica. A later epoch replaces
	// an earlier one, whatever the name.
	Replica string
	Epoch   int64
	// Rank is the VM's place in the list of members; rank 0 serves.
	Rank  int
	State State
}

// Server is one VM that hosts a model engine or a plain service, as listed.
type Server struct {
	ID      cluster.VMID
	Service cluster.Service
	Addr    string
	Zone    cluster.ZoneID
	Domain  cluster.DomainID
	// Slots is how many requests it runs at once.
	Slots int
	// Draining servers take no new work and leave soon.
	Draining bool
	// StartedAt is the start of the process; an id may come again with another one.
	StartedAt time.Time
	// Staged are the models whose weights the VM's host keeps.
	Staged []string
	// Model is what it has loaded; empty if nothing.
	Model string
	// Membership is nil for a VM that no replica holds.
	Membership *Membership
}

// Equal reports whether two entries say the same of one server.
func (s Server) Equal(o Server) bool {
	if s.ID != o.ID || s.Service != o.Service || s.Addr != o.Addr || s.Zone != o.Zone || s.Domain != o.Domain || s.Slots != o.Slots {
		return false
	}
	if s.Draining != o.Draining || !s.StartedAt.Equal(o.StartedAt) || s.Model != o.Model || !slices.Equal(s.Staged, o.Staged) {
		return false
	}
	if s.Membership == nil || o.Membership == nil {
		return s.Membership == o.Membership
	}
	return *s.Membership == *o.Membership
}

// IsMemberOf reports whether the server says that it is a member of the replica.
func (s Server) IsMemberOf(id cluster.ReplicaID) bool {
	return s.Membership != nil && ReplicaID(s.Membership.Replica, s.Membership.Epoch) == id
}

// List is all servers, ordered by id, as of a revision of the store.
type List struct {
	Revision int64
	// ChangedRevision is the revision at which Servers last became another list; zero where that
	// is not known. Lists of one process with the same one say the same.
	ChangedRevision int64
	// ReadAt is when the list was last confirmed, by this process's clock.
	ReadAt  time.Time
	Servers []Server
}

// SameServers reports whether two lists say the same, whatever their revisions.
func (l List) SameServers(o List) bool { return slices.EqualFunc(l.Servers, o.Servers, Server.Equal) }

// Find returns the server with the id, or nil.
func (l List) Find(id cluster.VMID) *Server {
	at, ok := slices.BinarySearchFunc(l.Servers, id, func(s Server, id cluster.VMID) int { return cmp.Compare(s.ID, id) })
	if !ok {
		return nil
	}
	return &l.Servers[at]
}

// Replica is one replica as its members' entries show it.
type Replica struct {
	Name  string
	Epoch int64
	Model string
	// Size is the number of members that the model asks for.
	Size int
	// Members are those listed, by rank. Some may be missing.
	Members []Server
}

// ID names the replica: another epoch is another replica.
func (r *Replica) ID() cluster.ReplicaID { return ReplicaID(r.Name, r.Epoch) }

// ReplicaID is the id of a replica's name and epoch.
func ReplicaID(name string, epoch int64) cluster.ReplicaID {
	return cluster.ReplicaID(name + "." + strconv.FormatInt(epoch, 10))
}

// Head is the serving member, nil while it is not listed.
func (r *Replica) Head() *Server {
	if len(r.Members) > 0 && r.Members[0].Membership.Rank == 0 {
		return &r.Members[0]
	}
	return nil
}

// State is what the serving member says; empty while it is not listed.
func (r *Replica) State() State {
	if head := r.Head(); head != nil {
		return head.Membership.State
	}
	return ""
}

// Complete reports whether every member is listed, and none is leaving.
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

// Formed reports whether every member has come to be ready under this name and epoch.
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

// MayKeepServing reports whether a replica that served complete may go on taking
// requests. A member that is not listed any more may be cut off from the store
// alone, and work on; if it is lost, the replica stands still, which shows sooner
// than the list does. A head that is not listed takes no more requests.
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

// Replicas derives the replicas from the list. The name of a replica says which
// model it was made for (see Name), so that one whose members have not loaded yet
// is known too. Replicas of a model without a group rule have size 0.
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
			r = &Replica{Name: m.Replica, Epoch: m.Epoch, Model: ModelOf(m.Replica)}
			r.Size = sizeOf(groups, r.Model)
			r.Members = make([]Server, 0, r.Size)
			attempts[attempt{m.Replica, m.Epoch}] = r
			byID[r.ID()] = r
		}
		r.Members = append(r.Members, l.Servers[i])
	}
	out := make([]Replica, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		r := byID[id]
		slices.SortFunc(r.Members, func(a, b Server) int { return cmp.Compare(a.Membership.Rank, b.Membership.Rank) })
		out = append(out, *r)
	}
	return out
}

// nameSeparator stands between a replica's model and its number.
const nameSeparator = "/"

// ReplicaName returns the name of the n-th replica of a model that a holder forms.
func ReplicaName(model string, n int64) string { return fmt.Sprintf("%s%s%d", model, nameSeparator, n) }

// ModelOf returns the model of a replica's name; empty for a name not made by Name.
func ModelOf(name string) string {
	at := strings.LastIndex(name, nameSeparator)
	if at < 0 {
		return ""
	}
	return name[:at]
}

func sizeOf(groups []rules.Group, model string) int {
	for i := range groups {
		if groups[i].Model == model {
			return groups[i].VMs
		}
	}
	return 0
}

package fleet

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Decoder decodes the store entry of one server, received at the given time.
type Decoder func(kv store.KV, receivedAt time.Time) (Server, error)

// Tracker maintains the list of servers and their replicas from the changes of the servers'
// entries. It skips unusable entries and logs each once until it is usable or removed.
//
// Each server rewrites its entry with each heartbeat. The work for a rewritten entry does not
// depend on the number of servers, and an entry that says the same leaves the list as it is.
// A Tracker is not safe for concurrent use.
type Tracker struct {
	decode Decoder
	log    *slog.Logger
	list   List
	// ids holds the server of each usable entry by key, and invalid the keys of the unusable ones.
	ids     map[string]cluster.VMID
	invalid map[string]bool
	// members holds the listed members of each replica.
	members map[cluster.ReplicaID][]cluster.VMID
}

// NewTracker returns a Tracker without servers.
func NewTracker(decode Decoder, log *slog.Logger) *Tracker {
	return &Tracker{decode: decode, log: log, ids: make(map[string]cluster.VMID), invalid: make(map[string]bool),
		members: make(map[cluster.ReplicaID][]cluster.VMID)}
}

// List returns the current list. Its servers must not be modified.
func (t *Tracker) List() List { return t.list }

// Delta names the servers that changed or were removed, and the replicas that they were or are
// members of.
type Delta struct {
	Servers  []cluster.VMID
	Replicas []cluster.ReplicaID
}

// Empty reports whether nothing changed.
func (d Delta) Empty() bool { return len(d.Servers) == 0 }

// Apply applies the changes of the entries.
func (t *Tracker) Apply(c Change) Delta {
	now := time.Now()
	updated, removed := make(map[cluster.VMID]Server), make(map[cluster.VMID]bool)
	for _, key := range c.Removed {
		delete(t.invalid, key)
		t.forget(key, removed)
	}
	for _, kv := range c.Written {
		server, err := t.decode(kv, now)
		if err != nil {
			t.recordInvalid(kv, err)
			t.forget(kv.Key, removed)
			continue
		}
		delete(t.invalid, kv.Key)
		t.ids[kv.Key] = server.ID
		if current := t.list.Find(server.ID); current == nil || !current.Equal(server) {
			updated[server.ID] = server
		}
	}
	t.list.Revision, t.list.ReadAt = c.Revision, now
	if len(updated)+len(removed) == 0 {
		return Delta{}
	}
	delta := t.updateMembers(updated, removed)
	t.list.Servers = merge(t.list.Servers, updated, removed)
	return delta
}

// forget adds the server of an entry to removed, if the entry had any.
func (t *Tracker) forget(key string, removed map[cluster.VMID]bool) {
	if id, found := t.ids[key]; found {
		delete(t.ids, key)
		removed[id] = true
	}
}

var invalidEntries = metrics.NewCounter("fennel_fleet_invalid_entries_total")

func (t *Tracker) recordInvalid(kv store.KV, err error) {
	if !t.invalid[kv.Key] { // each heartbeat of its server rewrites the entry
		invalidEntries.Inc()
		t.log.Warn("ignoring invalid server entry", "key", kv.Key, "revision", kv.ModRevision, "err", err.Error())
	}
	t.invalid[kv.Key] = true
}

// updateMembers updates the members of the replicas; the list is still the old one.
func (t *Tracker) updateMembers(updated map[cluster.VMID]Server, removed map[cluster.VMID]bool) (delta Delta) {
	affected := make(map[cluster.ReplicaID]bool)
	leave := func(id cluster.VMID) {
		delta.Servers = append(delta.Servers, id)
		old := t.list.Find(id)
		if old == nil || old.Membership == nil {
			return
		}
		replica := old.Membership.ID()
		affected[replica] = true
		t.members[replica] = slices.DeleteFunc(t.members[replica], func(member cluster.VMID) bool { return member == id })
		if len(t.members[replica]) == 0 {
			delete(t.members, replica)
		}
	}
	for id := range removed {
		leave(id)
	}
	for id, s := range updated {
		leave(id)
		if s.Membership != nil {
			replica := s.Membership.ID()
			affected[replica] = true
			t.members[replica] = append(t.members[replica], id)
		}
	}
	delta.Replicas = slices.Collect(maps.Keys(affected))
	return delta
}

// Replica returns the replica as described by its listed members, or nil if there are none.
func (t *Tracker) Replica(id cluster.ReplicaID, groups []rules.Group) *Replica {
	var r *Replica
	for _, member := range t.members[id] {
		s := t.list.Find(member)
		if r == nil {
			r = newReplica(s, groups)
		}
		r.Members = append(r.Members, *s)
	}
	if r != nil {
		r.sortMembers()
	}
	return r
}

// merge returns a new list of servers, ordered by ID.
func merge(servers []Server, updated map[cluster.VMID]Server, removed map[cluster.VMID]bool) []Server {
	out := make([]Server, 0, len(servers)+len(updated))
	for i := range servers {
		id := servers[i].ID
		if s, found := updated[id]; found {
			out = append(out, s)
			delete(updated, id)
		} else if !removed[id] {
			out = append(out, servers[i])
		}
	}
	if len(updated) > 0 {
		for _, s := range updated {
			out = append(out, s)
		}
		slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

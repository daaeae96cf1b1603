package engine

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// MemberSummary says in a few bytes what a list of MemberDigest says in some
// thousands, for as long as all members agree.
type MemberSummary struct {
	Count int `json:"count"`
	// OldestMs is the largest SeenAgoMs.
	OldestMs int64 `json:"oldest_ms"`
	// Hash is MembersHash of what the members believe.
	Hash string `json:"hash"`
}

// Brief returns the state with Summary in place of the members' lists.
func (s State) Brief() State {
	summary := &MemberSummary{Count: len(s.Members), Hash: MembersHash(s.Members)}
	for _, m := range s.Members {
		summary.OldestMs = max(summary.OldestMs, m.SeenAgoMs)
	}
	s.Summary = summary
	s.Members = nil
	s.Assignment.Members = nil
	s.Assignment.Addrs = nil
	return s
}

// MembersHash identifies members with their replicas and generations, whatever
// their order.
func MembersHash(members []MemberDigest) string {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b MemberDigest) int { return cmp.Compare(a.VM, b.VM) })
	hash := xxhash.New()
	for _, m := range sorted {
		_, _ = fmt.Fprintf(hash, "%q %q %d\n", m.VM, m.Replica, m.Generation)
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// ReplicaHash is the MembersHash of a replica whose members all confirm it.
func ReplicaHash(r cluster.Replica) string {
	members := make([]MemberDigest, len(r.Members))
	for i, vm := range r.Members {
		members[i] = MemberDigest{VM: vm, Replica: r.ID, Generation: r.Generation}
	}
	return MembersHash(members)
}

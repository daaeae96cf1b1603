package engine

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// MemberSummary replaces a list of MemberDigest, which takes some thousands of bytes,
// by a few bytes. It suffices as long as all members agree.
type MemberSummary struct {
	Count int `json:"count"`
	// OldestMs is the largest SeenAgoMs.
	OldestMs int64 `json:"oldest_ms"`
	// Hash is the MembersHash of the members' digests.
	Hash string `json:"hash"`
}

// Brief returns the state with Summary in place of the lists of members.
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

// MembersHash returns a hash of the members with their replicas and generations,
// independent of their order.
func MembersHash(members []MemberDigest) string {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b MemberDigest) int { return cmp.Compare(a.VM, b.VM) })
	hash := xxhash.New()
	for _, m := range sorted {
		_, _ = fmt.Fprintf(hash, "%q %q %d\n", m.VM, m.Replica, m.Generation)
	}
	return strconv.FormatUint(hash.Sum64(), 16)
}

// ReplicaHash returns the MembersHash of a replica that all its members confirm.
func ReplicaHash(r cluster.Replica) string {
	members := make([]MemberDigest, len(r.Members))
	for i, vm := range r.Members {
		members[i] = MemberDigest{VM: vm, Replica: r.ID, Generation: r.Generation}
	}
	return MembersHash(members)
}

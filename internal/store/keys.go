package store

import (
	"strconv"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Layout of the keys in the platform's service. Everything the project keeps
// lives under Root, so that one prefix can be inspected or removed.
const (
	Root = "/fennel/v1/"
	// RulesKey holds the whole rules file in force; its mod revision is the
	// rules revision that nodes and operators name.
	RulesKey = Root + "rules"
	// RulesHistoryPrefix + zero-padded version holds earlier files' metadata and deltas.
	RulesHistoryPrefix = Root + "rules-history/"
	claimsPrefix       = Root + "claims/"
	claimLeasesPrefix  = Root + "claim-leases/"
	zonesPrefix        = Root + "zones/"
)

// ClaimKey is where the claim of one idempotency key lives; digest is hex.
func ClaimKey(digest string) string { return claimsPrefix + digest }

// ClaimLeaseKey is attached to the lease that all claims of one time bucket share.
func ClaimLeaseKey(bucket int64) string {
	return claimLeasesPrefix + strconv.FormatInt(bucket, 10)
}

// PlacementLeaseKey is the zone's placement lease; its create revision is the fencing number.
func PlacementLeaseKey(zone cluster.ZoneID) string {
	return zonesPrefix + string(zone) + "/placement-lease"
}

// DatagramKey is where the nodes of a region keep the key that their datagrams are
// signed with, where the operators' settings give none.
func DatagramKey(region cluster.ZoneID) string { return zonesPrefix + string(region) + "/datagram-key" }

// ReplicasPrefix holds one key per committed replica of the zone.
func ReplicasPrefix(zone cluster.ZoneID) string { return zonesPrefix + string(zone) + "/replicas/" }

// ReplicaKey is the key of one committed replica.
func ReplicaKey(zone cluster.ZoneID, id cluster.ReplicaID) string {
	return ReplicasPrefix(zone) + string(id)
}

// LedgerPrefix holds the zone's outage ledger batches.
func LedgerPrefix(zone cluster.ZoneID) string { return zonesPrefix + string(zone) + "/ledger/" }

// GroupingHeadKey is written by every transaction that changes the zone's
// replicas and guards it: a late write by an earlier attempt then fails.
func GroupingHeadKey(zone cluster.ZoneID) string {
	return zonesPrefix + string(zone) + "/grouping-head"
}

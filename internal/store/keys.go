package store

import (
	"strconv"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Layout of the keys in the platform's key-value service. All keys of the project
// are under Root, so that they can be listed or removed by one prefix.
const (
	Root = "/fennel/v1/"
	// RulesKey holds the complete text of the current rules file. Its mod revision is
	// the rules revision that nodes and operators refer to.
	RulesKey = Root + "rules"
	// RulesHistoryPrefix + zero-padded version holds the metadata and delta of an earlier rules file.
	RulesHistoryPrefix = Root + "rules-history/"
	claimsPrefix       = Root + "claims/"
	claimLeasesPrefix  = Root + "claim-leases/"
	zonesPrefix        = Root + "zones/"
)

// ClaimKey returns the key of the claim of one idempotency key; digest is hex.
func ClaimKey(digest string) string { return claimsPrefix + digest }

// ClaimLeaseKey returns the key attached to the lease that all claims of one time bucket share.
func ClaimLeaseKey(bucket int64) string {
	return claimLeasesPrefix + strconv.FormatInt(bucket, 10)
}

// PlacementLeaseKey returns the key of the zone's placement lease. Its create revision is the fencing token.
func PlacementLeaseKey(zone cluster.ZoneID) string {
	return zonesPrefix + string(zone) + "/placement-lease"
}

// DatagramKey returns the key under which the nodes of a region share their datagram
// signing key when the settings contain none.
func DatagramKey(region cluster.ZoneID) string { return zonesPrefix + string(region) + "/datagram-key" }

// QuarantinesPrefix returns the prefix that holds one key per quarantined request of the region.
func QuarantinesPrefix(region cluster.ZoneID) string {
	return zonesPrefix + string(region) + "/quarantines/"
}

// QuarantineKey returns the key of one quarantined request.
func QuarantineKey(region cluster.ZoneID, fingerprint string) string {
	return QuarantinesPrefix(region) + fingerprint
}

// ReplicasPrefix returns the prefix that holds one key per committed replica of the zone.
func ReplicasPrefix(zone cluster.ZoneID) string { return zonesPrefix + string(zone) + "/replicas/" }

// ReplicaKey returns the key of one committed replica.
func ReplicaKey(zone cluster.ZoneID, id cluster.ReplicaID) string {
	return ReplicasPrefix(zone) + string(id)
}

// LedgerPrefix returns the prefix of the zone's batches of outage ledger records.
func LedgerPrefix(zone cluster.ZoneID) string { return zonesPrefix + string(zone) + "/ledger/" }

// GroupingHeadKey returns the key that every transaction on the zone's replicas
// both guards on and writes, so that a delayed write of an earlier attempt fails.
func GroupingHeadKey(zone cluster.ZoneID) string {
	return zonesPrefix + string(zone) + "/grouping-head"
}

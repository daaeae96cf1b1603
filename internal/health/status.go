package health

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

var errNoAddr = errors.New("no address is known for the serving VM")

// ReplicaStatus is the health of one committed replica as known to this node.
type ReplicaStatus struct {
	Replica cluster.Replica
	Healthy bool
	Reason  string
	// ConfirmedAt is the time of the newest confirmation from any source; zero if none.
	ConfirmedAt time.Time
	Load        engine.Load
	// OwnConfirmedAt and OwnBrokenAt are the results of this node's own polls. Only these
	// are sent to peers, so that old reports do not circulate. OwnBrokenAt is zero once a
	// newer confirmation is known.
	OwnConfirmedAt time.Time
	OwnBrokenAt    time.Time
}

func (t *Tracker) appendStatus(out []ReplicaStatus, now time.Time) []ReplicaStatus {
	for _, e := range t.entries {
		healthy, reason := t.evaluate(e, now)
		out = append(out, ReplicaStatus{
			Replica: e.replica, Healthy: healthy, Reason: reason, ConfirmedAt: e.confirmedAt(), Load: e.load,
			OwnConfirmedAt: e.ownDigestAt, OwnBrokenAt: e.reportableBreak(),
		})
	}
	return out
}

// reportableBreak returns the time of the failure that is reported to peers; zero if a
// confirmation from any node is newer.
func (e *entry) reportableBreak() time.Time {
	if e.digestAt.After(e.ownBrokenAt) {
		return time.Time{}
	}
	return e.ownBrokenAt
}

// Healthy reports whether the replica is healthy in the given generation.
func (t *Tracker) Healthy(id cluster.ReplicaID, generation int64, now time.Time) bool {
	e := t.entries[id]
	if e == nil || e.replica.Generation != generation {
		return false
	}
	healthy, _ := t.evaluate(e, now)
	return healthy
}

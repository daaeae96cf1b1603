package health

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

var errNoAddr = errors.New("no address known")

// ReplicaStatus is what the check knows of one committed replica.
type ReplicaStatus struct {
	Replica cluster.Replica
	Healthy   bool
	Reason  string
	// ConfirmedAt is the newest confirmation from any source; zero if none.
	ConfirmedAt time.Time
	Load        engine.Load
	// OwnConfirmedAt and OwnBrokenAt are what this node found by its own polls:
	// only these are told to peers, so that old news does not go round. OwnBrokenAt
	// is zero once a newer confirmation is known.
	OwnConfirmedAt time.Time
	OwnBrokenAt    time.Time
}

func (t *Tracker) appendStatus(out []ReplicaStatus, now time.Time) []ReplicaStatus {
	for _, e := range t.entries {
		whole, reason := t.verdict(e, now)
		out = append(out, ReplicaStatus{
			Replica: e.replica, Healthy: whole, Reason: reason, ConfirmedAt: e.confirmedAt(), Load: e.load,
			OwnConfirmedAt: e.ownDigestAt, OwnBrokenAt: e.toldBreak(),
		})
	}
	return out
}

// toldBreak is the break that peers are told of; zero when a confirmation by
// anyone is newer.
func (e *entry) toldBreak() time.Time {
	if e.digestAt.After(e.ownBrokenAt) {
		return time.Time{}
	}
	return e.ownBrokenAt
}

// Healthy reports whether the replica is whole at the given generation.
func (t *Tracker) Healthy(id cluster.ReplicaID, generation int64, now time.Time) bool {
	e := t.entries[id]
	if e == nil || e.replica.Generation != generation {
		return false
	}
	whole, _ := t.verdict(e, now)
	return whole
}

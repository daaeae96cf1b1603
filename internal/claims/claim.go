package claims

import (
	"context"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Claim is the permission to dispatch one call. The holder must call exactly one of
// Release, Finish and Abandon.
type Claim struct {
	manager *Manager
	call    Call
	digest  digest
	rec     record
	lease   store.LeaseID
	// createdAt is when Manager.Claim was called; revision is the mod revision of the
	// claim's key.
	createdAt time.Time
	revision  int64
}

// StillHeld reports whether the call may be dispatched at now. The caller checks it
// right before it sends the first byte; on false it must release the claim instead
// of dispatching.
//
// The process may be paused between claim and dispatch for longer than the claim is
// retained. The key may then have been claimed and run by another node, and
// dispatching would run the call twice. The monotonic clock detects a pause of the
// process; the wall clock detects a pause of the whole VM, during which the
// monotonic clock may stop. A pause of about the retention between this check and
// the first byte is not detected.
func (c *Claim) StillHeld(now time.Time) bool {
	byMonotonic := now.Sub(c.createdAt)
	byWall := now.Round(0).Sub(c.createdAt.Round(0))
	return byMonotonic < DispatchWindow && byWall < DispatchWindow && byWall > -MaxClockSkew
}

// Release frees the key of a call that was certainly not run. It waits up to
// releaseTimeout for the store, so that a repeat finds the key free on every node.
// If the store doesn't answer in time, the deletion continues in the background;
// until it succeeds, repeats on this node may take over the claim.
func (c *Claim) Release(ctx context.Context) {
	m := c.manager
	m.notRun.add(c.rec.ID)
	m.active.end(c.digest, c.rec.ID)
	m.logResult(c, "released", "the call was not run")
	attempted := m.remove(c, c.revision)
	timeout := time.NewTimer(releaseTimeout)
	defer timeout.Stop()
	select {
	case <-attempted:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// Finish records the answer of a call that ran. It returns at once; repeats on this
// node are answered from memory until the store has the answer.
func (c *Claim) Finish(_ context.Context, answer Answer) {
	recorded := limitAnswer(answer)
	if !c.manager.settlements.hasRoomFor(len(recorded.Body)) {
		recorded.Body, recorded.BodyOmitted = nil, len(answer.Body) > 0
	}
	c.settle(Done, recorded)
}

// Abandon records that it is unknown whether the call ran. It returns at once.
func (c *Claim) Abandon(context.Context) { c.settle(Unknown, nil) }

func (c *Claim) settle(state State, answer *Answer) {
	m := c.manager
	rec := c.rec
	rec.State, rec.Answer = state, answer
	m.active.update(c.digest, rec)
	m.logResult(c, "settled-"+string(state), "the call was dispatched")
	end := func() { m.active.end(c.digest, c.rec.ID) }
	key := c.digest.storeKey()
	m.settlements.add(&settlement{
		write: newWrite(store.ModifiedAt(key, c.revision), store.Put(key, rec.encode(), c.lease)),
		onResult: func(r writeResult) {
			if !r.applied {
				m.logResult(c, "not-recorded", "the claim was no longer in the store")
			}
			end()
		},
		onDrop: func() {
			m.logResult(c, "not-recorded", "too many outcomes are waiting for the store")
			end()
		},
	})
}

// remove queues the deletion of the claim written at revision. The returned channel
// is closed after the first attempt.
func (m *Manager) remove(c *Claim, revision int64) <-chan struct{} {
	key := c.digest.storeKey()
	st := &settlement{
		write:    newWrite(store.ModifiedAt(key, revision), store.Delete(key)),
		onResult: func(writeResult) {},
		onDrop:   func() {},
	}
	m.settlements.add(st)
	return st.attempted
}

// unmatchableRevision makes a guard fail unconditionally, so that the transaction
// only reads the key.
const unmatchableRevision = -1

// removeUnconfirmed deletes the claim if its write, whose outcome is unknown, reached
// the store. If the key is absent, the write may still be in transit; with recheck
// set the store is read once more after recheckDelay.
func (m *Manager) removeUnconfirmed(c *Claim, recheck bool) {
	key := c.digest.storeKey()
	m.settlements.add(&settlement{
		write: newWrite(store.ModifiedAt(key, unmatchableRevision), store.Put(key, c.rec.encode(), 0)),
		onResult: func(r writeResult) {
			switch {
			case r.applied: // the key holds this claim's value
				m.remove(c, r.revision)
			case r.found == nil && recheck:
				time.AfterFunc(recheckDelay, func() { m.removeUnconfirmed(c, false) })
			}
		},
		onDrop: func() {},
	})
}

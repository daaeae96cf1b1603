package claims

import (
	"context"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Claim is the right to dispatch one call. Exactly one of Release, Finish and
// Abandon is called.
type Claim struct {
	manager *Manager
	call    Call
	digest  digest
	rec     record
	lease   store.LeaseID
	// made is when Claim was called; revision is that of the claim's key.
	made     time.Time
	revision int64
}

// StillHeld reports whether the call may be dispatched at now. It is asked right
// before the first byte goes out; if it says no, the call is not dispatched and
// the claim is released.
//
// A process may be paused between claim and dispatch, for longer than the claim
// is kept. The key may then have been claimed and run elsewhere, and dispatching
// would run it twice. The monotonic clock shows a pause of the process; the wall
// clock shows a pause of the whole VM, during which the monotonic clock can stand
// still. What remains is a pause of about the retention between this check and
// the first byte.
func (c *Claim) StillHeld(now time.Time) bool {
	byMonotonic := now.Sub(c.made)
	byWall := now.Round(0).Sub(c.made.Round(0))
	return byMonotonic < DispatchWindow && byWall < DispatchWindow && byWall > -MaxClockSkew
}

// Release gives the key back: the call was certainly not run. It waits a moment
// for the store, so that a repeat finds the key free at every node; if the store
// doesn't answer, the removal goes on in the background, and until then repeats
// at this node may take the claim over.
func (c *Claim) Release(ctx context.Context) {
	m := c.manager
	m.freed.add(c.rec.ID)
	m.active.end(c.digest, c.rec.ID)
	m.note(c, "released", "the call was not run")
	tried := m.remove(c, c.revision)
	limit := time.NewTimer(releaseWait)
	defer limit.Stop()
	select {
	case <-tried:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// Finish records the answer of the call, which ran. It returns at once; repeats
// at this node are answered from memory until the store has the answer.
func (c *Claim) Finish(_ context.Context, answer Answer) {
	kept := bounded(answer)
	if !c.manager.settle.roomFor(len(kept.Body)) {
		kept.Body, kept.BodyOmitted = nil, len(answer.Body) > 0
	}
	c.settle(Done, kept)
}

// Abandon records that the call's fate is unknown. It returns at once.
func (c *Claim) Abandon(context.Context) { c.settle(Unknown, nil) }

func (c *Claim) settle(state State, answer *Answer) {
	m := c.manager
	rec := c.rec
	rec.State, rec.Answer = state, answer
	m.active.update(c.digest, rec)
	m.note(c, "settled-"+string(state), "the call was dispatched")
	end := func() { m.active.end(c.digest, c.rec.ID) }
	key := c.digest.storeKey()
	m.settle.add(&settlement{
		write: newWrite(store.ModifiedAt(key, c.revision), store.Put(key, rec.encode(), c.lease)),
		after: func(r writeResult) {
			if !r.applied {
				m.note(c, "not-recorded", "the claim was no longer in the store")
			}
			end()
		},
		dropped: func() {
			m.note(c, "not-recorded", "too many outcomes wait for the store")
			end()
		},
	})
}

// remove deletes the claim written at revision and returns a channel that closes
// once that was tried.
func (m *Manager) remove(c *Claim, revision int64) <-chan struct{} {
	key := c.digest.storeKey()
	st := &settlement{
		write:   newWrite(store.ModifiedAt(key, revision), store.Delete(key)),
		after:   func(writeResult) {},
		dropped: func() {},
	}
	m.settle.add(st)
	return st.tried
}

// neverRevision guards a write that is made only for the sake of its reading.
const neverRevision = -1

// removeLost looks for a claim whose write had an unknown outcome and deletes it.
// Not found, it may still be on its way, so it is looked for once more later.
func (m *Manager) removeLost(c *Claim, again bool) {
	key := c.digest.storeKey()
	m.settle.add(&settlement{
		write: newWrite(store.ModifiedAt(key, neverRevision), store.Put(key, c.rec.encode(), 0)),
		after: func(r writeResult) {
			switch {
			case r.applied: // the key holds this claim's own value
				m.remove(c, r.revision)
			case r.found == nil && again:
				time.AfterFunc(recheckAfter, func() { m.removeLost(c, false) })
			}
		},
		dropped: func() {},
	})
}

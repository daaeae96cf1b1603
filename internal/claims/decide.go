package claims

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// verdict is what a repeat of a call gets.
type verdict int

// A takeOver repeat runs the call: the claim found is this process's own and
// was certainly never dispatched, or was not run by the backend server.
const (
	inProgress verdict = iota
	replay
	outcomeUnknown
	otherBody
	takeOver
)

// String returns the verdict as it appears in logs and metrics.
func (v verdict) String() string {
	switch v {
	case replay:
		return "replay"
	case outcomeUnknown:
		return "unknown"
	case otherBody:
		return "other-body"
	case takeOver:
		return "take-over"
	default:
		return "in-progress"
	}
}

// found is what a repeat has to decide on.
type found struct {
	rec  record
	call Call
	self writer
	// freed is set when the claim is known never to have run.
	freed bool
	now   time.Time
	// pendingLimit is the age from which a pending claim counts as lost.
	pendingLimit time.Duration
}

// decide says what a repeat gets, and why.
func decide(f found) (v verdict, reason string) {
	age := f.now.Sub(time.UnixMilli(f.rec.ClaimedMs))
	switch {
	case !f.rec.sameBody(f.call):
		return otherBody, "the key was used with another body"
	case f.rec.State == Done && f.rec.Answer != nil:
		return replay, "the call has run"
	case f.rec.State != Pending:
		return outcomeUnknown, "the claim's fate is unknown"
	case f.freed:
		return takeOver, "this node's own claim never ran"
	case f.self.wroteEarlier(f.rec.ID):
		return outcomeUnknown, "this node restarted since it claimed the key"
	case age > f.pendingLimit:
		return outcomeUnknown, "the claim is older than any call takes"
	default:
		return inProgress, "another request holds the key"
	}
}

// keyTime reads the time embedded in a key that is a UUID of version 7 (RFC
// 9562): its first 48 bits are Unix milliseconds.
func keyTime(key string) (time.Time, bool) {
	const uuidLen, versionAt = 36, 14
	if len(key) != uuidLen || key[versionAt] != '7' {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// checkKey refuses keys that are malformed or, where they carry a time, too old
// for their claim to be still kept: such a repeat would run a second time.
func checkKey(key string, now time.Time, retention time.Duration, requireTimed bool) *fennelerr.Error {
	if len(key) == 0 || len(key) > MaxKeyLen {
		return refuse(fennelerr.InvalidRequest, fennelerr.NotRun, "the Idempotency-Key must have 1 to %d bytes", MaxKeyLen)
	}
	at, timed := keyTime(key)
	switch {
	case !timed && requireTimed:
		return refuse(fennelerr.InvalidRequest, fennelerr.NotRun, "the Idempotency-Key must be a UUID of version 7")
	case !timed:
		return nil
	case at.After(now.Add(MaxClockSkew)):
		return refuse(fennelerr.InvalidRequest, fennelerr.NotRun, "the Idempotency-Key's time lies in the future")
	case now.Sub(at) > retention-keyTimeMargin:
		return refuse(fennelerr.KeyExpired, fennelerr.Unknown, "the Idempotency-Key is older than claims are kept; whether the call ran is not known any more")
	}
	return nil
}

func refuse(code fennelerr.Code, run fennelerr.RunState, format string, args ...any) *fennelerr.Error {
	return fennelerr.New(code, format, args...).WithOp("claims.claim").WithField("Idempotency-Key").WithRun(run)
}

// refusal turns a verdict other than replay and takeOver into the caller's error.
func refusal(v verdict) *fennelerr.Error {
	switch v {
	case otherBody:
		// This body was certainly not run; the key's first body may have been.
		return refuse(fennelerr.KeyReused, fennelerr.NotRun, "the key was used before with another method, path or body")
	case outcomeUnknown:
		return refuse(fennelerr.OutcomeUnknown, fennelerr.Unknown, "an earlier call with this key may have run; it will not be run again")
	default:
		// The first call may be running: saying not-run would invite the caller
		// to book anew under another key.
		return refuse(fennelerr.KeyInProgress, fennelerr.Unknown, "a call with this key is in progress").WithRetryAfter(inProgressRetry)
	}
}

// inProgressRetry is when a repeat of a call in progress may come back.
const inProgressRetry = time.Second

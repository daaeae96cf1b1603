package claims

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// decision is how a repeat of a call is handled.
type decision int

// With takeOver the repeat runs the call: the existing claim was made by this process
// and was certainly never dispatched, or the backend server did not run it.
const (
	inProgress decision = iota
	replay
	outcomeUnknown
	otherBody
	takeOver
)

// String returns the decision's name in logs and metrics.
func (d decision) String() string {
	switch d {
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

// repeatCall is the input of decide: the existing record and the repeated call.
type repeatCall struct {
	rec     record
	call    Call
	process processID
	// notRun is set if the claimed call is known not to have run.
	notRun bool
	now    time.Time
	// pendingLimit is the age above which a pending claim's outcome counts as unknown.
	pendingLimit time.Duration
}

// decide returns the decision for a repeat and its reason.
func decide(r repeatCall) (d decision, reason string) {
	age := r.now.Sub(time.UnixMilli(r.rec.ClaimedMs))
	switch {
	case !r.rec.sameBody(r.call):
		return otherBody, "the key was used with another body"
	case r.rec.State == Done && r.rec.Answer != nil:
		return replay, "the call has run"
	case r.rec.State != Pending:
		return outcomeUnknown, "the outcome of the claimed call is unknown"
	case r.notRun:
		return takeOver, "this node's own claim was never run"
	case r.process.wroteEarlier(r.rec.ID):
		return outcomeUnknown, "this node restarted since it claimed the key"
	case age > r.pendingLimit:
		return outcomeUnknown, "the claim is older than any call takes"
	default:
		return inProgress, "another request holds the key"
	}
}

// keyTimestamp extracts the timestamp of a key that is a UUID version 7 (RFC 9562),
// whose first 48 bits are Unix milliseconds.
func keyTimestamp(key string) (time.Time, bool) {
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

// checkKey rejects malformed keys, keys from the future and keys whose timestamp is
// so old that their claim may have expired: such a repeat could run a second time.
func checkKey(key string, now time.Time, retention time.Duration, requireUUIDv7 bool) *fennelerr.Error {
	if len(key) == 0 || len(key) > MaxKeyLen {
		return refuse(fennelerr.InvalidRequest, fennelerr.NotRun, "the Idempotency-Key must have 1 to %d bytes", MaxKeyLen)
	}
	at, timed := keyTimestamp(key)
	switch {
	case !timed && requireUUIDv7:
		return refuse(fennelerr.InvalidRequest, fennelerr.NotRun, "the Idempotency-Key must be a UUID version 7")
	case !timed:
		return nil
	case at.After(now.Add(MaxClockSkew)):
		return refuse(fennelerr.InvalidRequest, fennelerr.NotRun, "the timestamp in the Idempotency-Key is in the future")
	case now.Sub(at) > retention-keyTimeMargin:
		return refuse(fennelerr.KeyExpired, fennelerr.Unknown, "the Idempotency-Key is older than the claim retention; whether the call ran is no longer known")
	}
	return nil
}

func refuse(code fennelerr.Code, run fennelerr.RunState, format string, args ...any) *fennelerr.Error {
	return fennelerr.New(code, format, args...).WithOp("claims.claim").WithField("Idempotency-Key").WithRun(run)
}

// refusal returns the caller's error for a decision other than replay and takeOver.
func refusal(d decision) *fennelerr.Error {
	switch d {
	case otherBody:
		// This body was certainly not run; the first body sent with the key may have been.
		return refuse(fennelerr.KeyReused, fennelerr.NotRun, "the key was used before with another method, path or body")
	case outcomeUnknown:
		return refuse(fennelerr.OutcomeUnknown, fennelerr.Unknown, "an earlier call with this key may have run; it will not be run again")
	default:
		// The first call may be running. Reporting not-run would lead the caller to
		// send the call again under another key.
		return refuse(fennelerr.KeyInProgress, fennelerr.Unknown, "a call with this key is in progress").WithRetryAfter(inProgressRetry)
	}
}

// inProgressRetry is the Retry-After for a repeat of a call in progress.
const inProgressRetry = time.Second

// Package suspect finds the requests that crash replicas. A crash makes all of
// the replica's requests in flight suspects; a suspect is retried alone; success
// clears it and a crash while it runs alone quarantines its fingerprint on every
// node.
//
// Evidence travels as marks in the heartbeats (see Tracker.Section and
// Tracker.Receive) and is never agreed upon: nodes that cannot hear each other
// each pay for finding out.
package suspect

import (
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Fingerprint identifies a request by its content: team, path and body.
type Fingerprint [16]byte

// String returns the fingerprint in hex, as it appears in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Outcome is how a run on a replica ended.
type Outcome int

const (
	// Finished means that the whole answer came. It clears a suspect.
	Finished Outcome = iota
	// Crashed means that the replica crashed under the run.
	Crashed
	// Abandoned means that the run ended otherwise, such as by its caller going away. It
	// proves nothing: a crash may have been about to come.
	Abandoned
)

// key is the part of a fingerprint that nodes exchange.
type key uint64

// keySize is the encoded size of a key in bytes.
const keySize = 8

func (f Fingerprint) key() key { return key(binary.BigEndian.Uint64(f[:keySize])) }

func (k key) String() string { return hex.EncodeToString(k.bytes()) }

func (k key) bytes() []byte { return binary.BigEndian.AppendUint64(nil, uint64(k)) }

func keyFrom(b []byte) (key, bool) {
	if len(b) < keySize {
		return 0, false
	}
	return key(binary.BigEndian.Uint64(b)), true
}

// Timing holds the durations of the rules. Zero fields take the defaults.
type Timing struct {
	// ClaimDelay is how long an announced retry waits for word of another node
	// that announced the same.
	ClaimDelay time.Duration
	// VerdictDelay is how long the verdict on a crash waits for word of other
	// suspects that were in flight on the same replica.
	VerdictDelay time.Duration
	// RetryTurn is how long each node has to put a suspect on a free replica before
	// the next one may.
	RetryTurn time.Duration
	// ClaimTTL ends a claim whose retry has not begun.
	ClaimTTL time.Duration
	// RunnerTTL ends belief in another node's retry that is not heard of again.
	RunnerTTL time.Duration
	// SuspectFor ends a suspicion that nothing confirmed or cleared.
	SuspectFor time.Duration
	// QuarantineFor is how long a fingerprint is refused after it was last sent.
	QuarantineFor time.Duration
	// MaxQuarantine bounds a quarantine that is prolonged by being sent again.
	MaxQuarantine time.Duration
	// ProbationFor is how long after its quarantine a request still runs alone.
	ProbationFor time.Duration
}

// Defaults of Timing.
const (
	DefaultClaimDelay    = 300 * time.Millisecond
	DefaultVerdictDelay  = 2 * time.Second
	DefaultRetryTurn     = 500 * time.Millisecond
	DefaultClaimTTL      = 10 * time.Second
	DefaultRunnerTTL     = 10 * time.Second
	DefaultSuspectFor    = 10 * time.Minute
	DefaultQuarantineFor = 15 * time.Minute
	DefaultMaxQuarantine = 4 * time.Hour
	DefaultProbationFor  = 24 * time.Hour
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.ClaimDelay, DefaultClaimDelay)
	setDefault(&t.VerdictDelay, DefaultVerdictDelay)
	setDefault(&t.RetryTurn, DefaultRetryTurn)
	setDefault(&t.ClaimTTL, DefaultClaimTTL)
	setDefault(&t.RunnerTTL, DefaultRunnerTTL)
	setDefault(&t.SuspectFor, DefaultSuspectFor)
	setDefault(&t.QuarantineFor, DefaultQuarantineFor)
	setDefault(&t.MaxQuarantine, DefaultMaxQuarantine)
	setDefault(&t.ProbationFor, DefaultProbationFor)
	return t
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

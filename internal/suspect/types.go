// Package suspect detects requests that crash replicas. A crash makes all requests in
// flight on the replica suspects. A suspect is retried alone: if the retry finishes,
// the suspect is cleared; if the replica crashes again, the request's fingerprint is
// quarantined on every node.
//
// Evidence is exchanged as marks in the heartbeats (see Tracker.Section and
// Tracker.Receive) without consensus: nodes that cannot communicate each detect a
// crashing request independently.
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Fingerprint identifies a request by its team, path and body.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(team cluster.TeamID, path string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(team))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	var fp Fingerprint
	copy(fp[:], h.Sum(nil))
	return fp
}

// String returns the fingerprint in hex, as it appears in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Short returns the part of the fingerprint that nodes exchange, in hex.
func (f Fingerprint) Short() string { return f.key().String() }

// Outcome is how a run on a replica ended.
type Outcome int

const (
	// Finished means that the answer is complete. It clears a suspect.
	Finished Outcome = iota
	// Crashed means that the replica crashed during the run.
	Crashed
	// Abandoned means that the run ended in another way, for example because its caller
	// disconnected. It is no evidence that the request is harmless: a crash may have
	// been about to happen.
	Abandoned
)

// key is the part of a fingerprint that nodes exchange.
type key uint64

// keySize is the encoded size of a key in bytes.
const keySize = 8

func (f Fingerprint) key() key { return key(binary.BigEndian.Uint64(f[:keySize])) }

func (k key) String() string { return hex.EncodeToString(k.bytes()) }

func (k key) bytes() []byte { return binary.BigEndian.AppendUint64(nil, uint64(k)) }

// parseShort parses the result of Fingerprint.Short.
func parseShort(text string) (key, bool) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != keySize {
		return 0, false
	}
	return parseKey(b)
}

func parseKey(b []byte) (key, bool) {
	if len(b) < keySize {
		return 0, false
	}
	return key(binary.BigEndian.Uint64(b)), true
}

// Timing holds the durations of the rules. Zero fields take the defaults.
type Timing struct {
	// ClaimDelay is how long a node waits after claiming a retry for competing claims
	// of other nodes.
	ClaimDelay time.Duration
	// VerdictDelay is how long the verdict on a crash waits for reports of other
	// suspects that were in flight on the same replica.
	VerdictDelay time.Duration
	// RetryTurn is how long each node has to place a suspect on a free replica before
	// the next node in rank may do so.
	RetryTurn time.Duration
	// MaxTurnWait bounds the wait for a node's turn, whatever its rank. The nodes whose turns
	// would come later share the last one.
	MaxTurnWait time.Duration
	// ClaimTTL is how long a claim is valid if its retry does not start.
	ClaimTTL time.Duration
	// RunnerTTL is how long another node's retry is assumed to continue without a
	// further report.
	RunnerTTL time.Duration
	// SuspectFor is how long a suspicion lasts that is neither confirmed nor cleared.
	SuspectFor time.Duration
	// QuarantineFor is how long a fingerprint is refused after it was last sent.
	QuarantineFor time.Duration
	// MaxQuarantine bounds a quarantine that is extended because the request is sent
	// again.
	MaxQuarantine time.Duration
	// ProbationFor is how long after its quarantine a request still runs alone.
	ProbationFor time.Duration
}

// Defaults of Timing.
const (
	DefaultClaimDelay    = 300 * time.Millisecond
	DefaultVerdictDelay  = 2 * time.Second
	DefaultRetryTurn     = 500 * time.Millisecond
	DefaultMaxTurnWait   = 4 * time.Second
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
	setDefault(&t.MaxTurnWait, DefaultMaxTurnWait)
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

// Package ledger accounts for outages: when replicas of a group were down, how
// many accelerators lay idle though a group could have used them, and when
// nobody was looking.
//
// An observer (a node with the zone's ledger duty) feeds events to a Recorder,
// which cuts time into windows. A window says what the observer saw and for which
// time it vouches. Windows are appended to the store and never changed; a mistake
// is mended by appending a Correction. A Report is made from the windows of all
// observers: time without any window is unobserved, never up or down, and where
// observers disagree both views are kept, as a lower and an upper bound.
package ledger

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Measure is what an interval accounts for.
type Measure string

// Downtime is a replica that could not serve, Stranded accelerators that were
// idle while their group wanted replicas, Unobserved time without an observer.
const (
	Downtime   Measure = "downtime"
	Stranded   Measure = "stranded"
	Unobserved Measure = "unobserved"
)

// Cause is a short stable word such as "vm-lost", "regrouping" or "planned".
type Cause string

// MaxEvidence bounds the evidence kept with an interval, in bytes.
const MaxEvidence = 200

// EventKind is what an observer saw.
type EventKind int

// Events. ReplicaGone ends a replica that regrouping has replaced. StrandedCount
// states the number of stranded accelerators of a group under one cause; zero ends it.
const (
	ReplicaDown EventKind = iota
	ReplicaUp
	ReplicaGone
	StrandedCount
)

// Event is one observation. Right after the start of an observer, the state of
// every replica is fed once, so that what was down before is seen.
type Event struct {
	Kind    EventKind
	At      time.Time
	Group   cluster.GroupName
	Replica cluster.ReplicaID // not for StrandedNow
	Cause   Cause
	// Evidence says in a few words what was seen, such as "vm-7: no answer for 3s".
	Evidence string
	Count    int // accelerators, for StrandedNow
}

// Interval is a time during which a measure had one level. An outage that lasts
// over several windows is kept in pieces with the same Root.
type Interval struct {
	ID      string            `json:"id"`
	Root    string            `json:"root"`
	Measure Measure           `json:"measure"`
	Group   cluster.GroupName `json:"group,omitempty"`
	Replica cluster.ReplicaID `json:"replica,omitempty"`
	From    time.Time         `json:"from"`
	To      time.Time         `json:"to"`
	Cause   Cause             `json:"cause,omitempty"`
	// Evidence is what the observer saw when the interval began.
	Evidence string `json:"evidence,omitempty"`
	// Accelerators is the level of a stranded interval.
	Accelerators int `json:"accelerators,omitempty"`
}

// Span is a half-open time span.
type Span struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// Window is what one observer saw in one stretch of time.
type Window struct {
	Observer cluster.NodeID `json:"observer"`
	// Incarnation and Seq make the window's key unique, so that sending it
	// again is idempotent.
	Incarnation uint64         `json:"incarnation"`
	Seq         uint64         `json:"seq"`
	Zone        cluster.ZoneID `json:"zone"`
	// Covered is the time that the observer vouches for; pauses are missing from it.
	Covered   []Span     `json:"covered"`
	Intervals []Interval `json:"intervals,omitempty"`
}

// Correction replaces an interval, named by its root, in the totals. Both stay
// visible. A correction whose From equals its To retracts the interval.
type Correction struct {
	ID       string    `json:"id"`
	Corrects string    `json:"corrects"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Cause    Cause     `json:"cause,omitempty"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
}

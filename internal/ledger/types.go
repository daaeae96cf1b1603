// Package ledger records outages: when replicas of a group were down, how many
// accelerators were idle although a group could have used them, and for which time
// there was no observer.
//
// An observer (a node with the zone's ledger duty) passes events to a Recorder, which
// divides time into windows. A window contains the intervals that the observer saw and
// the time that it covered. Windows are appended to the store and never changed; errors
// are corrected by appending a Correction. A Report is made from the windows of all
// observers: time that no window covers is unobserved, neither up nor down. Where
// observers disagree, the report has a lower and an upper bound.
package ledger

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Measure is the quantity that an interval measures.
type Measure string

// Downtime is the time that a replica could not serve. Stranded counts accelerators that
// were idle while their group wanted replicas. Unobserved is time without an observer.
const (
	Downtime   Measure = "downtime"
	Stranded   Measure = "stranded"
	Unobserved Measure = "unobserved"
)

// Cause is a short stable identifier such as "vm-lost", "regrouping" or "planned".
type Cause string

// MaxEvidence is the maximum length of an interval's evidence, in bytes. Longer evidence
// is truncated.
const MaxEvidence = 200

// EventKind is the type of an Event.
type EventKind int

// Event kinds. ReplicaGone ends the downtime of a replica that regrouping has replaced.
// StrandedCount sets the number of a group's stranded accelerators with one cause; zero
// ends the interval.
const (
	ReplicaDown EventKind = iota
	ReplicaUp
	ReplicaGone
	StrandedCount
)

// Event is one observation. An observer that has started passes the state of every
// replica once, so that replicas that were down before are recorded.
type Event struct {
	Kind    EventKind
	At      time.Time
	Group   cluster.GroupName
	Replica cluster.ReplicaID // unset for StrandedCount
	Cause   Cause
	// Evidence is a short description of the observation, such as
	// "vm-7: no answer for 3s".
	Evidence string
	Count    int // accelerators, for StrandedCount only
}

// Interval is a period in which a measure had a constant level. An interval that spans
// several windows is stored in pieces with the same Root.
type Interval struct {
	ID      string            `json:"id"`
	Root    string            `json:"root"`
	Measure Measure           `json:"measure"`
	Group   cluster.GroupName `json:"group,omitempty"`
	Replica cluster.ReplicaID `json:"replica,omitempty"`
	From    time.Time         `json:"from"`
	To      time.Time         `json:"to"`
	Cause   Cause             `json:"cause,omitempty"`
	// Evidence is that of the event that began the interval.
	Evidence string `json:"evidence,omitempty"`
	// Accelerators is the level of an interval of the measure Stranded.
	Accelerators int `json:"accelerators,omitempty"`
}

// Span is a half-open time span: To is not part of it.
type Span struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// Window contains the observations of one observer in one period.
type Window struct {
	Observer cluster.NodeID `json:"observer"`
	// Incarnation and Seq make the window's key unique, so that writing it again is
	// idempotent.
	Incarnation uint64         `json:"incarnation"`
	Seq         uint64         `json:"seq"`
	Zone        cluster.ZoneID `json:"zone"`
	// Covered is the time in which the observer was running, without pauses longer than
	// RecorderOptions.MaxGap.
	Covered   []Span     `json:"covered"`
	Intervals []Interval `json:"intervals,omitempty"`
}

// Correction replaces an interval, identified by its root, in the totals. Reports list
// both. A correction whose From equals its To retracts the interval.
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

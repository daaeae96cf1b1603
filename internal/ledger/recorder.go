package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// RecorderOptions configures a Recorder.
type RecorderOptions struct {
	Observer    cluster.NodeID
	Incarnation uint64
	Zone        cluster.ZoneID
	// MaxGap is the longest time between two ticks that counts as observed; zero means
	// DefaultMaxGap.
	MaxGap time.Duration
}

// DefaultMaxGap allows for a few missed ticks at the Writer's interval of one second.
const DefaultMaxGap = 5 * time.Second

// Recorder turns the events of one observer into windows. It has no clock: every call
// passes the time. It is not safe for concurrent use.
type Recorder struct {
	opts RecorderOptions
	seq  uint64
	// rootCount is the number of intervals started.
	rootCount uint64
	// start is the beginning of the covered span in progress, last the newest tick.
	start, last   time.Time
	covered       []Span
	closedPieces  []Interval
	openIntervals map[subject]*openInterval
	// LateEvents is the number of events from before the covered span in progress. They
	// are recorded at its start, since closed windows are not changed.
	LateEvents int
}

// subject identifies what an interval measures: a replica, or a group's stranded
// accelerators with one cause.
type subject struct {
	measure Measure
	group   cluster.GroupName
	replica cluster.ReplicaID
	cause   Cause
}

type openInterval struct {
	root     string
	from     time.Time
	cause    Cause
	evidence string
	level    int
	pieces   int
}

// NewRecorder returns a Recorder that observes from start on.
func NewRecorder(opts RecorderOptions, start time.Time) *Recorder {
	if opts.MaxGap == 0 {
		opts.MaxGap = DefaultMaxGap
	}
	return &Recorder{opts: opts, start: start, last: start, openIntervals: make(map[subject]*openInterval)}
}

// Tick records that the observer was running until now. After a pause longer than
// MaxGap it can't know what happened during the pause: a replica may have gone down and
// come back. The pause is left out of the covered time, and open intervals continue
// after it.
func (r *Recorder) Tick(now time.Time) {
	if now.Sub(r.last) > r.opts.MaxGap || now.Before(r.last) {
		r.splitOpen(r.last)
		r.addCovered(r.last)
		r.start = now
		for _, o := range r.openIntervals {
			o.from = now
		}
	}
	r.last = now
}

// Apply records an event. An event from before the covered span in progress is recorded
// at the start of that span and counted in LateEvents.
func (r *Recorder) Apply(ev Event) {
	if ev.At.Before(r.start) {
		r.LateEvents++
		ev.At = r.start
	}
	r.Tick(laterOf(ev.At, r.last))
	if len(ev.Evidence) > MaxEvidence {
		ev.Evidence = ev.Evidence[:MaxEvidence]
	}
	switch ev.Kind {
	case ReplicaDown:
		r.setLevel(subject{measure: Downtime, group: ev.Group, replica: ev.Replica}, ev, 1)
	case ReplicaUp, ReplicaGone:
		r.setLevel(subject{measure: Downtime, group: ev.Group, replica: ev.Replica}, ev, 0)
	case StrandedCount:
		r.setLevel(subject{measure: Stranded, group: ev.Group, cause: ev.Cause}, ev, ev.Count)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// setLevel changes a subject's level. It does nothing if level and cause are unchanged.
func (r *Recorder) setLevel(s subject, ev Event, level int) {
	o := r.openIntervals[s]
	if o != nil && o.level == level && o.cause == ev.Cause {
		return
	}
	if o != nil {
		r.closePiece(s, o, ev.At)
		delete(r.openIntervals, s)
	}
	if level > 0 {
		r.openIntervals[s] = &openInterval{root: r.nextRoot(), from: ev.At, cause: ev.Cause, evidence: ev.Evidence, level: level}
	}
}

// nextRoot returns an interval ID that is unique over all observers and their restarts.
func (r *Recorder) nextRoot() string {
	r.rootCount++
	return fmt.Sprintf("%s/%x/%d", r.opts.Observer, r.opts.Incarnation, r.rootCount)
}

func (r *Recorder) closePiece(s subject, o *openInterval, at time.Time) {
	if !at.After(o.from) {
		return
	}
	o.pieces++
	piece := Interval{
		ID:       fmt.Sprintf("%s.%d", o.root, o.pieces),
		Root:     o.root,
		Measure:  s.measure,
		Group:    s.group,
		Replica:  s.replica,
		From:     o.from,
		To:       at,
		Cause:    o.cause,
		Evidence: o.evidence,
	}
	if s.measure == Stranded {
		piece.Accelerators = o.level
	}
	r.closedPieces = append(r.closedPieces, piece)
}

// splitOpen closes the current piece of every open interval at the given time and
// starts the next piece there.
func (r *Recorder) splitOpen(at time.Time) {
	for _, s := range r.openSubjects() {
		o := r.openIntervals[s]
		r.closePiece(s, o, at)
		o.from = laterOf(o.from, at)
	}
}

// openSubjects returns the subjects of the open intervals in a fixed order, so that
// equal events give equal IDs.
func (r *Recorder) openSubjects() []subject {
	out := make([]subject, 0, len(r.openIntervals))
	for s := range r.openIntervals {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b subject) int {
		return cmp.Or(
			cmp.Compare(a.measure, b.measure),
			cmp.Compare(a.group, b.group),
			cmp.Compare(a.replica, b.replica),
			cmp.Compare(a.cause, b.cause),
		)
	})
	return out
}

func (r *Recorder) addCovered(until time.Time) {
	if until.After(r.start) {
		r.covered = append(r.covered, Span{From: r.start, To: until})
	}
}

// HasIntervals reports whether the current window has any open or closed interval.
func (r *Recorder) HasIntervals() bool { return len(r.closedPieces) > 0 || len(r.openIntervals) > 0 }

// CloseWindow ends the current window at the last tick and starts the next one. It
// returns false if the window covers no time. Once the returned window is in the store,
// its content survives the process.
func (r *Recorder) CloseWindow() (Window, bool) {
	r.splitOpen(r.last)
	r.addCovered(r.last)
	if len(r.covered) == 0 {
		return Window{}, false
	}
	r.seq++
	w := Window{
		Observer:    r.opts.Observer,
		Incarnation: r.opts.Incarnation,
		Seq:         r.seq,
		Zone:        r.opts.Zone,
		Covered:     r.covered,
		Intervals:   r.closedPieces,
	}
	r.covered, r.closedPieces, r.start = nil, nil, r.last
	return w, true
}

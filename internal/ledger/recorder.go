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
	// MaxGap is the longest time between two ticks that still counts as
	// observing; zero is DefaultMaxGap.
	MaxGap time.Duration
}

// DefaultMaxGap is a few missed ticks of a second.
const DefaultMaxGap = 5 * time.Second

// Recorder turns one observer's events into windows. It has no clock: times come
// with the calls. It is not safe for concurrent use.
type Recorder struct {
	opts RecorderOptions
	seq  uint64
	// roots counts the intervals begun.
	roots uint64
	// start is where the current window's uncut coverage begins, last the newest tick.
	start, last time.Time
	covered     []Span
	closed      []Interval
	open        map[subject]*openInterval
	// LateEvents counts events from before the current window; they count from its
	// beginning, since windows that are cut are not changed.
	LateEvents int
}

// subject is what an interval is about: a replica, or a group's stranded
// accelerators under one cause.
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
	count    int
	pieces   int
}

// NewRecorder starts observing at start.
func NewRecorder(opts RecorderOptions, start time.Time) *Recorder {
	if opts.MaxGap == 0 {
		opts.MaxGap = DefaultMaxGap
	}
	return &Recorder{opts: opts, start: start, last: start, open: make(map[subject]*openInterval)}
}

// Tick says that the observer is at work. After a pause longer than MaxGap it
// can't know what happened meanwhile: a node that was paused and a replica that
// went down and came back look the same to it. The pause is left out of the
// covered time, and open intervals go on only after it.
func (r *Recorder) Tick(now time.Time) {
	if now.Sub(r.last) > r.opts.MaxGap || now.Before(r.last) {
		r.cutOpen(r.last)
		r.cover(r.last)
		r.start = now
		for _, o := range r.open {
			o.from = now
		}
	}
	r.last = now
}

// Apply takes an event in. Its time lies between the window's start and now.
func (r *Recorder) Apply(ev Event) {
	if ev.At.Before(r.start) {
		r.LateEvents++
		ev.At = r.start
	}
	r.Tick(later(ev.At, r.last))
	if len(ev.Evidence) > MaxEvidence {
		ev.Evidence = ev.Evidence[:MaxEvidence]
	}
	switch ev.Kind {
	case ReplicaDown:
		r.set(subject{measure: Downtime, group: ev.Group, replica: ev.Replica}, ev, 1)
	case ReplicaUp, ReplicaGone:
		r.set(subject{measure: Downtime, group: ev.Group, replica: ev.Replica}, ev, 0)
	case StrandedCount:
		r.set(subject{measure: Stranded, group: ev.Group, cause: ev.Cause}, ev, ev.Count)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// set changes a subject's level; the same level and cause again is no news.
func (r *Recorder) set(s subject, ev Event, level int) {
	o := r.open[s]
	if o != nil && o.count == level && o.cause == ev.Cause {
		return
	}
	if o != nil {
		r.close(s, o, ev.At)
		delete(r.open, s)
	}
	if level > 0 {
		r.open[s] = &openInterval{root: r.nextRoot(), from: ev.At, cause: ev.Cause, evidence: ev.Evidence, count: level}
	}
}

// nextRoot is unique over all observers and their restarts.
func (r *Recorder) nextRoot() string {
	r.roots++
	return fmt.Sprintf("%s/%x/%d", r.opts.Observer, r.opts.Incarnation, r.roots)
}

func (r *Recorder) close(s subject, o *openInterval, at time.Time) {
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
		piece.Accelerators = o.count
	}
	r.closed = append(r.closed, piece)
}

// cutOpen ends the pieces of all open intervals at a time and goes on from there.
func (r *Recorder) cutOpen(at time.Time) {
	for _, s := range r.openSubjects() {
		o := r.open[s]
		r.close(s, o, at)
		o.from = later(o.from, at)
	}
}

// openSubjects is in a fixed order, so that the same events give the same ids.
func (r *Recorder) openSubjects() []subject {
	out := make([]subject, 0, len(r.open))
	for s := range r.open {
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

func (r *Recorder) cover(until time.Time) {
	if until.After(r.start) {
		r.covered = append(r.covered, Span{From: r.start, To: until})
	}
}

// HasIntervals reports whether the current window holds anything beside coverage.
func (r *Recorder) HasIntervals() bool { return len(r.closed) > 0 || len(r.open) > 0 }

// CloseWindow ends the current window at the last tick and starts the next one. What was
// covered before the cut can't be lost with this process any more, once the
// window is in the store.
func (r *Recorder) CloseWindow() (Window, bool) {
	r.cutOpen(r.last)
	r.cover(r.last)
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
		Intervals:   r.closed,
	}
	r.covered, r.closed, r.start = nil, nil, r.last
	return w, true
}

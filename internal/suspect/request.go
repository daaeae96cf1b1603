package suspect

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// Request is what the tracker knows of a request.
type Request struct {
	Fingerprint Fingerprint
	// Model is empty for requests without a prompt.
	Model string
	// Parts are the parts of the prompt that other requests may share.
	Parts []Part
}

// Admission says how a request may run.
type Admission struct {
	// Alone is set if the request must run on a replica without other suspects.
	Alone bool
	// suspected is set if the request itself is a suspect, and claimed holds its parts that are
	// on probation.
	suspected bool
	claimed   []Part
}

// Refuse returns a Quarantined error for a request that holds a quarantined part. It never waits.
func (t *Tracker) Refuse(req Request) error {
	for _, p := range req.Parts {
		if until, refused := t.quarantinedUntil(key(p)); refused {
			metricRefused.Inc()
			t.log.Info("request with a quarantined part refused", "fingerprint", req.Fingerprint.key(), "part", p, "until", until)
			left := until.Sub(t.now()).Round(time.Second)
			return fennelerr.New(fennelerr.Quarantined,
				"replicas crashed under several requests that share a part of this one's prompt; requests with it are refused for %s more (part %s)", left, p).
				WithOp("suspect.refuse").WithRun(fennelerr.NotRun).WithRetryAfter(left)
		}
	}
	return nil
}

// IsSuspect reports whether there is a record of the request or of a part of it. It never waits.
func (t *Tracker) IsSuspect(req Request) bool {
	return t.known(req.Fingerprint.key()) || slices.ContainsFunc(req.Parts, func(p Part) bool { return t.known(key(p)) })
}

// AdmitRequest returns an error for a request that is quarantined itself or holds a quarantined
// part. Suspects, and requests with a part on probation, wait until no other run of the same kind
// is under way.
func (t *Tracker) AdmitRequest(ctx context.Context, req Request) (Admission, error) {
	if err := t.Refuse(req); err != nil {
		return Admission{}, err
	}
	var a Admission
	for _, p := range req.Parts {
		if !t.known(key(p)) {
			continue
		}
		alone, err := t.Admit(ctx, p.fingerprint())
		if err != nil {
			t.release(a)
			return Admission{}, err
		}
		if alone {
			a.claimed = append(a.claimed, p)
		}
	}
	var err error
	if a.suspected, err = t.Admit(ctx, req.Fingerprint); err != nil {
		t.release(a)
		return Admission{}, err
	}
	a.Alone = a.suspected || len(a.claimed) > 0
	return a, nil
}

// release gives up the claims of a request that does not run.
func (t *Tracker) release(a Admission) {
	for _, p := range a.claimed {
		t.releaseClaim(key(p))
	}
}

// known reports whether there is a record of k.
func (t *Tracker) known(k key) bool {
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[k] != nil
}

// quarantinedUntil returns the end of the quarantine of k, or false if there is none.
func (t *Tracker) quarantinedUntil(k key) (until time.Time, quarantine bool) {
	s := t.keyShard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[k]
	if r == nil {
		return time.Time{}, false
	}
	r.advance(t.now(), t.timing)
	return r.until, r.phase == quarantined
}

// provenPieces is the number of pieces after which an answer shows that the parts of its prompt
// crash no replica: such a part ends the replica as the answer begins, and the first pieces may
// be out by then.
const provenPieces = 4

// Run is one run of a request on a replica. Its methods must not be called at the same time.
type Run interface {
	// Piece records that a piece of the answer arrived.
	Piece()
	// End ends the run. Only the first call has an effect.
	End(Outcome)
}

// run implements Run.
type run struct {
	t          *Tracker
	req        Request
	replica    cluster.ReplicaID
	generation int64
	admission  Admission
	began      time.Time
	pieces     int
	firstPiece time.Time
	once       sync.Once
}

// BeginRequest records the start of a run. End must be called once.
func (t *Tracker) BeginRequest(req Request, replica cluster.ReplicaID, generation int64, a Admission) Run {
	r := &run{t: t, req: req, replica: replica, generation: generation, admission: a, began: t.now()}
	for _, k := range r.aloneKeys() {
		t.startRetry(k, replica)
	}
	return r
}

// aloneKeys returns the keys that are retried alone by this run.
func (r *run) aloneKeys() (keys []key) {
	if r.admission.suspected {
		keys = append(keys, r.req.Fingerprint.key())
	}
	for _, p := range r.admission.claimed {
		keys = append(keys, key(p))
	}
	return keys
}

// Piece implements Run.
func (r *run) Piece() {
	r.pieces++
	switch r.pieces {
	case 1:
		r.firstPiece = r.t.now()
	case provenPieces:
		r.t.partsAnswered(r.req, r.firstPiece)
	}
}

// End implements Run.
func (r *run) End(outcome Outcome) { r.once.Do(func() { r.end(outcome) }) }

func (r *run) end(outcome Outcome) {
	t, k := r.t, r.req.Fingerprint.key()
	for _, alone := range r.aloneKeys() {
		t.crashShard(r.replica).endRetry(r.replica, alone, t.now())
	}
	if outcome == Crashed {
		r.crashed()
		return
	}
	if outcome == Finished && r.pieces < provenPieces {
		at := r.began
		if r.pieces > 0 {
			at = r.firstPiece
		}
		t.partsAnswered(r.req, at)
	}
	for _, alone := range r.aloneKeys() {
		if outcome == Finished || alone != k && r.pieces >= provenPieces {
			t.retryFinished(alone)
		} else {
			t.retryAbandoned(alone)
		}
	}
}

// crashed records the crash for the request, for its parts on probation and, unless the answer
// had begun, as evidence against its parts.
func (r *run) crashed() {
	c := r.t.recordCrash(r.req.Fingerprint.key(), r.replica, r.generation, r.began, r.admission.suspected)
	for _, p := range r.admission.claimed {
		r.t.recordCrash(key(p), r.replica, r.generation, r.began, true)
	}
	if c == nil || r.req.Model == "" {
		return
	}
	r.t.crashShard(r.replica).setModel(c, modelHash(r.req.Model))
	if r.pieces < provenPieces {
		r.t.partsCrashed(c, r.req)
	}
}

package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Candidate is the state of one replica as seen by a policy.
type Candidate struct {
	ID cluster.ReplicaID
	// Addr is the ip:port of the serving VM.
	Addr string
	Zone cluster.ZoneID
	// Local is true for a replica in this node's availability zone.
	Local bool
	// Healthy is false for a replica that became ineligible since the view was made.
	Healthy bool
	// InFlight estimates the requests running and waiting on the replica. The replica's
	// deviation from the group's mean remote load is weighted down, because all nodes act
	// on the same data (see entry.inFlight).
	InFlight float64
	// Load is the same estimate with the known remote load counted in full.
	Load float64
	// Own is the number of this node's requests on it. LoadKnown is true if the replica or another
	// node has reported its load recently.
	Own       int
	LoadKnown bool
	// Capacity is the replica's batch size, at least 1.
	Capacity float64
	// Avoided is true for a straggler and for a replica whose last requests failed.
	Avoided bool
	// Trial is true if the next request tests whether an avoided replica has recovered.
	Trial bool
	// Suspects is the number of this node's suspect requests running on the replica.
	Suspects int
	// Limited is true while this node has used its share of a rate that the replica takes from
	// all nodes together.
	Limited bool
	// PushbackLeft is how much longer the replica wants no requests from this node; 0 if it takes
	// them. PushbackAge is how long ago it asked for that.
	PushbackLeft, PushbackAge time.Duration
	// Work estimates the work of all nodes on the replica. Engine holds its engine's figures, nil
	// if unknown, and Correction the factor on predictions from them.
	Work       enginemodel.Work
	Engine     *enginemodel.Profile
	Correction float64

	entry *entry
}

// View lists a group's healthy replicas, those of the own zone first.
type View interface {
	// Len returns the number of replicas. Those with an index below LocalLen are in the own
	// zone.
	Len() int
	LocalLen() int
	At(i int) Candidate
	// Holders returns some of the replicas that probably cache the prefix.
	Holders(prefixHash uint64) []Candidate
}

// Random is the random generator passed to a policy.
type Random = rand.Rand

// NewRandom returns a generator that is determined by the seed and the number of the pick.
func NewRandom(seed, pick uint64) *Random { return rand.New(rand.NewPCG(seed, pick)) }

// Pick is a policy's decision. Found is false if no replica can serve the request.
type Pick struct {
	Candidate Candidate
	Found     bool
	// Full is true if no replica was found and at least one was ruled out only by Limit or by a
	// rate that it takes.
	Full bool
	// Pushback describes the replicas that want no requests from this node, if none was found.
	Pushback   Pushback
	Reason     string
	Considered int
	// Predicted is the predicted first piece on the candidate; 0 if it was not predicted.
	Predicted time.Duration
	// PredictedHome is that of the own zone for a request that leaves it.
	PredictedHome time.Duration
}

// Policy picks the replica for a request. It is deterministic: the same view, request and
// random generator give the same pick.
type Policy interface {
	Pick(v View, req Request, rnd *Random) Pick
}

// Reasons for picks, as they appear in logs.
const (
	ReasonRandom  = "random"
	ReasonLoad    = "least-loaded"
	ReasonPrefix  = "prefix"
	ReasonZone    = "own-zone"
	ReasonTrial   = "trial"
	ReasonAlone   = "suspect-alone"
	ReasonNoOther = "no-better-replica"
)

// Naive picks a healthy replica at random. It is the baseline of the differential tests and
// benchmarks.
type Naive struct{}

// Pick implements Policy.
func (Naive) Pick(v View, req Request, rnd *Random) Pick {
	n := v.Len()
	if n == 0 {
		return Pick{}
	}
	start := rnd.IntN(n)
	for i := range n {
		c := v.At((start + i) % n)
		if c.Healthy && !c.Limited && c.PushbackLeft == 0 && !req.excludes(c) {
			return Pick{Candidate: c, Found: true, Reason: ReasonRandom, Considered: 1}
		}
	}
	return Pick{Considered: n}
}

// Weighted compares a few replicas by load, zone and cached prefix. Its cost does not depend
// on the size of the group: it considers SampleLocal + SampleOther replicas and the holders
// of the longest cached prefix, and all replicas only if none of these can serve.
type Weighted struct {
	// SampleLocal and SampleOther are the numbers of replicas compared in the own zone and
	// in the other zones.
	SampleLocal, SampleOther int
	// ZonePenalty is the additional load, as a fraction of capacity, that is accepted to
	// stay in the own zone.
	ZonePenalty float64
	// PrefixBonus is the additional load, as a fraction of capacity, that is accepted if
	// the entire prompt is cached, and in proportion if part of it is.
	PrefixBonus float64
}

// DefaultPolicy returns the policy used by fenneld.
func DefaultPolicy() Weighted {
	return Weighted{SampleLocal: 4, SampleOther: 2, ZonePenalty: 0.25, PrefixBonus: 0.4}
}

// suspectPenalty keeps other requests away from a replica that a suspect request may crash.
const suspectPenalty = 1.0

// Pick implements Policy.
func (p Weighted) Pick(v View, req Request, rnd *Random) Pick {
	if v.Len() == 0 {
		return Pick{}
	}
	if req.Alone {
		return pickAlone(v, req)
	}
	sel := selection{policy: p, req: req}
	p.considerHolders(v, req, &sel)
	if req.Prefer != rules.PreferAny {
		sample(v, 0, v.LocalLen(), p.SampleLocal, rnd, &sel)
		sample(v, v.LocalLen(), v.Len(), p.SampleOther, rnd, &sel)
	} else {
		sample(v, 0, v.Len(), p.SampleLocal+p.SampleOther, rnd, &sel)
	}
	if !sel.found {
		sel.pushback = Pushback{} // each replica counts once
		sample(v, 0, v.Len(), v.Len(), rnd, &sel)
	}
	return sel.pick()
}

// considerHolders offers the holders of the longest prefix that any replica caches.
func (p Weighted) considerHolders(v View, req Request, sel *selection) {
	n := len(req.PrefixHashes)
	for i, h := range req.PrefixHashes {
		holders := v.Holders(h)
		for _, c := range holders {
			sel.offer(c, float64(n-i)/float64(n))
		}
		if len(holders) > 0 {
			return
		}
	}
}

// sample offers up to k distinct random replicas with indexes in [from, to). If all of them
// are offered, the first one is random: of equal replicas the first is picked, and all nodes
// would pick the same one otherwise.
func sample(v View, from, to, k int, rnd *Random, sel *selection) {
	n := to - from
	if n <= 0 || k <= 0 {
		return
	}
	if k >= n {
		start := rnd.IntN(n)
		for i := range n {
			sel.offer(v.At(from+(start+i)%n), 0)
		}
		return
	}
	taken := make([]int, 0, 8)
	for len(taken) < k {
		i := from + rnd.IntN(n)
		if slices.Contains(taken, i) {
			continue
		}
		taken = append(taken, i)
		sel.offer(v.At(i), 0)
	}
}

// scorer scores a candidate for a request of whose prompt the replica caches a part. Lower is
// better.
type scorer interface {
	score(c Candidate, req Request, match float64) float64
}

// selection keeps the best candidate offered so far, and the best avoided one as a fallback
// if there is no other.
type selection struct {
	policy     scorer
	req        Request
	considered int

	found         bool
	best          Candidate
	score         float64
	match         float64
	fallback      Candidate
	fallbackScore float64
	hasFallback   bool
	full          bool
	pushback      Pushback
}

func (sel *selection) offer(c Candidate, match float64) {
	sel.considered++
	if !c.Healthy || sel.req.rulesOut(c) {
		return
	}
	if c.PushbackLeft > 0 { // counts also if it has just refused this request
		sel.pushback.add(c.ID, c.PushbackAge, c.PushbackLeft)
		return
	}
	if sel.req.excludes(c) {
		return
	}
	if c.Limited || sel.req.Limit.exceeded(c) {
		sel.full = true
		return
	}
	score := sel.policy.score(c, sel.req, match)
	if c.Avoided {
		if !sel.hasFallback || score < sel.fallbackScore {
			sel.fallback, sel.fallbackScore, sel.hasFallback = c, score, true
		}
		return
	}
	if !sel.found || score < sel.score {
		sel.best, sel.score, sel.match, sel.found = c, score, match, true
	}
}

// score returns the replica's load as a fraction of its capacity, plus penalties and minus
// the bonus on the same scale. Lower is better.
func (p Weighted) score(c Candidate, req Request, match float64) float64 {
	score := (c.InFlight + 1) / c.Capacity
	if !c.Local && req.Prefer != rules.PreferAny {
		score += p.ZonePenalty
	}
	if c.Suspects > 0 {
		score += suspectPenalty
	}
	return score - p.PrefixBonus*match
}

func (sel *selection) pick() Pick {
	switch {
	case sel.found:
		return Pick{Candidate: sel.best, Found: true, Reason: sel.reason(), Considered: sel.considered}
	case sel.hasFallback:
		return Pick{Candidate: sel.fallback, Found: true, Reason: ReasonNoOther, Considered: sel.considered}
	}
	return Pick{Considered: sel.considered, Full: sel.full, Pushback: sel.pushback}
}

func (sel *selection) reason() string {
	switch {
	case sel.best.Trial:
		return ReasonTrial
	case sel.match > 0:
		return ReasonPrefix
	case sel.best.Local && sel.req.Prefer != rules.PreferAny:
		return ReasonZone
	}
	return ReasonLoad
}

// pickAlone picks the replica with the fewest requests and no suspect request, so that a
// crash affects the fewest other requests. Suspect requests are rare, so all replicas are
// considered.
func pickAlone(v View, req Request) Pick {
	out := Pick{Reason: ReasonAlone, Considered: v.Len()}
	for i := range v.Len() {
		c := v.At(i)
		if !c.Healthy || c.Limited || c.PushbackLeft > 0 || c.Suspects > 0 || req.excludes(c) {
			continue
		}
		if req.MayRetryOn != nil && !req.MayRetryOn(c.ID) {
			continue
		}
		if !out.Found || c.InFlight < out.Candidate.InFlight {
			out.Candidate, out.Found = c, true
		}
	}
	return out
}

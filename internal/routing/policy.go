package routing

import (
	"math/rand/v2"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Candidate is what a policy sees of one replica at one moment.
type Candidate struct {
	ID cluster.ReplicaID
	// Local is true for a replica in this node's availability zone.
	Local bool
	// Healthy is false for a replica that stopped being whole since the view was made.
	Healthy bool
	// InFlight estimates the requests running and waiting on the replica.
	InFlight float64
	// Load is the same with all that is known of what others run on it, where InFlight
	// takes a part of that for news that everybody acts on.
	Load float64
	// Capacity is how many requests the replica batches, at least 1.
	Capacity float64
	// Avoided is set for a straggler or a replica whose last requests failed.
	Avoided bool
	// Trial is set when the next request tests whether an avoided replica recovered.
	Trial bool
	// Suspects is how many suspect requests of this node run on it.
	Suspects int

	entry *entry
}

// View is a group's whole replicas; those of the own zone come first.
type View interface {
	// Len is the number of replicas; indexes below LocalLen are of the own zone.
	Len() int
	LocalLen() int
	At(i int) Candidate
	// Holders returns a few replicas that probably cache the prefix.
	Holders(prefixHash uint64) []Candidate
}

// Random is the randomness passed to a policy.
type Random = rand.Rand

// NewRandom returns a generator that depends on the seed and the draw alone.
func NewRandom(seed, draw uint64) *Random { return rand.New(rand.NewPCG(seed, draw)) }

// Pick is a policy's decision; Found is false when no replica may serve.
type Pick struct {
	Candidate Candidate
	Found     bool
	// Full is true when none was found, and one that has no room would have been.
	Full       bool
	Reason     string
	Considered int
}

// Policy picks the replica for a request. It is pure: the same view, request
// and randomness give the same pick.
type Policy interface {
	Pick(v View, req Request, rnd *Random) Pick
}

// Reasons of picks, as they appear in the decision log.
const (
	ReasonRandom   = "random"
	ReasonLoad     = "least-loaded"
	ReasonPrefix   = "prefix"
	ReasonZone     = "own-zone"
	ReasonTrial    = "trial"
	ReasonIsolated = "suspect-alone"
	ReasonNoOther  = "no-better-replica"
)

// Naive picks any whole replica at random. It is the yardstick of the
// differential tests and of the measurements.
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
		if c.Healthy && !slices.Contains(req.Exclude, c.ID) {
			return Pick{Candidate: c, Found: true, Reason: ReasonRandom, Considered: 1}
		}
	}
	return Pick{Considered: n}
}

// Weighted compares a few replicas by load, zone and cached prefix. Its cost
// does not grow with the group: it looks at SampleLocal + SampleOther replicas
// and at the holders of the longest known prefix, and reads the whole list only
// when none of these may serve.
type Weighted struct {
	// SampleLocal and SampleOther are how many replicas of the own zone and of
	// the whole group are compared.
	SampleLocal, SampleOther int
	// ZonePenalty is the difference in load, as a share of a replica's capacity,
	// that is accepted to stay in the own zone.
	ZonePenalty float64
	// PrefixBonus is the difference in load that is accepted to find the whole
	// prompt cached; a part of the prompt counts for a part of it.
	PrefixBonus float64
}

// DefaultPolicy is the policy that fenneld runs.
func DefaultPolicy() Weighted {
	return Weighted{SampleLocal: 4, SampleOther: 2, ZonePenalty: 0.25, PrefixBonus: 0.4}
}

// suspectPenalty keeps other requests off a replica that a suspect may crash.
const suspectPenalty = 1.0

// Pick implements Policy.
func (p Weighted) Pick(v View, req Request, rnd *Random) Pick {
	if v.Len() == 0 {
		return Pick{}
	}
	if req.Isolated {
		return pickAlone(v, req)
	}
	b := best{policy: p, req: req}
	p.considerHolders(v, req, &b)
	if req.Prefer != rules.PreferAny {
		sample(v, 0, v.LocalLen(), p.SampleLocal, rnd, &b)
		sample(v, v.LocalLen(), v.Len(), p.SampleOther, rnd, &b)
	} else {
		sample(v, 0, v.Len(), p.SampleLocal+p.SampleOther, rnd, &b)
	}
	if !b.found {
		sample(v, 0, v.Len(), v.Len(), rnd, &b)
	}
	return b.pick()
}

// considerHolders offers the holders of the longest prefix that any replica holds.
func (p Weighted) considerHolders(v View, req Request, b *best) {
	n := len(req.PrefixHashes)
	for i, h := range req.PrefixHashes {
		holders := v.Holders(h)
		for _, c := range holders {
			b.offer(c, float64(n-i)/float64(n))
		}
		if len(holders) > 0 {
			return
		}
	}
}

// sample offers up to k random replicas with indexes in [from, to), without
// repetition. A range that is offered whole begins at a random place: the first
// of equals is picked, and all nodes would pick the same one otherwise.
func sample(v View, from, to, k int, rnd *Random, b *best) {
	n := to - from
	if n <= 0 || k <= 0 {
		return
	}
	if k >= n {
		start := rnd.IntN(n)
		for i := range n {
			b.offer(v.At(from+(start+i)%n), 0)
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
		b.offer(v.At(i), 0)
	}
}

// best keeps the best candidate offered so far, and the best of those that are
// avoided, which serve only when there is no other.
type best struct {
	policy     Weighted
	req        Request
	considered int

	found  bool
	top    Candidate
	score  float64
	match  float64
	avoid  Candidate
	ascore float64
	have   bool
	full   bool
}

func (b *best) offer(c Candidate, match float64) {
	b.considered++
	if !c.Healthy || slices.Contains(b.req.Exclude, c.ID) {
		return
	}
	if b.req.Limit.exceeded(c) {
		b.full = true
		return
	}
	score := b.policy.score(c, b.req, match)
	if c.Avoided {
		if !b.have || score < b.ascore {
			b.avoid, b.ascore, b.have = c, score, true
		}
		return
	}
	if !b.found || score < b.score {
		b.top, b.score, b.match, b.found = c, score, match, true
	}
}

// score is the replica's load as a share of its capacity, with the penalties and
// the bonus on the same scale; lower is better.
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

func (b *best) pick() Pick {
	switch {
	case b.found:
		return Pick{Candidate: b.top, Found: true, Reason: b.reason(), Considered: b.considered}
	case b.have:
		return Pick{Candidate: b.avoid, Found: true, Reason: ReasonNoOther, Considered: b.considered}
	}
	return Pick{Considered: b.considered, Full: b.full}
}

func (b *best) reason() string {
	switch {
	case b.top.Trial:
		return ReasonTrial
	case b.match > 0:
		return ReasonPrefix
	case b.top.Local && b.req.Prefer != rules.PreferAny:
		return ReasonZone
	}
	return ReasonLoad
}

// pickAlone finds the replica with the fewest requests and no suspect: if the
// suspect crashes it, the fewest others are hurt. Suspects are rare, so the whole
// list is read.
func pickAlone(v View, req Request) Pick {
	out := Pick{Reason: ReasonIsolated, Considered: v.Len()}
	for i := range v.Len() {
		c := v.At(i)
		if !c.Healthy || c.Suspects > 0 || slices.Contains(req.Exclude, c.ID) {
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

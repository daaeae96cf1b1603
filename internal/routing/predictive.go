package routing

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Predictive picks the replica with the earliest predicted first piece. It applies to groups whose
// engine figures are known, and to requests whose prompt length is known.
type Predictive struct {
	// Otherwise picks in all other cases.
	Otherwise Weighted
	// ZonePenalty is the later first piece that is accepted to stay in the own zone.
	ZonePenalty time.Duration
	// Leaving takes the place of ZonePenalty where the delays between zones are known; may be nil.
	Leaving *Leaving
}

// maxPredicted limits the replicas compared for a request.
const maxPredicted = 64

// Pick implements Policy.
func (p Predictive) Pick(v View, req Request, rnd *Random) Pick {
	if req.Alone || req.PromptTokens <= 0 || v.Len() == 0 || v.At(0).Engine == nil {
		return p.Otherwise.Pick(v, req, rnd)
	}
	if pick, ok := p.leavingPick(v, req, rnd); ok {
		return pick.predicted(req)
	}
	sel := selection{policy: p, req: req}
	p.Otherwise.considerHolders(v, req, &sel)
	sample(v, 0, v.Len(), maxPredicted, rnd, &sel)
	if !sel.found {
		sel.pushback = Pushback{} // each replica counts once
		sample(v, 0, v.Len(), v.Len(), rnd, &sel)
	}
	return sel.pick().predicted(req)
}

// predicted adds the prediction to a pick.
func (p Pick) predicted(req Request) Pick {
	if p.Found {
		p.Predicted = p.Candidate.predict(req, 0)
	}
	return p
}

// leavingPick picks by Leaving. It returns false if that does not apply.
func (p Predictive) leavingPick(v View, req Request, rnd *Random) (Pick, bool) {
	if p.Leaving == nil || req.Prefer == rules.PreferAny {
		return Pick{}, false
	}
	others := make([]Candidate, 0, maxPredicted)
	if n := v.Len() - v.LocalLen(); n > 0 {
		first := rnd.IntN(n)
		for i := range min(n, maxPredicted) {
			others = append(others, v.At(v.LocalLen()+(first+i)%n))
		}
	}
	if !p.Leaving.appliesTo(others) {
		return Pick{}, false
	}
	return p.pickLeaving(v, req, rnd, others), true
}

// unknownFirstPiece is assumed for a replica without engine figures.
const unknownFirstPiece = time.Minute

// predict returns the predicted first piece of the request on the candidate, of whose prompt a
// part is cached.
func (c Candidate) predict(req Request, cached float64) time.Duration {
	if c.Engine == nil {
		return unknownFirstPiece
	}
	prompt := int(float64(req.PromptTokens) * (1 - cached))
	return time.Duration(c.Correction * float64(c.Engine.PredictFirstPiece(c.Work, prompt)))
}

// score implements scorer; the unit is a second.
func (p Predictive) score(c Candidate, req Request, match float64) float64 {
	first := c.predict(req, match)
	if !c.Local && req.Prefer != rules.PreferAny {
		first += p.zoneCost(c, req)
	}
	score := first.Seconds()
	if c.Suspects > 0 {
		score += suspectPenalty
	}
	return score
}

// zoneCost returns how much later a first piece in the own zone may be for it to be preferred to the
// candidate.
func (p Predictive) zoneCost(c Candidate, req Request) time.Duration {
	if p.Leaving != nil {
		if _, known := p.Leaving.Delay(c.Zone); known {
			return p.Leaving.cost(c.Zone, req)
		}
	}
	return p.ZonePenalty
}

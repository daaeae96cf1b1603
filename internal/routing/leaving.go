package routing

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Leaving decides which requests leave their zone. It applies where the delays between zones are
// known.
type Leaving struct {
	// Delay returns the one-way delay to a zone, and false if it is not known.
	Delay func(cluster.ZoneID) (time.Duration, bool)
	// Price is the number of seconds by which a first piece has to be earlier for a megabyte sent
	// to another zone and back.
	Price float64
	// Nodes returns the number of live nodes of all zones.
	Nodes func() int
}

// Reasons for picks in another zone.
const (
	ReasonPays   = "leaving-pays"
	ReasonNoHome = "none-in-zone"
)

const (
	// A request leaves its zone only if its first piece there would take more than startShare of the
	// target and it gains more than startGain of it, or if the slots in use there exceed startCrowded.
	// While this node has requests in the other zone, keepShare, keepGain and keepCrowded apply: a flow
	// that ends with each request would swing.
	startShare, keepShare     = 0.4, 0.25
	startGain, keepGain       = 0.1, 0.05
	startCrowded, keepCrowded = 0.85, 0.75
	// awayShare is the part of the target that a first piece in another zone may take, and roomShare
	// the part of its slots that requests from other zones may fill up: the rest is for its own callers.
	awayShare, roomShare = 0.7, 0.9
)

var (
	leftZoneTotal = metrics.NewCounter("fennel_routing_left_zone_total")
	noRoomTotal   = metrics.NewCounter("fennel_routing_other_zones_full_total")
)

// flow describes this node's requests in another zone.
type flow struct {
	zone cluster.ZoneID
	// own is their number, room the number of further requests that the zone takes from all senders,
	// and senders the number of nodes in other zones.
	own     int
	room    float64
	senders float64
	// replicas is the number of replicas that may take requests, reported that of those whose load is
	// known.
	replicas, reported int
}

// mayGrow reports whether one more request may be sent to the zone. Of a zone whose load is unknown,
// a single request finds it out.
func (f flow) mayGrow() bool {
	if f.reported == 0 {
		return f.own == 0
	}
	return float64(f.own) < f.room/max(f.senders, 1)
}

// pays reports whether a request gains enough by leaving its zone. home and away are the predicted
// first pieces, away including the cost; a target of 0 is unknown. In a crowded zone, where the prediction
// depends most on requests that are not known of, any gain is enough.
func pays(home, away, target time.Duration, crowded, flowing bool) bool {
	share, gain := startShare, startGain
	if flowing {
		share, gain = keepShare, keepGain
	}
	switch {
	case crowded:
		return home > away
	case target <= 0:
		return home > away+time.Duration(gain*float64(home))
	}
	return home > time.Duration(share*float64(target)) && home-away > time.Duration(gain*float64(target))
}

// crowded reports whether nearly all slots of the best replica at home are in use, and fewer of the
// replica in another zone.
func crowded(home, away Candidate, flowing bool) bool {
	share := startCrowded
	if flowing {
		share = keepCrowded
	}
	return home.Load+1 > share*home.Capacity && away.Load < home.Load && away.Load+1 < roomShare*away.Capacity
}

// cost returns what sending the request to a zone costs, as a later first piece.
func (l *Leaving) cost(zone cluster.ZoneID, req Request) time.Duration {
	delay, _ := l.Delay(zone)
	return 2*delay + time.Duration(l.Price*float64(req.Bytes)/1e6*float64(time.Second))
}

// flows returns this node's flow to each zone of the candidates. With the own zone there is one zone
// more than these.
func (l *Leaving) flows(others []Candidate) (out []flow) {
	for _, c := range others {
		at := slices.IndexFunc(out, func(f flow) bool { return f.zone == c.Zone })
		if at < 0 {
			at = len(out)
			out = append(out, flow{zone: c.Zone})
		}
		f := &out[at]
		f.own += c.Own
		if !c.Healthy || c.Avoided || c.Limited || c.PushbackLeft > 0 {
			continue
		}
		f.replicas++
		if c.LoadKnown {
			f.reported++
			usable := float64(roomShare * c.Capacity) // the conversion rounds: where it is fused with the difference, a full zone has room
			f.room += max(usable-(c.Load-float64(c.Own)), 0)
		}
	}
	for i := range out {
		out[i].room *= float64(out[i].replicas) / float64(max(out[i].reported, 1)) // the others are like those reported
		out[i].senders = float64(l.Nodes()) * float64(len(out)) / float64(len(out)+1)
	}
	return out
}

// appliesTo reports whether the delays to the zones of all replicas are known.
func (l *Leaving) appliesTo(others []Candidate) bool {
	return l != nil && len(others) > 0 && !slices.ContainsFunc(others, func(c Candidate) bool { _, known := l.Delay(c.Zone); return !known })
}

// pickLeaving picks the best replica of the own zone, or of another zone if that pays and the zone
// has room. Without a replica in the own zone that may take the request, others are used, whatever
// their room unless those at home are only full.
func (p Predictive) pickLeaving(v View, req Request, rnd *Random, others []Candidate) Pick {
	home := selection{policy: p, req: req}
	sample(v, 0, v.LocalLen(), maxPredicted, rnd, &home)
	if !home.found {
		return p.pickWithoutHome(home, req, others)
	}
	away, flows, full := selection{policy: p, req: req}, p.Leaving.flows(others), false
	atHome := home.best.predict(req, 0)
	for _, c := range others {
		f, first := flowTo(flows, c), c.predict(req, 0)
		onTime := req.Target <= 0 || float64(first) <= awayShare*c.Correction*float64(req.Target)
		if !onTime || !pays(atHome, first+p.Leaving.cost(c.Zone, req), req.Target, crowded(home.best, c, f.own > 0), f.own > 0) {
			continue
		}
		if !f.mayGrow() {
			full = true
			continue
		}
		away.offer(c, 0)
	}
	if !away.found {
		if full {
			noRoomTotal.Inc()
		}
		return home.pick()
	}
	pick := away.pick()
	pick.Reason, pick.PredictedHome = ReasonPays, atHome
	pick.Considered += home.considered
	leftZoneTotal.Inc()
	return pick
}

// pickWithoutHome picks a replica of another zone. home is the selection in the own zone.
func (p Predictive) pickWithoutHome(home selection, req Request, others []Candidate) Pick {
	flows, homeFull := p.Leaving.flows(others), home.full
	for _, c := range others {
		if f := flowTo(flows, c); homeFull && f.reported > 0 && f.room < 1 {
			noRoomTotal.Inc()
			continue
		}
		home.offer(c, 0)
	}
	pick := home.pick()
	if pick.Found && !pick.Candidate.Local {
		pick.Reason = ReasonNoHome
		leftZoneTotal.Inc()
	}
	return pick
}

func flowTo(flows []flow, c Candidate) flow {
	return flows[slices.IndexFunc(flows, func(f flow) bool { return f.zone == c.Zone })]
}

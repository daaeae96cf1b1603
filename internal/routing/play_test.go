package routing

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

// play is a load of streams that nodes send to the replicas of one model, in simulated time.
type play struct {
	nodes, size int
	profile     enginemodel.Profile
	target      time.Duration
	// utilization is the part of the replicas' throughput that is asked for.
	utilization float64
	policy      Policy
	// perfect chooses by the exact work of all nodes.
	perfect bool
	// reportBytes is each node's budget for reports per second. With periodic, a node reports to one
	// peer after the other, otherwise to as many as possible when its work grows.
	reportBytes float64
	periodic    bool
	// falsify changes a node's report before it is received.
	falsify func(node int, w enginemodel.Work) enginemodel.Work
	// zones is the number of zones, delay the one-way delay between them. Nodes of the first zone get
	// skew times as many requests as others. With leave, the policy decides by Leaving.
	zones int
	delay time.Duration
	skew  float64
	leave bool
}

const (
	reportLag     = 6 * time.Millisecond
	reportHead    = 110 // bytes of a report's datagram without its entries
	reportEntry   = 7
	playTime      = 15 * time.Second
	playWarmUp    = 5 * time.Second
	reportInBurst = 2 // seconds of budget that accumulate
)

type playEvent struct {
	at time.Duration
	do func()
}

type eventQueue []playEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(playEvent)) }
func (q *eventQueue) Pop() any          { old := *q; e := old[len(old)-1]; *q = old[:len(old)-1]; return e }

type playReplica struct {
	id     cluster.ReplicaID
	engine enginemodel.Replica
	work   enginemodel.Work
	busy   bool
}

type playCall struct {
	node    int
	replica *playReplica
	at      time.Duration
	choice  Choice
	local   bool
	begun   bool
}

type playState struct {
	play
	rnd      *rand.Rand
	now      time.Duration
	events   eventQueue
	tables   []*Table
	replicas []*playReplica
	calls    map[*enginemodel.Job]*playCall
	tokens   []float64
	spentAt  []time.Duration
	nextPeer []int
	// onTime, n and local count requests by the zone of their node.
	onTime, n, local []int
}

func (s *playState) after(d time.Duration, do func()) {
	heap.Push(&s.events, playEvent{s.now + d, do})
}

func (s *playState) clock() time.Time { return start.Add(s.now) }

// playResult holds the share of the requests whose first piece is on time, and of those sent within
// their zone: of all, and by the zone of the node.
type playResult struct {
	onTime, local         float64
	zoneOnTime, zoneLocal []float64
}

func (p play) run(seed uint64) playResult {
	p.zones = max(p.zones, 1)
	s := &playState{play: p, rnd: rand.New(rand.NewPCG(seed, 1)), calls: make(map[*enginemodel.Job]*playCall),
		onTime: make([]int, p.zones), n: make([]int, p.zones), local: make([]int, p.zones)}
	zoneOf := func(i int) cluster.ZoneID { return cluster.ZoneID(fmt.Sprint("z", i%p.zones)) }
	byZone := map[cluster.ZoneID][]Entry{}
	for i := range p.size {
		id := cluster.ReplicaID(fmt.Sprint("r", i))
		s.replicas = append(s.replicas, &playReplica{id: id, engine: enginemodel.Replica{Profile: p.profile}})
		byZone[zoneOf(i)] = append(byZone[zoneOf(i)], Entry{Replica: cluster.Replica{ID: id, Group: "g", Zone: zoneOf(i), Generation: 1}, Addr: string(id), Slots: p.profile.Slots, Engine: &s.replicas[i].engine.Profile})
	}
	for n := range p.nodes {
		policy := p.policy
		if predictive, ok := policy.(Predictive); ok && p.leave {
			predictive.Leaving = &Leaving{Delay: func(cluster.ZoneID) (time.Duration, bool) { return p.delay, true }, Nodes: func() int { return p.nodes }}
			policy = predictive
		}
		t := NewTable(Options{Zone: zoneOf(n), Policy: policy, Seed: seed + uint64(n), PeerExpiry: time.Second, Now: s.clock})
		for zone, entries := range byZone {
			t.SetReplicas(zone, entries)
		}
		for _, r := range s.replicas {
			t.SetHealthy(r.id, 1, true)
		}
		s.tables = append(s.tables, t)
		s.tokens, s.spentAt, s.nextPeer = append(s.tokens, 0), append(s.spentAt, 0), append(s.nextPeer, s.rnd.IntN(p.nodes))
		if p.periodic {
			s.after(time.Duration(s.rnd.Float64()*float64(time.Second)), func() { s.reportPeriodically(n) })
		}
	}
	cost := p.profile.RequestCost(p.profile.MeanPromptTokens, p.profile.MeanOutputTokens).Seconds()
	s.arrive(cost / (p.utilization * float64(p.size)))
	for s.now < playTime {
		e := heap.Pop(&s.events).(playEvent)
		s.now = e.at
		e.do()
	}
	return s.result()
}

func (s *playState) result() (out playResult) {
	onTime, n, local := 0, 0, 0
	for z := range s.n {
		out.zoneOnTime = append(out.zoneOnTime, float64(s.onTime[z])/float64(s.n[z]))
		out.zoneLocal = append(out.zoneLocal, float64(s.local[z])/float64(s.n[z]))
		onTime, n, local = onTime+s.onTime[z], n+s.n[z], local+s.local[z]
	}
	out.onTime, out.local = float64(onTime)/float64(n), float64(local)/float64(n)
	return out
}

// arrive has a request arrive after a random time and all further ones after it.
func (s *playState) arrive(mean float64) {
	s.after(time.Duration(s.rnd.ExpFloat64()*mean*float64(time.Second)), func() {
		vary := func(mean int, spread float64) int {
			return max(3, int(float64(mean)*math.Exp(spread*s.rnd.NormFloat64()-spread*spread/2)))
		}
		node := s.rnd.IntN(s.nodes)
		for s.skew > 0 && node%s.zones != 0 && s.rnd.Float64() > 1/s.skew {
			node = s.rnd.IntN(s.nodes)
		}
		s.send(node, vary(s.profile.MeanPromptTokens, 0.6), vary(s.profile.MeanOutputTokens, 0.5))
		s.arrive(mean)
	})
}

func (s *playState) send(node, prompt, output int) {
	r, c := s.choose(node, prompt, output)
	delay := time.Duration(0)
	if s.zones > 1 && c.Replica.Zone != s.tables[node].opts.Zone {
		delay = s.delay
	}
	j := &enginemodel.Job{PromptTokens: prompt, OutputTokens: output}
	s.calls[j] = &playCall{node: node, replica: r, at: s.now - delay, choice: c, local: delay == 0}
	r.work.Add(prompt, output)
	s.after(delay, func() {
		r.engine.Add(j)
		if !r.busy {
			s.pass(r)
		}
	})
	if !s.periodic && s.reportBytes > 0 {
		s.reportChange(node)
	}
}

func (s *playState) choose(node, prompt, output int) (*playReplica, Choice) {
	if s.perfect {
		first := s.rnd.IntN(len(s.replicas))
		order := append(slices.Clone(s.replicas[first:]), s.replicas[:first]...)
		return slices.MinFunc(order, func(a, b *playReplica) int {
			return cmp.Compare(s.profile.PredictFirstPiece(a.work, prompt), s.profile.PredictFirstPiece(b.work, prompt))
		}), Choice{}
	}
	c, err := s.tables[node].ChooseAt(s.clock(), Request{Group: "g", PromptTokens: prompt, OutputTokens: output, Target: s.target})
	if err != nil {
		panic(err)
	}
	return s.replicas[slices.IndexFunc(s.replicas, func(r *playReplica) bool { return r.id == c.Replica.ID })], c
}

// pass runs a pass of a replica and all further ones after it.
func (s *playState) pass(r *playReplica) {
	took, generated := r.engine.RunPass()
	r.busy = took > 0
	if !r.busy {
		return
	}
	s.after(took, func() {
		for _, j := range generated {
			s.generated(r, j)
		}
		s.pass(r)
	})
}

func (s *playState) generated(r *playReplica, j *enginemodel.Job) {
	c := s.calls[j]
	if !c.begun {
		c.begun = true
		first := s.now - c.at
		r.work.Read(j.PromptTokens)
		if s.now > playWarmUp {
			zone := c.node % s.zones
			s.n[zone]++
			if first <= s.target {
				s.onTime[zone]++
			}
			if c.local {
				s.local[zone]++
			}
		}
		if !s.perfect {
			c.choice.RecordFirstPiece(first)
			s.tables[c.node].ReportLoad(r.id, engine.Load{AsOf: s.clock(), Running: r.engine.Running(), Waiting: r.engine.Waiting(), MaxRunning: s.profile.Slots}, s.clock())
		}
	}
	if j.Done() {
		r.work.End(j.OutputTokens)
		if !s.perfect {
			s.tables[c.node].EndAt(s.clock(), c.choice, Result{OK: true})
		}
		delete(s.calls, j)
	}
}

func (s *playState) reportSize(node int) float64 {
	return float64(reportHead + reportEntry*len(s.tables[node].OwnWork()))
}

// reportPeriodically reports to one peer after the other.
func (s *playState) reportPeriodically(node int) {
	s.report(node)
	s.after(time.Duration(s.reportSize(node)/s.reportBytes*float64(time.Second)), func() { s.reportPeriodically(node) })
}

// reportChange reports to as many peers as half of the budget allows.
func (s *playState) reportChange(node int) {
	s.tokens[node] = min(s.tokens[node]+(s.now-s.spentAt[node]).Seconds()*s.reportBytes, reportInBurst*s.reportBytes)
	s.spentAt[node] = s.now
	size := s.reportSize(node)
	for range min((int(s.tokens[node]/size)+1)/2, s.nodes-1) {
		s.tokens[node] -= size
		s.report(node)
	}
}

// report sends a node's work to its next peer.
func (s *playState) report(node int) {
	s.nextPeer[node] = (s.nextPeer[node] + 1) % s.nodes
	peer, work := s.nextPeer[node], s.tables[node].OwnWork()
	if peer == node {
		return
	}
	s.after(reportLag, func() {
		for _, r := range s.replicas {
			w := work[r.id]
			if s.falsify != nil {
				w = s.falsify(node, w)
			}
			s.tables[peer].ObservePeerWork(cluster.NodeID(fmt.Sprint(node)), r.id, w, s.clock())
		}
	})
}

package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/routing"
)

// The simulation runs the deterministic cores (queue and routing table) of a few nodes
// in virtual time against a fake engine per replica, which batches requests, queues
// them and caches prefixes. It never waits for a real clock.

type timedEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(timedEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// load describes the load offered to a simulation.
type load struct {
	replicas, nodes int
	seed            uint64
	// perSecond is the offered request rate by team.
	perSecond map[cluster.TeamID]float64
	weights   map[cluster.TeamID]float64
	// naive picks replicas at random and has no queue; with cancels, requests of
	// callers that timed out are canceled at the engine.
	naive, cancels bool
	policy         routing.Policy
	seconds        int
	// prefixes is the number of long shared prompt prefixes; 0 for none.
	prefixes int
	// eventsEvery is the number of seconds between a node's polls of an engine's cache
	// events. With 0 it never polls, and its own routing choices are the only evidence
	// of what is cached.
	eventsEvery int
}

const (
	batch         = 8
	waitTimeout   = 3 * time.Second // how long a caller waits for the first token
	maxAttempts   = 3               // attempts per request, including the first
	warmUp        = 20 * time.Second
	tokenInterval = 20 * time.Millisecond
	prefillMiss   = 400 * time.Millisecond
	prefillHit    = 40 * time.Millisecond
	cachedPrompts = 12 // per engine
	meanTokens    = 100
)

// meanServiceTime is the mean slot time of a request without shared prefixes.
const meanServiceTime = prefillHit + meanTokens*tokenInterval

// capacityPerSecond returns how many requests per second the replicas can serve.
func capacityPerSecond(replicas int) float64 {
	return float64(replicas*batch) / meanServiceTime.Seconds()
}

// outcome holds what callers observed after the warm-up.
type outcome struct {
	good, sent, refused, timedOut int
	// served also counts answers that came too late.
	served         int
	goodOf, sentOf map[cluster.TeamID]int
	hits, misses   int
	seconds        float64
}

func (o outcome) goodput() float64 { return float64(o.good) / o.seconds }

type simulation struct {
	load
	now      time.Duration
	events   eventHeap
	seq      int
	rng      *rand.Rand
	engines  map[cluster.ReplicaID]*fakeEngine
	order    []*fakeEngine
	simNodes []*simNode
	result   outcome
	pending  map[*ticket]*call // the calls of waiting tickets
}

// simNode is one fenneld: its queue and its routing table.
type simNode struct {
	queue *queue
	table *routing.Table
}

type fakeEngine struct {
	sim     *simulation
	id      cluster.ReplicaID
	running int
	waiting []*call
	cached  []uint64 // least recently used first
	events  engine.CacheEvents
}

// call is one attempt of a request.
type call struct {
	team      cluster.TeamID
	tokens    int
	prefix    uint64
	attempt   int
	node      *simNode
	ticket    *ticket
	sentAt    time.Duration
	firstAt   time.Duration
	abandoned bool
	done      func()
}

var simStart = time.Unix(1_000_000, 0)

func (s *simulation) clock() time.Time { return simStart.Add(s.now) }

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, timedEvent{at: s.now + max(d, 0), seq: s.seq, do: do})
}

func runLoad(l load) outcome {
	s := &simulation{load: l, rng: rand.New(rand.NewPCG(l.seed, 7)), engines: map[cluster.ReplicaID]*fakeEngine{}, pending: map[*ticket]*call{}}
	s.result = outcome{goodOf: map[cluster.TeamID]int{}, sentOf: map[cluster.TeamID]int{}, seconds: float64(l.seconds)}
	s.build()
	for _, team := range sortedTeams(l.perSecond) {
		s.arrivals(team, l.perSecond[team])
	}
	s.after(time.Second, s.gossip)
	end := warmUp + time.Duration(l.seconds)*time.Second
	for len(s.events) > 0 && s.events[0].at < end {
		e := heap.Pop(&s.events).(timedEvent)
		s.now = e.at
		e.do()
	}
	return s.result
}

func (s *simulation) build() {
	var entries []routing.Entry
	for i := range s.replicas {
		id := cluster.ReplicaID(fmt.Sprintf("r%d", i))
		e := &fakeEngine{sim: s, id: id, events: engine.CacheEvents{Boot: "b"}}
		s.engines[id] = e
		s.order = append(s.order, e)
		entries = append(entries, routing.Entry{Replica: cluster.Replica{ID: id, Group: "g", Zone: "a", Generation: 1}, Addr: string(id)})
	}
	for i := range s.nodes {
		m := &simNode{queue: newQueue(30 * time.Second), table: routing.NewTable(routing.Options{Zone: "a", Policy: s.policy, Seed: s.seed + uint64(i)})}
		m.table.SetReplicas("a", entries)
		for _, e := range entries {
			m.table.SetHealthy(e.Replica.ID, 1, true)
		}
		m.queue.setSlots(simStart, int(DefaultOvercommit*float64(s.replicas*batch)/float64(s.nodes)))
		s.simNodes = append(s.simNodes, m)
	}
}

// gossip distributes load reports and the peers' outstanding counts once a second.
func (s *simulation) gossip() {
	taken := s.clock()
	loads := map[cluster.ReplicaID]engine.Load{}
	for _, e := range s.order {
		loads[e.id] = engine.Load{AsOf: taken, Running: e.running, Waiting: len(e.waiting), MaxRunning: batch}
	}
	s.after(200*time.Millisecond, func() {
		for i, m := range s.simNodes {
			for id, l := range loads {
				m.table.ReportLoad(id, l, s.clock())
			}
			for j, peer := range s.simNodes {
				if i == j {
					continue
				}
				for _, status := range peer.table.Statuses(s.clock()) {
					m.table.ObservePeerOutstanding(cluster.NodeID(fmt.Sprint(j)), status.Replica.ID, status.Outstanding, s.clock())
				}
			}
			s.pollCaches(i, m)
		}
	})
	s.after(time.Second, s.gossip)
}

// pollCaches polls each engine's cache events once every eventsEvery seconds.
func (s *simulation) pollCaches(node int, m *simNode) {
	second := int(s.now / time.Second)
	for k, e := range s.order {
		if s.eventsEvery == 0 || (second+k+node)%s.eventsEvery != 0 {
			continue
		}
		news := engine.CacheEvents{Boot: "b", Next: e.events.Next}
		after := m.table.CacheSeq(e.id)
		for _, ev := range e.events.Events {
			if ev.Seq > after {
				news.Events = append(news.Events, ev)
			}
		}
		m.table.CacheEvents(e.id, news, s.clock())
	}
}

func (s *simulation) arrivals(team cluster.TeamID, rate float64) {
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		s.arrivals(team, rate)
		c := &call{team: team, tokens: 20 + s.rng.IntN(2*(meanTokens-20)+1)}
		if s.prefixes > 0 {
			// The product of two uniform variates makes a few prefixes frequent and
			// most rare.
			c.prefix = 1 + uint64(float64(s.prefixes)*s.rng.Float64()*s.rng.Float64())
		}
		if s.now >= warmUp {
			s.result.sent++
			s.result.sentOf[team]++
		}
		s.send(c)
	})
}

func (s *simulation) send(c *call) {
	c.attempt++
	c.node = s.simNodes[s.rng.IntN(len(s.simNodes))]
	c.sentAt, c.firstAt, c.abandoned = s.now, 0, false
	if s.naive {
		s.start(c)
		s.after(waitTimeout, func() { s.callerTimeout(c) })
		return
	}
	t := &ticket{team: c.team, cost: 1, deadline: s.clock().Add(waitTimeout), hasDeadline: true, decided: make(chan struct{})}
	c.ticket = t
	weight := 10.0
	if w := s.weights[c.team]; w > 0 {
		weight = w
	}
	if refusal := c.node.queue.enqueue(s.clock(), t, weight, noLimit{}); refusal != nil {
		s.retryRefused(c, refusal)
		return
	}
	s.pending[t] = c
	s.after(t.startBy.Sub(s.clock()), func() {
		c.node.queue.expire(s.clock(), t)
		if t.refusal != nil {
			s.retryRefused(c, t.refusal)
		}
	})
	s.dispatch(c.node)
}

type noLimit struct{}

func (noLimit) available() int   { return unlimited }
func (noLimit) tryAcquire() bool { return true }

func (s *simulation) dispatch(m *simNode) {
	for _, t := range m.queue.dispatch(s.clock()) {
		c := s.pending[t]
		delete(s.pending, t)
		s.start(c)
	}
}

// retryRefused makes the caller of a refused request retry after its Retry-After.
func (s *simulation) retryRefused(c *call, refusal *fennelerr.Error) {
	delete(s.pending, c.ticket)
	if s.now >= warmUp {
		s.result.refused++
	}
	if c.attempt < maxAttempts {
		again := &call{team: c.team, tokens: c.tokens, prefix: c.prefix, attempt: c.attempt}
		s.after(refusal.RetryAfter, func() { s.send(again) })
	}
}

// callerTimeout handles the timeout of a naive caller, which sends the request again.
func (s *simulation) callerTimeout(c *call) {
	if c.firstAt > 0 {
		return
	}
	c.abandoned = true
	if s.now >= warmUp {
		s.result.timedOut++
	}
	if c.attempt < maxAttempts {
		s.send(&call{team: c.team, tokens: c.tokens, prefix: c.prefix, attempt: c.attempt})
	}
}

func (s *simulation) start(c *call) {
	req := routing.Request{Group: "g"}
	if c.prefix > 0 {
		req.PrefixHashes = []uint64{c.prefix}
	}
	choice, err := c.node.table.ChooseAt(s.clock(), req)
	if err != nil {
		panic(err)
	}
	began := s.now
	c.done = func() {
		c.node.table.EndAt(s.clock(), choice, routing.Result{OK: !c.abandoned, Canceled: c.abandoned, FirstToken: c.firstAt - began, Tokens: c.tokens, Duration: s.now - began})
		if !s.naive {
			c.node.queue.finish(s.clock(), c.ticket, true)
			s.dispatch(c.node)
		}
	}
	e := s.engines[choice.Replica.ID]
	e.waiting = append(e.waiting, c)
	e.startWaiting()
}

func (e *fakeEngine) startWaiting() {
	for e.running < batch && len(e.waiting) > 0 {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		if c.abandoned && e.sim.cancels {
			c.done()
			continue
		}
		e.running++
		prefill := e.prefill(c.prefix)
		e.sim.after(prefill, func() { e.sim.onFirstToken(c) })
		e.sim.after(prefill+time.Duration(c.tokens)*tokenInterval, func() { e.finish(c) })
	}
}

func (s *simulation) onFirstToken(c *call) {
	c.firstAt = s.now
	if !s.naive {
		c.node.queue.observeFirstToken(s.clock(), c.ticket)
	}
}

func (e *fakeEngine) finish(c *call) {
	e.running--
	e.sim.recordAnswer(c)
	c.done()
	e.startWaiting()
}

func (s *simulation) recordAnswer(c *call) {
	if s.now >= warmUp {
		s.result.served++
	}
	if s.now < warmUp || c.abandoned || c.firstAt-c.sentAt > waitTimeout {
		return
	}
	s.result.good++
	s.result.goodOf[c.team]++
}

func (e *fakeEngine) prefill(prefix uint64) time.Duration {
	if prefix == 0 {
		return prefillHit
	}
	for i, p := range e.cached {
		if p == prefix {
			e.cached = append(append(e.cached[:i:i], e.cached[i+1:]...), prefix)
			e.sim.result.hits++
			return prefillHit
		}
	}
	e.sim.result.misses++
	e.cached = append(e.cached, prefix)
	e.logCacheEvent(prefix, false)
	if len(e.cached) > cachedPrompts {
		e.logCacheEvent(e.cached[0], true)
		e.cached = e.cached[1:]
	}
	return prefillMiss
}

// logCacheEvent records a cache event; every eighth is lost.
func (e *fakeEngine) logCacheEvent(prefix uint64, evicted bool) {
	e.events.Next++
	if e.events.Next%8 != 0 {
		e.events.Events = append(e.events.Events, engine.CacheEvent{Seq: e.events.Next, PrefixHash: prefix, Evicted: evicted})
	}
}

func sortedTeams[V any](m map[cluster.TeamID]V) (out []cluster.TeamID) {
	for i := range 64 {
		if _, ok := m[team(i)]; ok {
			out = append(out, team(i))
		}
	}
	return out
}

func team(i int) cluster.TeamID { return cluster.TeamID(fmt.Sprintf("t%d", i)) }

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

// The measurements run the pure cores (queue and routing table) of a few nodes
// in virtual time against a fake engine per replica that batches, queues and
// caches prefixes. Nothing in them waits for a real clock.

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

// load says what is offered to a fleet.
type load struct {
	replicas, nodes int
	seed            uint64
	// perSecond is the offered requests by team.
	perSecond map[cluster.TeamID]float64
	weights   map[cluster.TeamID]float64
	// naive: random replica, no queue. cancels: a caller who gave up is canceled at the engine.
	naive, cancels bool
	policy         routing.Policy
	seconds        int
	// prefixes is the number of long shared prompt prefixes; 0 for none.
	prefixes int
	// eventsEvery is the seconds between two polls of an engine's cache events
	// by a node; 0 polls never, so that own choices tell alone what is cached.
	eventsEvery int
}

const (
	batch         = 8
	waitTimeout   = 3 * time.Second // how long a caller waits for the first token
	tries         = 3               // how often a caller sends a request at most
	warmUp        = 20 * time.Second
	tokenInterval = 20 * time.Millisecond
	prefillMiss   = 400 * time.Millisecond
	prefillHit    = 40 * time.Millisecond
	cachedPrompts = 12 // per engine
	meanTokens    = 100
)

// meanHold is the mean slot time of a request without shared prefixes.
const meanHold = prefillHit + meanTokens*tokenInterval

// capacityPerSecond is how many requests the replicas can serve in a second.
func capacityPerSecond(replicas int) float64 { return float64(replicas*batch) / meanHold.Seconds() }

// outcome is what callers saw after the warm-up.
type outcome struct {
	good, sent, refused, late int
	// served counts answers that came too late as well: work for nobody.
	served         int
	goodOf, sentOf map[cluster.TeamID]int
	hits, misses   int
	seconds        float64
}

func (o outcome) goodput() float64 { return float64(o.good) / o.seconds }

type fleet struct {
	load
	now     time.Duration
	events  eventHeap
	seq     int
	rnd     *rand.Rand
	engines map[cluster.ReplicaID]*fakeEngine
	order   []*fakeEngine
	members []*member
	out     outcome
	pending map[*ticket]*call // the calls of waiting tickets
}

// member is one fenneld: its queue and its routing table.
type member struct {
	queue *queue
	table *routing.Table
}

type fakeEngine struct {
	f       *fleet
	id      cluster.ReplicaID
	running int
	waiting []*call
	cached  []uint64 // least recently used first
	events  engine.CacheEvents
}

// call is one sending of a request.
type call struct {
	team    cluster.TeamID
	tokens  int
	prefix  uint64
	try     int
	node    *member
	ticket  *ticket
	sentAt  time.Duration
	firstAt time.Duration
	gone    bool
	done    func()
}

var epoch = time.Unix(1_000_000, 0)

func (f *fleet) clock() time.Time { return epoch.Add(f.now) }

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, timedEvent{at: f.now + max(d, 0), seq: f.seq, do: do})
}

func runLoad(l load) outcome {
	f := &fleet{load: l, rnd: rand.New(rand.NewPCG(l.seed, 7)), engines: map[cluster.ReplicaID]*fakeEngine{}, pending: map[*ticket]*call{}}
	f.out = outcome{goodOf: map[cluster.TeamID]int{}, sentOf: map[cluster.TeamID]int{}, seconds: float64(l.seconds)}
	f.build()
	for _, team := range sortedTeams(l.perSecond) {
		f.arrivals(team, l.perSecond[team])
	}
	f.after(time.Second, f.gossip)
	end := warmUp + time.Duration(l.seconds)*time.Second
	for len(f.events) > 0 && f.events[0].at < end {
		e := heap.Pop(&f.events).(timedEvent)
		f.now = e.at
		e.do()
	}
	return f.out
}

func (f *fleet) build() {
	var entries []routing.Entry
	for i := range f.replicas {
		id := cluster.ReplicaID(fmt.Sprintf("r%d", i))
		e := &fakeEngine{f: f, id: id, events: engine.CacheEvents{Boot: "b"}}
		f.engines[id] = e
		f.order = append(f.order, e)
		entries = append(entries, routing.Entry{Replica: cluster.Replica{ID: id, Group: "g", Zone: "a", Generation: 1}, Addr: string(id)})
	}
	for i := range f.nodes {
		m := &member{queue: newQueue(30 * time.Second), table: routing.NewTable(routing.Options{Zone: "a", Policy: f.policy, Seed: f.seed + uint64(i)})}
		m.table.SetReplicas("a", entries)
		for _, e := range entries {
			m.table.SetHealthy(e.Replica.ID, 1, true)
		}
		m.queue.setSlots(epoch, int(DefaultOvercommit*float64(f.replicas*batch)/float64(f.nodes)))
		f.members = append(f.members, m)
	}
}

// gossip carries load reports and the peers' outstanding counts once a second.
func (f *fleet) gossip() {
	taken := f.clock()
	loads := map[cluster.ReplicaID]engine.Load{}
	for _, e := range f.order {
		loads[e.id] = engine.Load{AsOf: taken, Running: e.running, Waiting: len(e.waiting), MaxRunning: batch}
	}
	f.after(200*time.Millisecond, func() {
		for i, m := range f.members {
			for id, l := range loads {
				m.table.ReportLoad(id, l, f.clock())
			}
			for j, peer := range f.members {
				if i == j {
					continue
				}
				for _, s := range peer.table.Statuses(f.clock()) {
					m.table.ObservePeerOutstanding(cluster.NodeID(fmt.Sprint(j)), s.Replica.ID, s.Outstanding, f.clock())
				}
			}
			f.pollCaches(i, m)
		}
	})
	f.after(time.Second, f.gossip)
}

// pollCaches asks each engine for its cache events once every eventsEvery seconds.
func (f *fleet) pollCaches(node int, m *member) {
	second := int(f.now / time.Second)
	for k, e := range f.order {
		if f.eventsEvery == 0 || (second+k+node)%f.eventsEvery != 0 {
			continue
		}
		news := engine.CacheEvents{Boot: "b", Next: e.events.Next}
		after := m.table.CacheSeq(e.id)
		for _, ev := range e.events.Events {
			if ev.Seq > after {
				news.Events = append(news.Events, ev)
			}
		}
		m.table.CacheEvents(e.id, news, f.clock())
	}
}

func (f *fleet) arrivals(team cluster.TeamID, rate float64) {
	f.after(time.Duration(f.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		f.arrivals(team, rate)
		c := &call{team: team, tokens: 20 + f.rnd.IntN(2*(meanTokens-20)+1)}
		if f.prefixes > 0 {
			// A few prefixes are frequent, most are rare.
			c.prefix = 1 + uint64(float64(f.prefixes)*f.rnd.Float64()*f.rnd.Float64())
		}
		if f.now >= warmUp {
			f.out.sent++
			f.out.sentOf[team]++
		}
		f.send(c)
	})
}

func (f *fleet) send(c *call) {
	c.try++
	c.node = f.members[f.rnd.IntN(len(f.members))]
	c.sentAt, c.firstAt, c.gone = f.now, 0, false
	if f.naive {
		f.start(c)
		f.after(waitTimeout, func() { f.giveUp(c) })
		return
	}
	t := &ticket{team: c.team, cost: 1, deadline: f.clock().Add(waitTimeout), given: true, settled: make(chan struct{})}
	c.ticket = t
	weight := 10.0
	if w := f.weights[c.team]; w > 0 {
		weight = w
	}
	if refusal := c.node.queue.arrive(f.clock(), t, weight, noLimit{}); refusal != nil {
		f.refused(c, refusal)
		return
	}
	f.pending[t] = c
	f.after(t.startBy.Sub(f.clock()), func() {
		c.node.queue.expire(f.clock(), t)
		if t.refusal != nil {
			f.refused(c, t.refusal)
		}
	})
	f.dispatch(c.node)
}

type noLimit struct{}

func (noLimit) room() int  { return unlimited }
func (noLimit) take() bool { return true }

func (f *fleet) dispatch(m *member) {
	for _, t := range m.queue.dispatch(f.clock()) {
		c := f.pending[t]
		delete(f.pending, t)
		f.start(c)
	}
}

// refused callers come back when they are told to.
func (f *fleet) refused(c *call, why *fennelerr.Error) {
	delete(f.pending, c.ticket)
	if f.now >= warmUp {
		f.out.refused++
	}
	if c.try < tries {
		again := &call{team: c.team, tokens: c.tokens, prefix: c.prefix, try: c.try}
		f.after(why.RetryAfter, func() { f.send(again) })
	}
}

// giveUp is a naive caller whose timeout passed: it sends the request again.
func (f *fleet) giveUp(c *call) {
	if c.firstAt > 0 {
		return
	}
	c.gone = true
	if f.now >= warmUp {
		f.out.late++
	}
	if c.try < tries {
		f.send(&call{team: c.team, tokens: c.tokens, prefix: c.prefix, try: c.try})
	}
}

func (f *fleet) start(c *call) {
	req := routing.Request{Group: "g"}
	if c.prefix > 0 {
		req.PrefixHashes = []uint64{c.prefix}
	}
	choice, err := c.node.table.ChooseAt(f.clock(), req)
	if err != nil {
		panic(err)
	}
	began := f.now
	c.done = func() {
		c.node.table.EndAt(f.clock(), choice, routing.Result{OK: !c.gone, Canceled: c.gone, FirstToken: c.firstAt - began, Tokens: c.tokens, Duration: f.now - began})
		if !f.naive {
			c.node.queue.finish(f.clock(), c.ticket, true)
			f.dispatch(c.node)
		}
	}
	e := f.engines[choice.Replica.ID]
	e.waiting = append(e.waiting, c)
	e.fill()
}

func (e *fakeEngine) fill() {
	for e.running < batch && len(e.waiting) > 0 {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		if c.gone && e.f.cancels {
			c.done()
			continue
		}
		e.running++
		prefill := e.prefill(c.prefix)
		e.f.after(prefill, func() { e.f.first(c) })
		e.f.after(prefill+time.Duration(c.tokens)*tokenInterval, func() { e.end(c) })
	}
}

func (f *fleet) first(c *call) {
	c.firstAt = f.now
	if !f.naive {
		c.node.queue.firstToken(f.clock(), c.ticket)
	}
}

func (e *fakeEngine) end(c *call) {
	e.running--
	e.f.count(c)
	c.done()
	e.fill()
}

func (f *fleet) count(c *call) {
	if f.now >= warmUp {
		f.out.served++
	}
	if f.now < warmUp || c.gone || c.firstAt-c.sentAt > waitTimeout {
		return
	}
	f.out.good++
	f.out.goodOf[c.team]++
}

func (e *fakeEngine) prefill(prefix uint64) time.Duration {
	if prefix == 0 {
		return prefillHit
	}
	for i, p := range e.cached {
		if p == prefix {
			e.cached = append(append(e.cached[:i:i], e.cached[i+1:]...), prefix)
			e.f.out.hits++
			return prefillHit
		}
	}
	e.f.out.misses++
	e.cached = append(e.cached, prefix)
	e.publish(prefix, false)
	if len(e.cached) > cachedPrompts {
		e.publish(e.cached[0], true)
		e.cached = e.cached[1:]
	}
	return prefillMiss
}

// publish logs a cache event; every eighth is lost.
func (e *fakeEngine) publish(prefix uint64, evicted bool) {
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

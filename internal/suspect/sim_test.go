package suspect_test

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wiretest"
)

var _ tracking = (*suspect.Tracker)(nil)

// naive implements tracking without any tracking.
type naive struct{}

func (naive) Admit(context.Context, suspect.Fingerprint) (bool, error) { return false, nil }
func (naive) MayRetryOn(cluster.ReplicaID) bool                        { return true }
func (naive) Begin(suspect.Fingerprint, cluster.ReplicaID, int64, bool) func(suspect.Outcome) {
	return func(suspect.Outcome) {}
}

// tracking is what a node does about suspects.
type tracking interface {
	Admit(ctx context.Context, fp suspect.Fingerprint) (alone bool, err error)
	MayRetryOn(replica cluster.ReplicaID) bool
	Begin(fp suspect.Fingerprint, replica cluster.ReplicaID, generation int64, alone bool) (end func(suspect.Outcome))
}

// scenario configures a simulation of several nodes and replicas on the fake clock.
type scenario struct {
	nodes, replicas int
	loss            float64
	seed            uint64
	naive           bool
	// poisonCallers is the number of callers that send the poison request concurrently,
	// each repeatedly and each time through the next node.
	poisonCallers int
	// partitioned blocks datagrams between the first and the second half of the nodes.
	partitioned bool
	// downFor is how long a crashed replica takes to come back; zero means 10 s.
	downFor time.Duration
	length  time.Duration
}

type outcome struct {
	kills            int
	innocentsRefused int
	innocentsDone    int
	poisonRefused    int
	// known is the time from the first kill until the last node refused the poison
	// request.
	known time.Duration
	// slowRefusals counts refusals of the poison request after known that took longer
	// than 10 ms.
	slowRefusals int
}

type fakeReplica struct {
	id         cluster.ReplicaID
	generation int64
	down       bool
	// crash is closed when this generation crashes.
	crash chan struct{}
	// suspects counts the retries alone running on the replica, by node, as each node's
	// router counts them.
	suspects map[int]int
}

type sim struct {
	scenario
	mu        sync.Mutex
	rng       *rand.Rand
	replicas  []*fakeReplica
	trackers  []tracking
	members   []*membership.Service
	out       outcome
	firstKill time.Time
	refusedBy map[int]bool
}

var poison = fingerprint(1)

func fingerprint(n uint64) (fp suspect.Fingerprint) {
	binary.BigEndian.PutUint64(fp[:], n)
	return fp
}

// simulate runs a scenario. Innocent requests arrive at every node throughout.
func simulate(t *testing.T, sc scenario) (out outcome) {
	synctest.Test(t, func(t *testing.T) {
		s := &sim{scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 2)), refusedBy: make(map[int]bool)}
		for i := range sc.replicas {
			s.replicas = append(s.replicas, &fakeReplica{
				id: cluster.ReplicaID(fmt.Sprintf("replica-%d", i)), generation: 1,
				crash: make(chan struct{}), suspects: make(map[int]int),
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		s.startNodes(ctx, t, &wg)
		time.Sleep(10 * time.Second)
		loads, stopLoads := context.WithTimeout(ctx, sc.length)
		for i := range sc.nodes {
			wg.Go(func() { s.sendInnocents(loads, &wg, i) })
		}
		time.Sleep(3 * time.Second)
		for p := range sc.poisonCallers {
			wg.Go(func() { s.sendPoison(loads, p) })
		}
		<-loads.Done()
		stopLoads()
		cancel()
		wg.Wait()
		out = s.out
	})
	return out
}

func (s *sim) startNodes(ctx context.Context, t *testing.T, wg *sync.WaitGroup) {
	net := wiretest.New(s.seed)
	net.SetLoss(s.loss)
	keys, err := wire.NewKeyring(wire.Key{ID: 1, Secret: []byte("0123456789abcdef")})
	require.NoError(t, err)
	quiet := slog.New(slog.DiscardHandler)
	addr := func(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }
	side := make(map[string]bool)
	for i := range s.nodes {
		side[addr(i)] = i < s.nodes/2
	}
	if s.partitioned {
		net.Block(func(from, to string) bool { return side[from] != side[to] })
	}
	for i := range s.nodes {
		transport, err := wire.NewTransport(net.Attach(addr(i)), wire.Options{Keys: keys, Log: quiet})
		require.NoError(t, err)
		name := cluster.NodeID(fmt.Sprintf("node-%d", i))
		m := membership.New(membership.Options{
			Node: name, Zone: "zone-a", Seeds: []string{addr(0), addr(s.nodes - 1)}, Transport: transport,
			Rand: rand.New(rand.NewPCG(s.seed, uint64(i))), Log: quiet,
		})
		s.members = append(s.members, m)
		if s.naive {
			s.trackers = append(s.trackers, naive{})
			continue
		}
		tracker := suspect.New(suspect.Options{Node: name, Peers: func() int { return len(m.Members()) }, Rank: m.Rank, TriggerHeartbeat: m.TriggerHeartbeat, Log: quiet})
		m.AddSource(tracker.Section)
		m.OnDatagram(tracker.Receive)
		s.trackers = append(s.trackers, tracker)
		wg.Go(func() { m.Run(ctx) })
	}
}

// sendInnocents sends requests through one node until ctx ends.
func (s *sim) sendInnocents(ctx context.Context, wg *sync.WaitGroup, node int) {
	for n := uint64(0); ctx.Err() == nil; n++ {
		fp := fingerprint(1_000_000*uint64(node+1) + n)
		wg.Go(func() {
			err := s.request(ctx, node, fp)
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case err == nil:
				s.out.innocentsDone++
			case fennelerr.Is(err, fennelerr.Quarantined):
				s.out.innocentsRefused++
			}
		})
		time.Sleep(s.randomDuration(50*time.Millisecond, 250*time.Millisecond))
	}
}

// sendPoison sends the poison request again as soon as it is answered.
func (s *sim) sendPoison(ctx context.Context, caller int) {
	for n := caller; ctx.Err() == nil; n++ {
		node := n % s.nodes
		began := time.Now()
		err := s.request(ctx, node, poison)
		s.mu.Lock()
		if fennelerr.Is(err, fennelerr.Quarantined) {
			s.out.poisonRefused++
			switch {
			case len(s.refusedBy) == s.nodes && time.Since(began) > 10*time.Millisecond:
				s.out.slowRefusals++
			case !s.refusedBy[node]:
				s.refusedBy[node] = true
				s.out.known = time.Since(s.firstKill)
			}
		}
		s.mu.Unlock()
		time.Sleep(s.randomDuration(20*time.Millisecond, 100*time.Millisecond))
	}
}

// request does what the gateway does: admit, choose, run, and repeat after a crash.
func (s *sim) request(ctx context.Context, node int, fp suspect.Fingerprint) error {
	for {
		alone, err := s.trackers[node].Admit(ctx, fp)
		if err != nil {
			return err
		}
		replica, generation, died := s.choose(ctx, node, alone)
		if replica == nil {
			return ctx.Err()
		}
		end := s.trackers[node].Begin(fp, replica.id, generation, alone)
		crashed := s.execute(ctx, replica, died, fp)
		if alone {
			s.mu.Lock()
			replica.suspects[node]--
			s.mu.Unlock()
		}
		end(ending(ctx, crashed))
		if !crashed {
			return ctx.Err()
		}
	}
}

func ending(ctx context.Context, crashed bool) suspect.Outcome {
	switch {
	case crashed:
		return suspect.Crashed
	case ctx.Err() != nil:
		return suspect.Abandoned
	default:
		return suspect.Finished
	}
}

// choose waits for a live replica; for a suspect, for one on which this node may retry.
func (s *sim) choose(ctx context.Context, node int, alone bool) (*fakeReplica, int64, chan struct{}) {
	for ctx.Err() == nil {
		s.mu.Lock()
		r := s.pick(node, alone)
		if r != nil {
			if alone {
				r.suspects[node]++
			}
			defer s.mu.Unlock()
			return r, r.generation, r.crash
		}
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
	return nil, 0, nil
}

func (s *sim) pick(node int, alone bool) *fakeReplica {
	tracker, tracked := s.trackers[node].(*suspect.Tracker)
	for _, i := range s.rng.Perm(len(s.replicas)) {
		r := s.replicas[i]
		switch {
		case r.down:
		case !alone || !tracked:
			return r
		case r.suspects[node] == 0 && tracker.MayRetryOn(r.id):
			return r
		}
	}
	return nil
}

// execute runs one request and reports whether the replica crashed under it.
func (s *sim) execute(ctx context.Context, r *fakeReplica, died chan struct{}, fp suspect.Fingerprint) bool {
	if fp == poison {
		time.Sleep(s.randomDuration(20*time.Millisecond, 400*time.Millisecond))
		s.kill(r, died)
		<-died
		return true
	}
	select {
	case <-died:
		// Nodes detect the crash at different times.
		time.Sleep(s.randomDuration(0, 100*time.Millisecond))
		return true
	case <-time.After(s.randomDuration(200*time.Millisecond, 3*time.Second)):
		return false
	case <-ctx.Done():
		return false
	}
}

// kill crashes one generation of a replica. The next generation starts after downFor.
func (s *sim) kill(r *fakeReplica, died chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.crash != died || r.down {
		return
	}
	close(r.crash)
	r.down = true
	s.out.kills++
	if s.firstKill.IsZero() {
		s.firstKill = time.Now()
	}
	time.AfterFunc(cmp.Or(s.downFor, 10*time.Second), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		r.down, r.crash = false, make(chan struct{})
		r.generation++
	})
}

func (s *sim) randomDuration(low, high time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return low + time.Duration(s.rng.Int64N(int64(high-low)+1))
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

const (
	// Bounds of the random time for which a server asks to get no requests, or says that it leaves
	// before it ends, and of the pauses in between.
	minSignalDuration, maxSignalDuration = time.Second, 2500 * time.Millisecond
	minSignalPause, maxSignalPause       = 200 * time.Millisecond, 800 * time.Millisecond
	// signalReaction is how long after a server's first answer with a signal requests do not count.
	signalReaction = 500 * time.Millisecond
	// requestsPerNode is how many requests of a node may reach a server against its signal. Each node
	// learns of it by its own first answer, and forgets it when it restarts.
	requestsPerNode = 4
)

// giveSignals has random servers ask for no requests or say that they leave, one after the other,
// until stop is closed. It returns the findings. It draws from a random generator of its own, so
// that the faults of a seed stay the same.
func (env *Environment) giveSignals(stop <-chan struct{}) (findings []string) {
	rnd := rand.New(rand.NewPCG(env.opts.Seed, 1))
	for round := 0; ; round++ {
		select {
		case <-stop:
			return findings
		case <-time.After(randomDuration(rnd, minSignalPause, maxSignalPause)):
		}
		server, length := env.randomServer(rnd), randomDuration(rnd, minSignalDuration, maxSignalDuration)
		if server == nil {
			continue
		}
		signals := standin.Signals{Pushback: length}
		if rnd.IntN(2) == 0 {
			signals = standin.Signals{Leaving: true}
		}
		env.opts.Log("%s: %+v", server.ID(), signals)
		server.Signal(signals)
		if signals.Pushback > 0 {
			env.fillQueue(server)
		}
		time.Sleep(length)
		if late, bound := countLate(server.Arrivals(), length), requestsPerNode*len(env.nodes); late > bound {
			findings = append(findings, fmt.Sprintf("%s got %d requests against its signal %+v; %d may come", server.ID(), late, signals, bound))
		}
		server.Signal(standin.Signals{})
		if signals.Leaving {
			server.Kill()
			env.replaceServer(server, rnd, round)
		}
	}
}

// queuePause is how long a server accepts no connection as it asks for no requests. The calls whose opening
// packets are dropped then would reach it a second later.
const queuePause = 60 * time.Millisecond

// fillQueue has the queue of the server's new connections fill up.
func (env *Environment) fillQueue(server *standin.Server) {
	for _, p := range env.allProxies() {
		if p.Addr() != server.Addr() {
			continue
		}
		if err := p.Pause(queuePause); err != nil {
			env.opts.Log("%s: %v", server.ID(), err)
		}
	}
}

// countLate counts the arrivals later than signalReaction after the first one and before the end.
func countLate(arrivals []time.Time, length time.Duration) (late int) {
	for _, at := range arrivals {
		if after := at.Sub(arrivals[0]); after > signalReaction && after < length {
			late++
		}
	}
	return late
}

// randomServer returns a server that takes requests, or nil if there is none.
func (env *Environment) randomServer(rnd *rand.Rand) *standin.Server {
	servers := append(env.fleet.OpenHeads("m3"), env.fleet.OpenHeads("m2")...)
	for _, id := range env.plainServerIDs() {
		servers = append(servers, env.fleet.Server(id))
	}
	if len(servers) == 0 {
		return nil
	}
	return servers[rnd.IntN(len(servers))]
}

// replaceServer starts another server in place of one that has left.
func (env *Environment) replaceServer(left *standin.Server, rnd *rand.Rand, round int) {
	if !env.replacePlainServer(left.ID(), fmt.Sprintf("desk-new-%d", round)) {
		env.replaceVM(rnd)
	}
}

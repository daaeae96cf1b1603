package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

const (
	// drainBound is how long a server may get requests after its entry says that it leaves, or is gone.
	drainBound = 2 * time.Second
	// Bounds of the length of a cut, and of the time from its end at which servers leave.
	minStoreCut, maxStoreCut  = 3050 * time.Millisecond, 7 * time.Second
	firstLeaving, lastLeaving = -time.Second, 3 * time.Second
	leavingServers            = 6
	storeCutCallers           = 4
	storeCutPause             = 10 * time.Millisecond
	listedTimeout             = 10 * time.Second
	runSlack, entryPollPause  = 50 * time.Millisecond, 2 * time.Millisecond
)

// leaving is a server that leaves.
type leaving struct {
	server *standin.Server
	// after is when it leaves, from the end of the cut, and announced whether its entry says so before it is gone.
	after     time.Duration
	announced bool
	// at is when the store has acknowledged that.
	at time.Time
}

// playStoreCuts cuts one node off from the store time after time, while the store serves all others, and has servers
// leave around the end of the cut. It returns a finding for each server that gets requests of the node too late.
func (env *Environment) playStoreCuts() (findings []string) {
	rnd := rand.New(rand.NewPCG(env.opts.Seed, 5))
	for i := range env.opts.StoreCuts {
		found, err := env.storeCut(rnd, i)
		findings = append(findings, found...)
		if err != nil {
			return append(findings, err.Error())
		}
	}
	return findings
}

func (env *Environment) storeCut(rnd *rand.Rand, round int) (findings []string, err error) {
	n := env.randomNode(rnd)
	servers, err := env.addLeaving(rnd, n, round)
	if err != nil {
		return nil, err
	}
	defer func() {
		for _, l := range servers {
			l.server.Kill()
		}
	}()
	calls := fmt.Sprintf("cut-%d-", round)
	defer env.callSteadily(n, calls)()
	if err := awaitArrivals(servers); err != nil {
		return nil, err
	}
	length, mode := randomDuration(rnd, minStoreCut, maxStoreCut), []ProxyMode{Silence, DropResponses, Disconnect}[rnd.IntN(3)]
	env.opts.Log("%s cut off from the store for %s, mode %d", n.name, length, mode)
	n.store.SetMode(mode)
	end := time.Now().Add(length)
	var departures sync.WaitGroup
	for _, l := range servers {
		departures.Go(func() {
			time.Sleep(time.Until(end.Add(l.after)))
			env.leave(l)
		})
	}
	time.Sleep(time.Until(end))
	n.store.SetMode(Forward)
	restored := time.Now()
	departures.Wait()
	time.Sleep(contactBound + probeTail)
	for _, l := range servers {
		due := l.at.Add(drainBound)
		if inTouch := restored.Add(contactBound); inTouch.After(due) {
			due = inTouch
		}
		if id, last := env.observed.lastRun(calls, l.server.ID()); last.After(due.Add(runSlack)) {
			findings = append(findings, fmt.Sprintf("%s ran %s %s after it had left (announced %t), %s after the end of a cut of %s in %s, mode %d",
				l.server.ID(), id, last.Sub(l.at), l.announced, last.Sub(restored), n.name, length, mode))
		}
	}
	return findings, nil
}

// addLeaving adds servers of the plain service in the node's zone.
func (env *Environment) addLeaving(rnd *rand.Rand, n *node, round int) (servers []*leaving, err error) {
	for k := range leavingServers {
		server, err := env.fleet.Add(fmt.Sprintf("leaving-%d-%d-%d", env.opts.Seed, round, k), "desk", n.zone, "")
		if err != nil {
			return nil, err
		}
		servers = append(servers, &leaving{server: server, after: randomDuration(rnd, firstLeaving, lastLeaving), announced: rnd.IntN(3) == 0})
	}
	return servers, nil
}

// leave has a server leave, and records when the store has acknowledged it.
func (env *Environment) leave(l *leaving) {
	if l.announced {
		l.server.Drain()
	} else {
		l.server.Unregister()
	}
	for {
		kv, _, err := env.mem.Get(context.Background(), "servers/"+l.server.ID())
		if err == nil && (kv == nil || strings.Contains(string(kv.Value), "draining")) {
			l.at = time.Now()
			return
		}
		time.Sleep(entryPollPause)
	}
}

// awaitArrivals waits until each server has got requests.
func awaitArrivals(servers []*leaving) error {
	deadline := time.Now().Add(listedTimeout)
	for _, l := range servers {
		for len(l.server.Arrivals()) == 0 {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s got no request within %s", l.server.ID(), listedTimeout)
			}
			time.Sleep(storeCutPause)
		}
	}
	return nil
}

// lastRun returns which of the calls whose ids begin with prefix ran last on a server, and when it began.
func (o *observations) lastRun(prefix, server string) (id string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for call, runs := range o.runs {
		for _, run := range runs {
			if strings.HasPrefix(call, prefix) && run.Replica == server && run.At.After(at) {
				id, at = call, run.At
			}
		}
	}
	return id, at
}

// callSteadily sends calls with ids that begin with prefix to the plain service through the node until stop is called.
func (env *Environment) callSteadily(n *node, prefix string) (stop func()) {
	ended := make(chan struct{})
	var calling sync.WaitGroup
	for c := range storeCutCallers {
		calling.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				case <-time.After(storeCutPause):
				}
				call := Call{ID: fmt.Sprintf("%s%d-%d", prefix, c, i)}
				sendTo(client, n, &call, "/look/1", "")
			}
		})
	}
	return func() {
		close(ended)
		calling.Wait()
	}
}

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// Bounds of the random time between two moves of a route.
	minMovePause, maxMovePause = 300 * time.Millisecond, 900 * time.Millisecond
	// movedCallPause is the time between two calls of the route.
	movedCallPause = 20 * time.Millisecond
	// spareService is a plain service with one server, which only the moved route goes to.
	spareService = "spare"
)

// moveRoute moves a route between two plain services until stop is closed, and sends calls with a model over
// it. It returns findings for those that ran at a service that no version of the configuration names for
// the route. It draws from a random generator of its own, so that the faults of a seed stay the same.
func (env *Environment) moveRoute(stop <-chan struct{}) (findings []string) {
	rnd := rand.New(rand.NewPCG(env.opts.Seed, 3))
	if _, err := env.fleet.Add("spare-0", spareService, zoneName(0), ""); err != nil {
		return []string{err.Error()}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	services, next := []string{"desk", spareService}, time.Now()
	ran := 0
	for i := 0; ; i++ {
		select {
		case <-stop:
			if ran == 0 {
				findings = append(findings, "no call of the moved route ran")
			}
			return findings
		case <-time.After(movedCallPause):
		}
		if now := time.Now(); now.After(next) {
			next = now.Add(randomDuration(rnd, minMovePause, maxMovePause))
			services[0], services[1] = services[1], services[0]
			route := `,{"name":"moved","host":"a.example","prefix":"/moved/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"` + services[0] + `","max_attempts":2}`
			if err := env.writeConfig(route); err != nil {
				env.opts.Log("changing the configuration failed: %v", err)
			}
		}
		call := Call{ID: fmt.Sprintf("moved-%d", i)}
		sendTo(client, env.nodes[i%len(env.nodes)], &call, "/moved/1", "m3")
		for _, replica := range env.observed.ranOn(call.ID) {
			ran++
			if !strings.HasPrefix(replica, "desk-") && !strings.HasPrefix(replica, "spare-") && len(findings) < maxNamedCalls {
				findings = append(findings, fmt.Sprintf("%s ran on %s, of a service that its route never goes to", call.ID, replica))
			}
		}
	}
}

// ranOn returns the replicas on which a call ran.
func (o *observations) ranOn(id string) (replicas []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, run := range o.runs[id] {
		replicas = append(replicas, run.Replica)
	}
	return replicas
}

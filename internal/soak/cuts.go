package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of the random time for which the servers are cut off, and of the pauses in between.
const (
	minCutDuration, maxCutDuration = time.Second, 2500 * time.Millisecond
	minCutPause, maxCutPause       = 300 * time.Millisecond, time.Second
)

// cutServers separates the nodes from all servers, or from all but one, time after time until stop is
// closed: both ways, or for the servers' answers only. It draws from a random generator of its own,
// so that the faults of a seed stay the same.
func (env *Environment) cutServers(stop <-chan struct{}) []string {
	rnd := rand.New(rand.NewPCG(env.opts.Seed, 2))
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(randomDuration(rnd, minCutPause, maxCutPause)):
		}
		left, oneWay, length := rnd.IntN(2), rnd.IntN(2) == 0, randomDuration(rnd, minCutDuration, maxCutDuration)
		env.opts.Log("all servers but %d cut off for %s, one way %t", left, length, oneWay)
		cut := env.allProxies()
		rnd.Shuffle(len(cut), func(i, j int) { cut[i], cut[j] = cut[j], cut[i] })
		cut = cut[left:]
		for _, p := range cut {
			p.Cut(oneWay)
		}
		time.Sleep(length)
		for _, p := range cut {
			if err := p.Restore(); err != nil {
				env.opts.Log("a server stays cut off: %v", err)
			}
		}
	}
}

func (env *Environment) allProxies() []*Proxy {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.proxies)
}

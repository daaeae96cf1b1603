package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the deployment, and times of the case.
const (
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
	// clockSlack covers the time between an event and its note.
	clockSlack  = 20 * time.Millisecond
	cutTime     = 3800 * time.Millisecond
	leaveDelay  = 800 * time.Millisecond
	cutCycles   = 6
	deskReplies = 20 * time.Millisecond
)

// drained cuts one node off from the store, again and again, and has a replica of the plain service leave just after each
// cut. It checks that the node sends nothing to the replica later than the drain bound after its entry was removed.
func drained(w *world, trouble bool) (broken []string, err error) {
	if err := w.put("op/config", fmt.Sprintf(config, 1)); err != nil {
		return nil, err
	}
	next := 0
	add := func(zone string) (string, error) {
		ports, err := freePorts(1, 1)
		if err != nil {
			return "", err
		}
		id := fmt.Sprintf("desk-%d", next)
		next++
		return id, w.startReplica(id, "--service", "desk", "--zone", zone, "--addr", fmt.Sprintf("%s:%d", nodeIP(0), ports[0]), "--interval", deskReplies.String())
	}
	local, err := add("zone-0")
	if err != nil {
		return nil, err
	}
	for _, zone := range []string{"zone-1", "zone-2"} {
		if _, err := add(zone); err != nil {
			return nil, err
		}
	}
	link, err := newProxy(w.storeAddr)
	if err != nil {
		return nil, err
	}
	nodes, err := w.startNodes(link.addr(), w.storeAddr, w.storeAddr, w.storeAddr)
	if err != nil {
		return nil, err
	}
	var count atomic.Int64
	look := func() answer {
		return send(nodes[0].callers, "GET", "/look/1", fmt.Sprintf("look-%d", count.Add(1)), 4*time.Second, 4*time.Second, nil)
	}
	if !until(25*time.Second, func() bool { return look().status == 200 }) {
		return nil, errSetup
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if a := look(); a.status != 200 {
					w.note("client: status %d err %v after %v", a.status, a.err, a.took.Round(time.Millisecond))
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	for cycle := range cutCycles {
		replacement, err := add("zone-0")
		if err != nil {
			return nil, err
		}
		if trouble {
			w.note("cycle %d: cut", cycle)
			link.setCut(true)
		}
		time.Sleep(cutTime)
		if trouble {
			link.setCut(false)
			w.note("cycle %d: end of the cut", cycle)
		}
		healed := time.Now()
		time.Sleep(leaveDelay)
		w.replica(local).signal(syscall.SIGTERM)
		time.Sleep(drainTime + afterDrain + time.Second)
		broken = append(broken, lateRuns(w, cycle, local, healed)...)
		local = replacement
	}
	close(stop)
	clients.Wait()
	return broken, nil
}

// lateRuns returns the requests that reached a replica too late after its entry was removed, from a node that has
// been in touch for the contact bound.
func lateRuns(w *world, cycle int, id string, healed time.Time) (broken []string) {
	var removedMs int64
	for _, e := range w.events() {
		switch {
		case e.Replica != id:
		case e.What == "entry-removed":
			removedMs = e.AtMs
		case e.What == "run" && removedMs != 0:
			after := time.Duration(e.AtMs-removedMs) * time.Millisecond
			inTouch := time.UnixMilli(e.AtMs).After(healed.Add(contactBound + clockSlack))
			if after > drainBound+clockSlack && inTouch {
				broken = append(broken, fmt.Sprintf("DRAIN: cycle %d: %s reached %s %v after its entry was removed, %v after the end of the cut",
					cycle, e.Request, id, after, time.UnixMilli(e.AtMs).Sub(healed).Round(time.Millisecond)))
			}
		}
	}
	return broken
}

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents  = 24
	eventInterval = 100 * time.Millisecond
	// freezeTime is shorter than the gap after which clients abandon a stream: eight times the pause of 300 ms.
	freezeTime = 2100 * time.Millisecond
	streamGap  = 2400 * time.Millisecond
	downTime   = 1800 * time.Millisecond
	rounds     = 4
)

// truncated freezes one node while the head of a group crashes and is back, and checks that no stream that the crash
// has cut ends as a complete one.
func truncated(w *world, trouble bool) (broken []string, err error) {
	if err := w.put("op/config", fmt.Sprintf(config, 1)); err != nil {
		return nil, err
	}
	ports, err := freePorts(1, 8)
	if err != nil {
		return nil, err
	}
	for i, port := range ports {
		if err := w.startReplica(fmt.Sprintf("vm-%d", i), "--service", "models", "--zone", "zone-0", "--domain", "rack-0",
			"--addr", fmt.Sprintf("%s:%d", nodeIP(0), port), "--events", fmt.Sprint(streamEvents), "--interval", eventInterval.String(), "--unframed"); err != nil {
			return nil, err
		}
	}
	nodes, err := w.startNodes(w.storeAddr, w.storeAddr, w.storeAddr, w.storeAddr)
	if err != nil {
		return nil, err
	}
	for i, n := range nodes {
		try := 0
		if !until(25*time.Second, func() bool {
			try++
			return stream(n.callers, fmt.Sprintf("warm-%d-%d", i, try)).status == 200
		}) {
			return nil, errSetup
		}
	}
	time.Sleep(2 * time.Second)
	for round := range rounds {
		broken = append(broken, truncatedRound(w, nodes, round, trouble)...)
		time.Sleep(6 * time.Second)
	}
	return broken, nil
}

func stream(addr, id string) answer {
	return send(addr, "POST", "/advice/1", id, 8*time.Second, streamGap, map[string]string{"X-Model": "m0", "X-Token-Counts": "100,56"})
}

func truncatedRound(w *world, nodes []*node, round int, trouble bool) (broken []string) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	frozen := nodes[0]
	for i := range 12 {
		clients.Go(func() {
			id := fmt.Sprintf("r%d-%d", round, i)
			a := stream(frozen.callers, id)
			events := strings.Count(a.body, "\n\n")
			w.note("client %s: status %d seal %q events %d of %d complete %v err %v after %v", id, a.status, a.seal, events, streamEvents, a.complete, a.err, a.took.Round(time.Millisecond))
			if a.status == 200 && a.complete && events < streamEvents {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("ORDER: stream %s ended as complete after %d of %d events", id, events, streamEvents))
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	if trouble {
		crashed := headOf(w, fmt.Sprintf("r%d-", round))
		w.note("freeze node 0")
		frozen.signal(syscall.SIGSTOP)
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		if p := w.replica(crashed); p != nil {
			w.note("crash of %s", crashed)
			p.kill()
			time.Sleep(downTime)
			w.note("%s starts again", crashed)
			_ = w.restartReplica(crashed, p.args)
		}
		time.Sleep(time.Until(began.Add(freezeTime)))
		w.note("node 0 wakes")
		frozen.signal(syscall.SIGCONT)
	}
	clients.Wait()
	return broken
}

// headOf returns the replica that runs most of the requests whose ids begin with prefix.
func headOf(w *world, prefix string) string {
	counts := make(map[string]int)
	best := ""
	for _, e := range w.events() {
		if strings.HasPrefix(e.Request, prefix) && strings.HasPrefix(e.What, "run") {
			counts[e.Replica]++
			if counts[e.Replica] > counts[best] {
				best = e.Replica
			}
		}
	}
	return best
}

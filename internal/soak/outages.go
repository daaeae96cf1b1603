package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// Bounds of the tightest deployment: a version is in force on a node configApply after its
// acknowledgement, once the store and the node have been undisturbed for contactBound.
const (
	configApply  = 2 * time.Second
	contactBound = 3 * time.Second
)

const (
	// minOutage and maxOutage bound the length of an outage.
	minOutage, maxOutage = time.Second, 6 * time.Second
	// maxRemovalDelay bounds the time from the end of an outage until the key is removed.
	maxRemovalDelay = 1200 * time.Millisecond
	// historyPause is the time between two losses of the store's history.
	historyPause = 180 * time.Millisecond
	// historyTail is for how long the history goes after an outage.
	historyTail = 2500 * time.Millisecond
	// pauseLength is how long a node is stopped at the end of an outage.
	pauseLength = time.Second
	// removedKeyPause is the time between two calls with a removed key to a node, and probeTail for how long
	// such calls go on once they have to be refused.
	removedKeyPause = 20 * time.Millisecond
	probeTail       = 500 * time.Millisecond
)

// playStoreOutages has the store be away time after time, lose its history meanwhile and be back, and removes
// a key then. It returns a finding for each node that runs calls with the key later than the bounds allow.
// Every second outage begins with nodes that have just been replaced.
func (env *Environment) playStoreOutages() (findings []string) {
	rnd := rand.New(rand.NewPCG(env.opts.Seed, 4))
	for i := range env.opts.StoreOutages {
		key := fmt.Sprintf("removed-%d", i)
		if err := env.setKeys(key); err != nil {
			return append(findings, err.Error())
		}
		if i%2 == 1 {
			env.replaceNodes(rnd)
		}
		if err := env.awaitKey(key); err != nil {
			return append(findings, err.Error())
		}
		back := env.storeOutage(rnd)
		stopHistory := env.loseHistory(back.Add(historyTail))
		time.Sleep(time.Duration(rnd.Int64N(int64(maxRemovalDelay))))
		if err := env.setKeys(); err != nil {
			return append(findings, err.Error())
		}
		due := time.Now().Add(configApply)
		if undisturbed := back.Add(contactBound); undisturbed.After(due) {
			due = undisturbed
		}
		findings = append(findings, env.callWithRemovedKey(key, due)...)
		stopHistory()
	}
	return findings
}

func (env *Environment) setKeys(keys ...string) error {
	env.mu.Lock()
	env.keys = keys
	env.mu.Unlock()
	return env.writeConfig("")
}

// replaceNodes ends some nodes; others take their places at other addresses.
func (env *Environment) replaceNodes(rnd *rand.Rand) {
	for _, n := range env.nodes {
		if rnd.IntN(2) == 0 {
			continue
		}
		n.kill()
		if err := n.assignAddresses(); err != nil {
			env.opts.Log("replacing %s failed: %v", n.name, err)
		}
		env.restart(n)
	}
}

// awaitKey waits until all nodes run calls with the key.
func (env *Environment) awaitKey(key string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	deadline := time.Now().Add(serveTimeout)
	for _, n := range env.nodes {
		for try := 0; ; try++ {
			call := Call{ID: fmt.Sprintf("%s-%s-known-%d", key, n.name, try), Key: key}
			sendTo(client, n, &call, "/look/1", "")
			if call.Status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not know the key %s after %s: status %d, %v", n.name, key, serveTimeout, call.Status, call.Err)
			}
			time.Sleep(removedKeyPause)
		}
	}
	return nil
}

// storeOutage has the store be away in a random form while its leases run out and its history goes, and one node be
// stopped at the end. It returns when the store and the node were back.
func (env *Environment) storeOutage(rnd *rand.Rand) (back time.Time) {
	length, form := randomDuration(rnd, minOutage, maxOutage), rnd.IntN(3)
	env.opts.Log("store outage of %s, form %d", length, form)
	setMode := func(mode ProxyMode) {
		for _, n := range env.nodes {
			n.store.SetMode(mode)
		}
	}
	switch form {
	case 0:
		setMode(Silence)
	case 1:
		setMode(Disconnect)
	default:
		env.mem.SetFaults(memstore.Faults{Down: true})
	}
	time.Sleep(length)
	var stopped *node
	if rnd.IntN(2) == 0 {
		stopped = env.randomNode(rnd)
		stopped.signal(syscall.SIGSTOP)
		time.Sleep(pauseLength / 2)
	}
	env.mem.ExpireLeases()
	env.mem.Compact(env.mem.Revision())
	env.mem.SetFaults(memstore.Faults{})
	setMode(Forward)
	if stopped != nil {
		time.Sleep(pauseLength / 2)
		stopped.signal(syscall.SIGCONT)
	}
	return time.Now()
}

// loseHistory has the store lose its history time after time until the end, or until stop is called.
func (env *Environment) loseHistory(end time.Time) (stop func()) {
	ended := make(chan struct{})
	var losing sync.WaitGroup
	losing.Go(func() {
		for time.Now().Before(end) {
			env.mem.Compact(env.mem.Revision())
			select {
			case <-ended:
				return
			case <-time.After(historyPause):
			}
		}
	})
	return func() {
		close(ended)
		losing.Wait()
	}
}

// callWithRemovedKey calls all nodes with a key that was removed, until shortly after it has to be refused, and
// returns a finding for each node that runs a later call.
func (env *Environment) callWithRemovedKey(key string, due time.Time) (findings []string) {
	found := make(chan string, len(env.nodes))
	for _, n := range env.nodes {
		go func() { found <- env.callNodeWithRemovedKey(n, key, due) }()
	}
	for range env.nodes {
		if finding := <-found; finding != "" {
			findings = append(findings, finding)
		}
	}
	return findings
}

func (env *Environment) callNodeWithRemovedKey(n *node, key string, due time.Time) (finding string) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	refused := 0
	for i := 0; time.Now().Before(due.Add(probeTail)); i++ {
		sent := time.Now()
		call := Call{ID: fmt.Sprintf("%s-%s-%d", key, n.name, i), Key: key}
		sendTo(client, n, &call, "/look/1", "")
		switch runs := env.observed.runsOf(call.ID); {
		case sent.After(due) && runs > 0:
			return fmt.Sprintf("%s ran a call with %s, sent %s after the key had to be refused", n.name, key, sent.Sub(due))
		case sent.After(due) && call.Status != 0:
			refused++
		}
		time.Sleep(removedKeyPause)
	}
	if refused == 0 {
		return fmt.Sprintf("%s refused no call with %s", n.name, key)
	}
	return ""
}

// seedsOf returns the feeds that a node knows: with outages of the store or cuts from it, all nodes but the first
// know only ones that are gone.
func (env *Environment) seedsOf(i int) (seeds []string, err error) {
	if env.opts.StoreOutages+env.opts.StoreCuts == 0 || i == 0 {
		return nil, nil
	}
	for range 2 {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		seeds = append(seeds, addr)
	}
	return seeds, nil
}

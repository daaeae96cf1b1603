package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

const (
	// silentDomains is the number of failure domains, each a process of its own, of which most is
	// the number that falls silent at once if not all do.
	silentDomains, mostDomains = 5, 3
	vmsPerSilentDomain         = 5
	busyProcesses              = 3
	// silenceDeadline is the deadline of a call, silenceCallTimeout the time after which its caller
	// leaves.
	silenceDeadline, silenceCallTimeout = 7 * time.Second, 9 * time.Second
	// minTimeLeft is the time that must be left to a call for its end to count as too early.
	minTimeLeft = 300 * time.Millisecond

	minSilence, maxSilence                 = time.Second, 1300 * time.Millisecond
	minSingleSilence, maxSingleSilence     = time.Second, 1600 * time.Millisecond
	minSingleInterval, maxSingleInterval   = 700 * time.Millisecond, 1200 * time.Millisecond
	minNodePause, maxNodePause             = 400 * time.Millisecond, 1200 * time.Millisecond
	minBusy, maxBusy                       = 500 * time.Millisecond, 1500 * time.Millisecond
	minSilenceInterval, maxSilenceInterval = 400 * time.Millisecond, 2 * time.Second
)

// silenceFaults are the faults of a run with silent servers.
var silenceFaults = []fault{
	{name: "all servers are silent", low: minSilence, high: maxSilence, inject: func(env *Environment, _ *rand.Rand) func() {
		return silence(env, env.domains)
	}},
	{name: "most servers are silent", low: minSilence, high: maxSilence, inject: func(env *Environment, rnd *rand.Rand) func() {
		var silent []*helper
		for _, i := range rnd.Perm(len(env.domains))[:mostDomains] {
			silent = append(silent, env.domains[i])
		}
		return silence(env, silent)
	}},
	{name: "pause a node", low: minNodePause, high: maxNodePause, inject: pauseNode},
	{name: "pause all nodes", low: minNodePause, high: maxNodePause, inject: func(env *Environment, _ *rand.Rand) func() {
		for _, n := range env.nodes {
			n.signal(syscall.SIGSTOP)
		}
		return func() {
			for _, n := range env.nodes {
				n.signal(syscall.SIGCONT)
			}
		}
	}},
	{name: "the configuration changes", low: minBusy, high: maxBusy, inject: func(env *Environment, _ *rand.Rand) func() { env.addRoute(); return noHeal }},
	{name: "other processes are busy", low: minBusy, high: maxBusy, inject: busy},
}

// silence stops the processes of servers and changes the configuration.
func silence(env *Environment, servers []*helper) (heal func()) {
	for _, h := range servers {
		h.signal(syscall.SIGSTOP)
	}
	env.addRoute()
	return func() {
		for _, h := range servers {
			h.signal(syscall.SIGCONT)
		}
	}
}

// silenceInTurn silences the servers of one failure domain after the other until stop is closed, so
// that hedges have replicas to go to and some of these fall silent too. It draws from a random
// generator of its own, so that the faults of a seed stay the same.
func (env *Environment) silenceInTurn(stop <-chan struct{}) (findings []string) {
	rnd := rand.New(rand.NewPCG(env.opts.Seed, 2))
	var silences sync.WaitGroup
	defer silences.Wait()
	for {
		for _, i := range rnd.Perm(len(env.domains)) {
			select {
			case <-stop:
				return nil
			case <-time.After(randomDuration(rnd, minSingleInterval, maxSingleInterval)):
			}
			domain, length := env.domains[i], randomDuration(rnd, minSingleSilence, maxSingleSilence)
			env.opts.Log("%s is silent", domain.name)
			domain.signal(syscall.SIGSTOP)
			silences.Go(func() { time.Sleep(length); domain.signal(syscall.SIGCONT) })
		}
	}
}

func busy(env *Environment, _ *rand.Rand) (heal func()) {
	var started []*helper
	for range busyProcesses {
		h, err := startHelper(env.opts.Dir, "busy", helperTask{})
		if err != nil {
			env.opts.Log("starting a busy process failed: %v", err)
			continue
		}
		started = append(started, h)
	}
	return func() {
		for _, h := range started {
			h.kill()
		}
	}
}

// addRoute changes the configuration: it has a route that no version before it had.
func (env *Environment) addRoute() {
	env.mu.Lock()
	name := fmt.Sprintf("extra-%d", env.version)
	env.mu.Unlock()
	route := `,{"name":"` + name + `","host":"a.example","prefix":"/` + name + `/","kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2}`
	if err := env.writeConfig(route); err != nil {
		env.opts.Log("changing the configuration failed: %v", err)
	}
}

// startDomains starts the processes of the VMs that fall silent.
func (env *Environment) startDomains(storeAddr string) error {
	for d := range silentDomains {
		task := helperTask{Store: storeAddr, Zone: zoneName(d), Domain: fmt.Sprintf("rack-%d", d)}
		for i := range vmsPerSilentDomain {
			task.VMs = append(task.VMs, fmt.Sprintf("vm-%d-%d", d, i))
		}
		h, err := startHelper(env.opts.Dir, "servers-"+task.Domain, task)
		if err != nil {
			return err
		}
		env.domains = append(env.domains, h)
	}
	return nil
}

// collectObserved adds what the processes of servers observed: the runs of the calls, the answers
// that a server broke off, and violated guarantees.
func (env *Environment) collectObserved(result *Result) error {
	for _, h := range env.domains {
		observed, err := h.observed()
		if err != nil {
			return err
		}
		for _, o := range observed {
			env.observed.record(o)
			if o.Event == standin.EventViolation {
				result.Findings = append(result.Findings, fmt.Sprintf("%s %s", o.Event, o.Detail))
			}
		}
	}
	return nil
}

// checkEnded counts the streams that nodes ended although their callers had time left and no server
// broke them off. Each is a finding with the line of a node's log about it. No node is killed or
// stopped before the callers are done.
func (env *Environment) checkEnded(calls []Call, result *Result) error {
	var logs []string
	for _, n := range env.nodes {
		text, err := os.ReadFile(n.logPath)
		if err != nil {
			return err
		}
		logs = append(logs, strings.Split(string(text), "\n")...)
	}
	for _, c := range calls {
		if c.Unsafe {
			continue
		}
		if c.Begun {
			result.Begun++
		}
		left := silenceDeadline - c.Held
		switch {
		case c.Err == nil:
		case env.observed.broken[c.ID]:
			result.Broken++
		case left < minTimeLeft:
			result.Late++
		default:
			result.Ended++
			result.Findings = append(result.Findings, fmt.Sprintf("%s was closed by %s with %s left, begun: %t: %v; %s", c.ID, c.Node, left.Round(time.Millisecond), c.Begun, c.Err, endLine(logs, c.ID)))
		}
	}
	return nil
}

// endLine returns the lines of the nodes' logs about the end of a call.
func endLine(logs []string, id string) string {
	var found []string
	for _, line := range logs {
		isEnd := strings.Contains(line, `msg="call not answered"`) || strings.Contains(line, `msg="answer aborted"`)
		if isEnd && strings.Contains(line, "request="+id+" ") {
			found = append(found, line)
		}
	}
	if len(found) == 0 {
		return "no line of a log names it"
	}
	return strings.Join(found, "; ")
}

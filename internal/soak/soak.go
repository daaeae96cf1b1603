package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// Result is the outcome of one run.
type Result struct {
	Seed uint64
	// Completed counts calls answered with status 200, Refused those answered with
	// another status, and Failed those without a complete response.
	Completed, Refused, Failed int
	// Repeated counts calls that ran on more than one replica.
	Repeated int
	// Faults lists the injected faults; Findings the violated guarantees.
	Faults   []string
	Findings []string
	// The rest is counted with silent servers only, for streams: Begun counts those whose answer had
	// begun; of those without a complete response, Ended counts those that a node ended with time
	// left, Broken those that a server broke off, and Late those at their deadline.
	Begun, Ended, Broken, Late int
	// Uploads counts the large bodies that were answered, SlowAnswers those of them whose caller read
	// slowly, RefusedUploads those refused as not executed. PeakKB is the most memory of a node.
	Uploads, SlowAnswers, RefusedUploads, PeakKB int64
}

// fault is a kind of fault. The function that inject returns reverts the fault.
type fault struct {
	name   string
	inject func(env *Environment, rnd *rand.Rand) (heal func())
	// low and high are the bounds of its duration; if zero, minFaultDuration and maxFaultDuration.
	low, high time.Duration
}

func (f fault) duration(rnd *rand.Rand) time.Duration {
	if f.high == 0 {
		return randomDuration(rnd, minFaultDuration, maxFaultDuration)
	}
	return randomDuration(rnd, f.low, f.high)
}

var noHeal = func() {}

// faults lists the faults that are injected at random. They may overlap, also with
// themselves.
var faults = []fault{
	{name: "kill a node", inject: func(env *Environment, rnd *rand.Rand) func() {
		n := env.randomNode(rnd)
		n.kill()
		return func() { env.restart(n) }
	}},
	{name: "pause a node", inject: pauseNode},
	{name: "reload a node", inject: func(env *Environment, rnd *rand.Rand) func() {
		env.randomNode(rnd).signal(syscall.SIGHUP)
		return noHeal
	}},
	{name: "disconnect a node from the store", inject: storeMode(Disconnect)},
	{name: "drop the store's responses to a node", inject: storeMode(DropResponses)},
	{name: "delay a node's connections to the store", inject: storeMode(Delay)},
	{name: "reset a node's connections to the store", inject: func(env *Environment, rnd *rand.Rand) func() { env.randomNode(rnd).store.Reset(); return noHeal }},
	{name: "disconnect a server", inject: serverMode(Disconnect)},
	{name: "drop a server's responses", inject: serverMode(DropResponses)},
	{name: "delay a server's connections", inject: serverMode(Delay)},
	{name: "reset a server's connections", inject: func(env *Environment, rnd *rand.Rand) func() { env.randomProxy(rnd).Reset(); return noHeal }},
	{name: "kill a serving VM", inject: killMember(0)},
	{name: "kill a member that does not serve", inject: killMember(1)},
	{name: "drain a VM", inject: func(env *Environment, rnd *rand.Rand) func() {
		if heads := env.fleet.OpenHeads("m3"); len(heads) > 0 {
			heads[0].Drain()
		}
		env.replaceVM(rnd)
		return noHeal
	}},
	{name: "the store is down", inject: storeFaults(memstore.Faults{Down: true})},
	{name: "the store is down, and the outcome of calls is unknown", inject: storeFaults(memstore.Faults{Down: true, DownUnknown: true})},
	{name: "the store is slow", inject: storeFaults(memstore.Faults{Delay: 200 * time.Millisecond})},
	{name: "the store loses responses", inject: storeFaults(memstore.Faults{LoseAnswers: 3})},
	{name: "the store drops writes", inject: storeFaults(memstore.Faults{DropWrites: 2})},
	{name: "the store compacts its history", inject: func(env *Environment, _ *rand.Rand) func() { env.mem.Compact(env.mem.Revision()); return noHeal }},
	{name: "leases expire", inject: func(env *Environment, _ *rand.Rand) func() { env.mem.ExpireLeases(); return noHeal }},
	{name: "the configuration changes", inject: func(env *Environment, _ *rand.Rand) func() { _ = env.writeConfig(""); return noHeal }},
}

// serverFaultOneIn is the number of calls to a backend server of which one fails. At this
// rate the attempt that follows a failed one sometimes fails too, and the retry budget is
// still not used up.
const serverFaultOneIn = 4

// serverFaults are the faults of backend servers during the whole fault phase. They are
// not part of the faults list, since that would change the faults that the seeds in
// regressionSeeds draw.
var serverFaults = standin.Faults{
	Kinds: append([]standin.Fault{standin.FaultServerError, standin.FaultTruncated, standin.FaultWrongResponse, standin.FaultMissingEvent}, standin.NonResponses...),
	OneIn: serverFaultOneIn,
}

func pauseNode(env *Environment, rnd *rand.Rand) func() {
	n := env.randomNode(rnd)
	n.signal(syscall.SIGSTOP)
	return func() { n.signal(syscall.SIGCONT) }
}

func storeMode(mode ProxyMode) func(*Environment, *rand.Rand) func() {
	return func(env *Environment, rnd *rand.Rand) func() {
		p := env.randomNode(rnd).store
		p.SetMode(mode)
		return func() { p.SetMode(Forward) }
	}
}

func serverMode(mode ProxyMode) func(*Environment, *rand.Rand) func() {
	return func(env *Environment, rnd *rand.Rand) func() {
		p := env.randomProxy(rnd)
		p.SetMode(mode)
		return func() { p.SetMode(Forward) }
	}
}

func storeFaults(f memstore.Faults) func(*Environment, *rand.Rand) func() {
	return func(env *Environment, _ *rand.Rand) func() {
		env.mem.SetFaults(f)
		return func() { env.mem.SetFaults(memstore.Faults{}) }
	}
}

// killMember kills the member with the given rank of a replica of a random model. A new
// VM replaces it when the fault ends.
func killMember(rank int) func(*Environment, *rand.Rand) func() {
	return func(env *Environment, rnd *rand.Rand) func() {
		model := []string{"m3", "m2"}[rnd.IntN(2)]
		if heads := env.fleet.OpenHeads(model); len(heads) > 0 {
			if members := heads[0].Members(); rank < len(members) && members[rank] != nil {
				members[rank].Kill()
			}
		}
		return func() { env.replaceVM(rnd) }
	}
}

func (env *Environment) randomNode(rnd *rand.Rand) *node { return env.nodes[rnd.IntN(len(env.nodes))] }

func (env *Environment) randomProxy(rnd *rand.Rand) *Proxy {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.proxies[rnd.IntN(len(env.proxies))]
}

func (env *Environment) replaceVM(rnd *rand.Rand) {
	if err := env.addVM(rnd.IntN(domains)); err != nil {
		env.opts.Log("adding a VM failed: %v", err)
	}
}

func (env *Environment) restart(n *node) {
	if err := n.start(); err != nil {
		env.opts.Log("restarting %s failed: %v", n.name, err)
	}
}

// Bounds of the random intervals between faults and of the faults' durations, and the
// limit for a node's shutdown.
const (
	minFaultInterval, maxFaultInterval = 100 * time.Millisecond, 700 * time.Millisecond
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 2500 * time.Millisecond
	stopTimeout                        = 12 * time.Second
)

func randomDuration(rnd *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rnd.Int64N(int64(high-low)))
}

// Run runs the series of faults of one seed and checks the results.
func Run(opts Options) (Result, error) {
	result := Result{Seed: opts.Seed}
	env, err := newEnvironment(opts)
	if err != nil {
		return result, err
	}
	defer env.close()
	if err := env.awaitServing("start"); err != nil {
		return result, err
	}
	rnd := rand.New(rand.NewPCG(opts.Seed, 0))
	callers := startCallers(env, opts.Callers, opts.Seed)
	stopSignals, stopCuts := startBeside(opts.ServerSignals, env.giveSignals), startBeside(opts.ServerCuts, env.cutServers)
	stopMoves := startBeside(opts.RouteMoves, env.moveRoute)
	stopSilences := startBeside(opts.SingleSilences, env.silenceInTurn)
	switch {
	case opts.StoreOutages > 0:
		result.Findings = append(result.Findings, env.playStoreOutages()...)
	case opts.StoreCuts > 0:
		result.Findings = append(result.Findings, env.playStoreCuts()...)
	case opts.Uploads > 0:
		uploads := env.startUploads(opts.Uploads)
		time.Sleep(opts.FaultDuration)
		uploads.stop(&result)
	default:
		result.Faults = env.injectFaults(rnd)
	}
	result.Findings = append(result.Findings, stopSignals()...)
	result.Findings = append(result.Findings, stopCuts()...)
	result.Findings = append(result.Findings, stopMoves()...)
	stopSilences()
	if err := env.awaitServing("afterwards"); err != nil {
		result.Findings = append(result.Findings, err.Error())
	}
	resume := callers.pause()
	result.Findings = append(result.Findings, env.checkIdle()...)
	resume()
	if opts.Silence {
		callers.stopAndCollect() // a node that stops may end calls
	}
	for _, n := range env.nodes {
		if err := n.stop(stopTimeout); err != nil {
			result.Findings = append(result.Findings, err.Error())
		}
	}
	calls := callers.stopAndCollect()
	if opts.Silence {
		if err := env.collectObserved(&result); err != nil {
			return result, err
		}
		if err := env.checkEnded(calls, &result); err != nil {
			return result, err
		}
	}
	env.check(calls, &result)
	return result, nil
}

// startBeside runs disturb beside the faults if it is enabled. The function that it returns ends that
// and returns the findings.
func startBeside(enabled bool, disturb func(stop <-chan struct{}) (findings []string)) (stop func() []string) {
	if !enabled {
		return func() []string { return nil }
	}
	ended, findings := make(chan struct{}), make(chan []string, 1)
	go func() { findings <- disturb(ended) }()
	return func() []string {
		close(ended)
		return <-findings
	}
}

// injectFaults injects overlapping faults for opts.FaultDuration, reverts them all and
// returns their names.
func (env *Environment) injectFaults(rnd *rand.Rand) (names []string) {
	type healing struct {
		at   time.Time
		heal func()
	}
	var pending []healing
	var exact sync.WaitGroup // faults with bounds of their own do not wait for the next fault to end
	defer exact.Wait()
	healDue := func(all bool) {
		kept := pending[:0]
		for _, h := range pending {
			if all || time.Now().After(h.at) {
				h.heal()
				continue
			}
			kept = append(kept, h)
		}
		pending = kept
	}
	if env.opts.ServerFaults {
		env.fleet.SetFaults(serverFaults)
		defer env.fleet.SetFaults(standin.Faults{})
	}
	kinds, minInterval, maxInterval := faults, minFaultInterval, maxFaultInterval
	if env.opts.Silence {
		kinds, minInterval, maxInterval = silenceFaults, minSilenceInterval, maxSilenceInterval
	}
	end := time.Now().Add(env.opts.FaultDuration)
	for time.Now().Before(end) {
		f := kinds[rnd.IntN(len(kinds))]
		names = append(names, f.name)
		env.opts.Log("%s", f.name)
		heal, length := f.inject(env, rnd), f.duration(rnd)
		if f.high > 0 {
			exact.Go(func() { time.Sleep(length); heal() })
		} else {
			pending = append(pending, healing{time.Now().Add(length), heal})
		}
		time.Sleep(randomDuration(rnd, minInterval, maxInterval))
		healDue(false)
	}
	healDue(true)
	return names
}

// check compares the responses that callers received with the calls that backend servers
// executed.
func (env *Environment) check(calls []Call, result *Result) {
	find := func(format string, args ...any) {
		result.Findings = append(result.Findings, fmt.Sprintf(format, args...))
	}
	for _, c := range calls {
		runs := env.observed.runsOf(c.ID)
		switch {
		case c.Err != nil:
			result.Failed++
		case c.Status == http.StatusOK:
			result.Completed++
			if c.Body != expectedAnswer(c) {
				find("%s got a response with status 200 and a wrong body: %q", c.ID, c.Body)
			}
		default:
			result.Refused++
		}
		if c.Unsafe && runs > 1 {
			find("%s may be executed once and was executed %d times", c.ID, runs)
		}
		if reportsNotExecuted(c) && runs > 0 {
			find("%s was refused with status %d as not executed, but was executed %d times", c.ID, c.Status, runs)
		}
	}
	env.checkAttempts(calls, result)
	for _, violation := range env.fleet.Violations() {
		find("%s", violation)
	}
	for _, n := range env.nodes {
		result.Findings = append(result.Findings, n.unexpectedExits...)
		if n.logShowsCrash() {
			find("%s: the log shows a panic, a fatal error or a data race", n.name)
		}
	}
	if result.Completed == 0 {
		find("no call was answered with status 200")
	}
}

// reportsNotExecuted reports whether the call's status guarantees that no backend server
// executed it.
func reportsNotExecuted(c Call) bool {
	if c.Err != nil {
		return false
	}
	switch c.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

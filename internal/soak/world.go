// Package soak runs real daemons as separate processes with a stand-in platform, injects
// random overlapping faults from outside, and checks the responses that callers receive
// against the calls that backend servers execute.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/platform"
	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// Options configures one run.
type Options struct {
	// Binary is the daemon's path. Dir is the directory for settings and logs.
	Binary, Dir string
	Seed        uint64
	Nodes       int
	Callers     int
	// FaultDuration is the length of the phase in which faults are injected.
	FaultDuration time.Duration
	// ServerFaults makes backend servers fail on their own in addition.
	ServerFaults bool
	// ServerSignals makes backend servers ask for no requests and say that they leave in addition.
	ServerSignals bool
	// ServerCuts separates all nodes from most backend servers in addition, time after time.
	ServerCuts bool
	// RouteMoves moves a route of calls with a model between plain services in addition.
	RouteMoves bool
	// Silence runs streams that take longer, whose servers, in processes of their own, and nodes are
	// stopped for about a second, in place of the other faults. The program must call RunHelper.
	Silence bool
	// SingleSilences stops the servers of one failure domain after the other in addition to Silence.
	SingleSilences bool
	// Uploads is the number of callers that send large bodies at once, in place of the other faults.
	Uploads int
	// StoreOutages is the number of outages of the store in a row, after each of which a key is removed, in
	// place of the other faults. All nodes but the first know only feeds that are gone.
	StoreOutages int
	// StoreCuts is the number of times in a row that one node is cut off from the store while servers leave, in
	// place of the other faults. All nodes but the first know only feeds that are gone.
	StoreCuts int
	// MemoryMB is the nodes' memory; 0 for no limit. With Uploads, a node that takes more is a finding.
	MemoryMB int
	Log      func(format string, args ...any)
}

// Environment is the system under test: a stand-in platform and its nodes.
type Environment struct {
	opts  Options
	mem   *memstore.Store
	http  *http.Server
	fleet *standin.Fleet
	nodes []*node

	mu      sync.Mutex
	proxies []*Proxy // in front of the backend servers
	plain   []string // the ids of the servers of the plain service
	servers int
	version int
	// keys are those of the callers beside the default.
	keys []string

	// domains are the processes of servers that fall silent.
	domains  []*helper
	observed *observations
}

// Layout of the system: the number of failure domains (one per zone), of VMs in each and
// of servers of the plain service; and the limit for all nodes to serve.
const (
	domains      = 2
	vmsPerDomain = 8
	plainServers = 2
	serveTimeout = 20 * time.Second
)

func newEnvironment(opts Options) (*Environment, error) {
	env := &Environment{opts: opts, mem: memstore.New(memstore.Options{}), observed: newObservations()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	env.http = &http.Server{Handler: &standin.StoreHandler{Store: env.mem}}
	go func() { _ = env.http.Serve(listener) }() // returns when close closes the server
	shape := standin.DefaultOptions()
	shape.Events, shape.LeaseTTL, shape.Advertise = streamEvents, 900*time.Millisecond, env.addProxy
	shape.Observe = env.observed.record
	env.fleet = standin.NewFleet(env.mem, shape)
	if err := env.writeConfig(""); err != nil {
		return nil, err
	}
	if err := env.startVMs(listener.Addr().String()); err != nil {
		return nil, err
	}
	for i := range plainServers {
		if err := env.addPlainServer(fmt.Sprintf("desk-%d", i), i); err != nil {
			return nil, err
		}
	}
	for i := range opts.Nodes {
		seeds, err := env.seedsOf(i)
		if err != nil {
			return nil, err
		}
		n, err := newNode(opts.Dir, opts.Binary, fmt.Sprintf("node-%d", i), zoneName(i), listener.Addr().String(), opts.MemoryMB, seeds)
		if err != nil {
			return nil, err
		}
		env.nodes = append(env.nodes, n)
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return env, nil
}

// startVMs starts the VMs of the model service.
func (env *Environment) startVMs(storeAddr string) error {
	if env.opts.Silence {
		return env.startDomains(storeAddr)
	}
	for d := range domains {
		for range vmsPerDomain {
			if err := env.addVM(d); err != nil {
				return err
			}
		}
	}
	return nil
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%domains) }

// addProxy starts a proxy in front of a backend server and returns the proxy's address.
func (env *Environment) addProxy(addr string) string {
	p, err := NewProxy(addr)
	if err != nil {
		return addr // serves without a proxy, and can't be disconnected
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.proxies = append(env.proxies, p)
	return p.Addr()
}

func (env *Environment) addVM(domain int) error {
	env.mu.Lock()
	env.servers++
	id := fmt.Sprintf("vm-%d", env.servers)
	env.mu.Unlock()
	_, err := env.fleet.Add(id, "models", zoneName(domain), fmt.Sprintf("rack-%d", domain%domains))
	return err
}

func (env *Environment) addPlainServer(id string, zone int) error {
	if _, err := env.fleet.Add(id, "desk", zoneName(zone), ""); err != nil {
		return err
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.plain = append(env.plain, id)
	return nil
}

func (env *Environment) plainServerIDs() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.plain)
}

// replacePlainServer starts a server in place of one of the plain service. It returns false if
// the old one is none.
func (env *Environment) replacePlainServer(old, id string) bool {
	env.mu.Lock()
	at := slices.Index(env.plain, old)
	if at >= 0 {
		env.plain = slices.Delete(env.plain, at, at+1)
	}
	env.mu.Unlock()
	if at < 0 {
		return false
	}
	if err := env.addPlainServer(id, at); err != nil {
		env.opts.Log("adding %s failed: %v", id, err)
	}
	return true
}

// otherLimits replaces the limits of callers' requests in every second version of the configuration.
var otherLimits = strings.NewReplacer(`"max_header_bytes":16384`, `"max_header_bytes":8192`, `"header_timeout_ms":3000`, `"header_timeout_ms":2000`, `"idle_timeout_ms":15000`, `"idle_timeout_ms":1500`)

// writeConfig writes the next version of the configuration with additional routes, given
// as JSON.
func (env *Environment) writeConfig(routes string) error {
	env.mu.Lock()
	env.version += 3
	text := fmt.Sprintf(configTemplate, env.version, longerRoute+routes)
	for _, key := range env.keys {
		text = strings.Replace(text, `"api_keys":[`, fmt.Sprintf(`"api_keys":[%q,`, key), 1)
	}
	if env.version%2 == 0 {
		text = otherLimits.Replace(text)
	}
	env.mu.Unlock()
	_, err := env.mem.Txn(context.Background(), store.Txn{Then: []store.Op{store.Put(platform.ConfigKey, []byte(text), 0)}})
	return err
}

func (env *Environment) close() {
	for _, n := range env.nodes {
		n.kill()
		n.store.Close()
	}
	env.fleet.Close()
	for _, h := range env.domains {
		h.kill()
	}
	for _, p := range env.allProxies() {
		p.Close()
	}
	_ = env.http.Close() // the error is irrelevant after the run
	env.mem.Close()
}

// checkServes returns an error unless the node answers a call to both models and to the
// plain service.
func (env *Environment) checkServes(n *node, id string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	for _, model := range []string{"m3", "m2", ""} {
		call := Call{ID: id + "-" + model, Unsafe: model == ""}
		if env.opts.Silence {
			call.Deadline = silenceDeadline // a shorter one marks the call of a caller who returns
		}
		send(client, n, &call, model)
		if call.Err != nil {
			return call.Err
		}
		if call.Status != http.StatusOK {
			return fmt.Errorf("%s: status %d: %s", model, call.Status, call.Body)
		}
	}
	return nil
}

// awaitServing waits until every node serves both models and the plain service.
func (env *Environment) awaitServing(what string) error {
	deadline := time.Now().Add(serveTimeout)
	errs := make(chan error, len(env.nodes))
	for i, n := range env.nodes {
		go func() { errs <- env.awaitNode(n, fmt.Sprintf("%s-%d", what, i), deadline) }()
	}
	var first error
	for range env.nodes {
		if err := <-errs; first == nil {
			first = err
		}
	}
	return first
}

func (env *Environment) awaitNode(n *node, id string, deadline time.Time) error {
	for try := 0; ; try++ {
		err := env.checkServes(n, fmt.Sprintf("%s-%d", id, try))
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: %s does not serve after %s: %w", id, n.name, serveTimeout, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// MakeDir creates a temporary directory for the settings and logs of a run.
func MakeDir(seed uint64) (string, error) {
	return os.MkdirTemp("", fmt.Sprintf("fennel-soak-%d-", seed))
}

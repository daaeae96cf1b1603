// Package soak runs real daemons as separate processes before a stand-in platform,
// breaks things from outside in series that overlap, and checks what callers and
// backend servers see.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/platform"
	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// Options of one run.
type Options struct {
	// Binary is the daemon's path; Dir takes settings and logs.
	Binary, Dir string
	Seed        uint64
	Nodes       int
	Callers     int
	// FaultDuration is how long things are broken.
	FaultDuration time.Duration
	// ServerFaults lets backend servers misbehave, too.
	ServerFaults bool
	Log    func(format string, args ...any)
}

// Environment is a platform with nodes.
type Environment struct {
	opts  Options
	mem   *memstore.Store
	http  *http.Server
	fleet *standin.Fleet
	nodes []*node

	mu      sync.Mutex
	proxies []*Proxy // before the backend servers
	servers int
	version int
}

// The layout: domains of so many VMs, one a zone, and servers of the plain service.
const (
	domains       = 2
	vmsPerDomain  = 8
	plainServers  = 2
	daemonTimeout = 20 * time.Second
)

func newWorld(opts Options) (*Environment, error) {
	w := &Environment{opts: opts, mem: memstore.New(memstore.Options{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.http = &http.Server{Handler: &standin.StoreHandler{Store: w.mem}}
	go func() { _ = w.http.Serve(listener) }() // ends with close
	shape := standin.DefaultOptions()
	shape.Events, shape.LeaseTTL, shape.Advertise = soakPieces, 900*time.Millisecond, w.proxied
	w.fleet = standin.NewFleet(w.mem, shape)
	if err := w.configure(""); err != nil {
		return nil, err
	}
	for d := range domains {
		for range vmsPerDomain {
			if err := w.addVM(d); err != nil {
				return nil, err
			}
		}
	}
	for i := range plainServers {
		if _, err := w.fleet.Add(fmt.Sprintf("desk-%d", i), "desk", zoneName(i), ""); err != nil {
			return nil, err
		}
	}
	for i := range opts.Nodes {
		n, err := newNode(opts.Dir, opts.Binary, fmt.Sprintf("node-%d", i), zoneName(i), listener.Addr().String())
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%domains) }

// proxied puts a proxy before a backend server.
func (w *Environment) proxied(addr string) string {
	p, err := NewProxy(addr)
	if err != nil {
		return addr // without a proxy: it can't be cut off, and serves
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proxies = append(w.proxies, p)
	return p.Addr()
}

func (w *Environment) addVM(domain int) error {
	w.mu.Lock()
	w.servers++
	id := fmt.Sprintf("vm-%d", w.servers)
	w.mu.Unlock()
	_, err := w.fleet.Add(id, "models", zoneName(domain), fmt.Sprintf("rack-%d", domain%domains))
	return err
}

// configure writes the next version of the configuration with more routes, as JSON.
func (w *Environment) configure(routes string) error {
	w.mu.Lock()
	w.version += 3
	text := fmt.Sprintf(configuration, w.version, routes)
	w.mu.Unlock()
	_, err := w.mem.Txn(context.Background(), store.Txn{Then: []store.Op{store.Put(platform.ConfigKey, []byte(text), 0)}})
	return err
}

func (w *Environment) close() {
	for _, n := range w.nodes {
		n.kill()
		n.store.Close()
	}
	w.fleet.Close()
	w.mu.Lock()
	proxies := w.proxies
	w.mu.Unlock()
	for _, p := range proxies {
		p.Close()
	}
	_ = w.http.Close() // the run is over
	w.mem.Close()
}

// served reports whether the node answers both models and the plain service.
func (w *Environment) served(n *node, id string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	for _, model := range []string{"m3", "m2", ""} {
		call := Call{ID: id + "-" + model, Unsafe: model == ""}
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

// allServed waits until every node serves everything.
func (w *Environment) allServed(what string) error {
	deadline := time.Now().Add(daemonTimeout)
	for i, n := range w.nodes {
		for try := 0; ; try++ {
			err := w.served(n, fmt.Sprintf("%s-%d-%d", what, i, try))
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s: %s does not serve after %s: %w", what, n.name, daemonTimeout, err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// MakeDir returns a new directory for a run's settings and logs.
func MakeDir(seed uint64) (string, error) {
	return os.MkdirTemp("", fmt.Sprintf("fennel-soak-%d-", seed))
}

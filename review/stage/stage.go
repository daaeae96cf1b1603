package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/platform"
	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// Bounds and limits of the small deployments, as the users' pages give them.
const (
	configApply = 2 * time.Second
	memoryMB    = 414
	heartbeat   = 1200 * time.Millisecond
	serverLease = 3 * heartbeat
)

// stage holds the stand-ins and the processes of one run.
type stage struct {
	dir, daemon string
	began       time.Time

	mu  sync.Mutex
	out *os.File

	mem   *memstore.Store
	store *http.Server
	addr  string
	fleet *standin.Fleet
	desks []*desk
	nodes []*node
}

// newStage starts the platform's store and opens the record.
func newStage(daemon, recordPath string) (*stage, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, err
	}
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fennel-review-")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &stage{dir: dir, daemon: daemon, began: time.Now(), out: out, mem: memstore.New(memstore.Options{}), addr: listener.Addr().String()}
	s.store = &http.Server{Handler: &standin.StoreHandler{Store: s.mem}}
	go func() { _ = s.store.Serve(listener) }() // ends with close
	opts := standin.DefaultOptions()
	opts.LeaseTTL = serverLease
	s.fleet = standin.NewFleet(s.mem, opts)
	return s, nil
}

// close ends all processes and stand-ins.
func (s *stage) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	for _, d := range s.desks {
		d.close()
	}
	s.fleet.Close()
	_ = s.store.Close()
	s.mem.Close()
	if os.Getenv("REVIEW_KEEP") == "" { // keeps the daemons' logs
		_ = os.RemoveAll(s.dir)
	}
}

// record writes one line with the time since the start and key=value pairs.
func (s *stage) record(event string, fields ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(s.began).Seconds(), event)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, " %v=%v", fields[i], fields[i+1])
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintln(s.out, b.String()) // the exit code tells the outcome
}

// putConfig writes a configuration as the operator does. The store's answer is the acknowledgement.
func (s *stage) putConfig(text string) (acknowledged time.Time, err error) {
	_, err = s.mem.Txn(context.Background(), store.Txn{Then: []store.Op{store.Put(platform.ConfigKey, []byte(text), 0)}})
	acknowledged = time.Now()
	s.record("configuration acknowledged", "text", strings.Join(strings.Fields(text), " "))
	return acknowledged, err
}

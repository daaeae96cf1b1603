package main

import (
	"strings"
	"sync"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// runLog holds which service ran each request at the model servers.
type runLog struct {
	fleet *standin.Fleet

	mu   sync.Mutex
	runs map[string]string
}

func newRunLog(s *stage) *runLog {
	l := &runLog{runs: make(map[string]string)}
	opts := standin.DefaultOptions()
	opts.LeaseTTL = serverLease
	opts.Observe = func(o standin.Observation) {
		if o.Event != standin.EventRun {
			return
		}
		l.mu.Lock()
		l.runs[o.Detail] = serviceOfServer(o.Members[0])
		l.mu.Unlock()
		s.record("runs", "request", o.Detail, "replica", o.Replica, "members", o.Members)
	}
	l.fleet = standin.NewFleet(s.mem, opts)
	return l
}

// serviceOfServer returns the service of a server that addModelServers started.
func serviceOfServer(id string) string {
	parts := strings.Split(id, "-")
	return strings.Join(parts[:2], "-")
}

// serviceOf returns the service that ran a request, or "" if none has.
func (l *runLog) serviceOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Doses of the faults, at most those of the site file: two of five servers lose a share of their
// answers, and the three others spoil a share of theirs, for faultTime of each faultPeriod.
const (
	bookServers  = 5
	losingBooks  = 2
	lostShare    = 0.3
	spoiledShare = 0.03
	faultTime    = 5000 * time.Millisecond
	faultPeriod  = 8 * time.Second
	faultPeriods = 9
)

// lostAllowance is how many requests from kept connections may be passed on and not answered.
const lostAllowance = 3

// lookCallers and payCallers are the callers of the two services. The first ones pause between calls.
const (
	lookCallers = 24
	lookPause   = 300 * time.Millisecond
	payCallers  = 8
)

// safeRoute is a route of calls that may be repeated, with the timeout of those of the site.
func safeRoute(name, prefix, service string) string {
	return strings.NewReplacer(`"unsafe"`, `"safe"`, `"max_attempts":1`, `"max_attempts":2`, `"timeout_ms":4000`, `"timeout_ms":2000`).Replace(plainRoute(name, prefix, service))
}

// playBytesNoResponse has some servers of one service lose answers and send bytes that are not a
// response, while callers of another, sound service wait for their answers.
func playBytesNoResponse(s *stage, trouble bool) ([]string, error) {
	var books []*desk
	for i := range bookServers {
		d, err := s.addDesk(fmt.Sprintf("books-%d", i), "books", fmt.Sprintf("zone-%d", i%3), 20*time.Millisecond, 800)
		if err != nil {
			return nil, err
		}
		books = append(books, d)
	}
	for i := range 3 {
		if _, err := s.addDesk(fmt.Sprintf("desk-%d", i), "desk", "zone-0", 300*time.Millisecond, 800); err != nil {
			return nil, err
		}
	}
	routes := []string{plainRoute("pay", "/pay/", "desk"), safeRoute("look", "/look/", "books")}
	if _, err := s.putConfig(config(1, routes, []string{service("desk", ""), service("books", "")}, limits, tenants)); err != nil {
		return nil, err
	}
	if err := s.startNodes(1); err != nil {
		return nil, err
	}
	n := s.nodes[0]
	end := time.Now().Add(80 * time.Second)
	var callers sync.WaitGroup
	var cut atomic.Int64
	for range lookCallers {
		callers.Go(func() { s.lookUntil(n, end) })
	}
	for range payCallers {
		callers.Go(func() { cut.Add(s.payUntil(n, end)) })
	}
	time.Sleep(4 * time.Second) // the machine is in touch
	for period := 0; trouble && period < faultPeriods && !n.ended.Load(); period++ {
		s.setFaults(books, true)
		time.Sleep(faultTime)
		s.setFaults(books, false)
		time.Sleep(faultPeriod - faultTime)
	}
	callers.Wait()
	s.record("counted", "process_ended", n.ended.Load(), "run_and_not_answered", cut.Load())
	if cut.Load() > lostAllowance {
		return []string{fmt.Sprintf("%d payments from kept connections ran at a sound server and got no answer; the process ended by itself: %t", cut.Load(), n.ended.Load())}, nil
	}
	return nil, nil
}

// setFaults begins or ends the faults of the servers.
func (s *stage) setFaults(books []*desk, on bool) {
	s.record("faults", "on", on)
	for i, d := range books {
		d.losesAnswers.Store(on && i < losingBooks)
		d.spoilsAnswers.Store(on && i >= losingBooks)
	}
}

// lookUntil sends calls that may be repeated, one after the other.
func (s *stage) lookUntil(n *node, end time.Time) {
	client := newKeepingClient()
	for time.Now().Before(end) && !n.ended.Load() {
		s.call(client, n, request{method: http.MethodGet, uri: "/look/7", key: "k1", deadline: 4 * time.Second})
		time.Sleep(lookPause)
	}
}

// payUntil sends calls that may not be repeated, one after the other, and returns how many from a kept
// connection ran and got no answer.
func (s *stage) payUntil(n *node, end time.Time) (cut int64) {
	client := newKeepingClient()
	for time.Now().Before(end) && !n.ended.Load() {
		a := s.call(client, n, request{method: http.MethodPost, uri: "/pay/7", key: "k1", body: []byte(`{"amount":40}`), deadline: 4 * time.Second})
		if a.status == 0 && a.kept && s.hasRun(a.id) {
			cut++
			s.record("run and not answered", "request", a.id)
		}
	}
	return cut
}

// hasRun reports whether a server of a plain service ran the request.
func (s *stage) hasRun(id string) bool {
	for _, d := range s.desks {
		if slices.Contains(d.ran(), id) {
			return true
		}
	}
	return false
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// payTimeout is the timeout of the route, and answerSlack how much later an answer may come.
	payTimeout  = 4 * time.Second
	answerSlack = 500 * time.Millisecond
	// fewLate is the number of late answers from which the rule counts them.
	fewLate         = 8
	switchingDesks  = 3
	switchingPause  = 100 * time.Millisecond
	switchingPeriod = 40 * time.Second
)

// playSwitchProtocols has some servers of a service answer a few payments by switching protocols, and
// counts the payments that have no answer when their route's timeout is over.
func playSwitchProtocols(s *stage, trouble bool) ([]string, error) {
	for i := range bookServers {
		if _, err := s.addDesk(fmt.Sprintf("desk-%d", i), "desk", fmt.Sprintf("zone-%d", i%3), 20*time.Millisecond, 800); err != nil {
			return nil, err
		}
	}
	if _, err := s.putConfig(config(1, []string{plainRoute("pay", "/pay/", "desk")}, []string{service("desk", "")}, limits, tenants)); err != nil {
		return nil, err
	}
	if err := s.startNodes(1); err != nil {
		return nil, err
	}
	end := time.Now().Add(switchingPeriod)
	var callers sync.WaitGroup
	var mu sync.Mutex
	answered, slow, late := 0, 0, 0
	for range lookCallers {
		callers.Go(func() {
			client := newKeepingClient()
			for time.Now().Before(end) {
				a := s.call(client, s.nodes[0], request{method: http.MethodPost, uri: "/pay/7", key: "k1", body: []byte(`{"amount":40}`), deadline: 2 * payTimeout})
				mu.Lock()
				switch {
				case a.took > payTimeout+answerSlack:
					slow++
					late++
				case a.took > payTimeout:
					slow++
				case a.status == http.StatusOK:
					answered++
				}
				mu.Unlock()
				time.Sleep(switchingPause)
			}
		})
	}
	time.Sleep(4 * time.Second) // the machine is in touch
	for time.Now().Add(faultPeriod).Before(end) {
		s.setSwitching(trouble)
		time.Sleep(faultTime)
		s.setSwitching(false)
		time.Sleep(faultPeriod - faultTime)
	}
	callers.Wait()
	s.record("counted", "answered", answered, "unanswered_at_timeout", slow, "unanswered_later", late)
	if late >= fewLate && late > slow/2 {
		return []string{fmt.Sprintf("%d of the %d payments without an answer at their route's timeout had none half a second later", late, slow)}, nil
	}
	if answered == 0 {
		return nil, fmt.Errorf("no payment was answered")
	}
	return nil, nil
}

// setSwitching begins or ends the fault at some of the servers.
func (s *stage) setSwitching(on bool) {
	for _, d := range s.desks[:switchingDesks] {
		d.switchesProtocols.Store(on)
	}
}

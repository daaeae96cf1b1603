package main

import (
	"fmt"
	"strings"
	"time"
)

// deniedAllowance is how many proper requests may be ended with a 4xx: 5 and one in 500.
func deniedAllowance(requests int) int { return 5 + requests/500 }

// denied reports whether a status ends a proper request as the rule DENIED counts it.
func denied(status int) bool {
	return status >= 300 && status < 500 && status != 408 && status != 421 && status != 429
}

// countDenied sends requests one after the other and returns how many were denied.
func (s *stage) countDenied(count int, r request) (deniedCount, served int) {
	client := newClient()
	for i := range count {
		a := s.call(client, s.nodes[i%len(s.nodes)], r)
		switch {
		case denied(a.status):
			deniedCount++
		case a.status == 200:
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.record("counted", "sent", count, "denied", deniedCount, "served", served)
	return deniedCount, served
}

// playAcceptedConfig puts two configurations in force, one after the other: one that raises the limit
// on callers' headers, and one without tenants, under which requests carry no key.
func playAcceptedConfig(s *stage, trouble bool) ([]string, error) {
	if _, err := s.addDesk("desk-1", "desk", "zone-0", 20*time.Millisecond, 800); err != nil {
		return nil, err
	}
	routes, services := []string{plainRoute("pay", "/pay/", "desk")}, []string{service("desk", "")}
	if _, err := s.putConfig(config(1, routes, services, limits, tenants)); err != nil {
		return nil, err
	}
	if err := s.startNodes(2); err != nil {
		return nil, err
	}
	raised := strings.Replace(limits, `"max_header_bytes":16384`, `"max_header_bytes":65536`, 1)
	withKey := request{method: "POST", uri: "/pay/7", key: "k1", body: []byte(`{"amount":40}`), deadline: 4 * time.Second}
	withoutKey, large := withKey, withKey
	withoutKey.key = ""
	large.header = map[string]string{"X-Signed-Basket": strings.Repeat("a", 32<<10)}
	var broken []string
	for _, step := range []struct {
		name, config string
		request      request
	}{
		{"raised header limit", config(2, routes, services, raised, tenants), large},
		{"no tenants", config(3, routes, services, limits), withoutKey},
	} {
		r := withKey
		if trouble {
			acknowledged, err := s.putConfig(step.config)
			if err != nil {
				return nil, err
			}
			time.Sleep(time.Until(acknowledged.Add(configApply + settle)))
			r = step.request
		}
		text, err := s.checkDenied(step.name, r)
		if err != nil {
			return nil, err
		}
		broken = append(broken, text...)
	}
	return broken, nil
}

// checkDenied sends proper requests and returns whether more of them were denied than the rule allows.
func (s *stage) checkDenied(name string, r request) ([]string, error) {
	const count = 100
	wrong, served := s.countDenied(count, r)
	if wrong > deniedAllowance(count) {
		return []string{fmt.Sprintf("%s: %d of %d proper requests were ended with a 4xx; %d are allowed", name, wrong, count, deniedAllowance(count))}, nil
	}
	if served < count*9/10 {
		return nil, fmt.Errorf("%s: %d of %d requests were served", name, served, count)
	}
	return nil, nil
}

package main

import (
	"fmt"
	"net/http"
	"time"
)

// playRawPath sends payments whose paths hold an escaped slash and a vertical bar, which browsers send
// unescaped, and checks that servers get the paths as they were sent.
func playRawPath(s *stage, trouble bool) ([]string, error) {
	d, err := s.addDesk("desk-1", "desk", "zone-0", 20*time.Millisecond, 800)
	if err != nil {
		return nil, err
	}
	if _, err := s.putConfig(config(1, []string{plainRoute("pay", "/pay/", "desk")}, []string{service("desk", "")}, limits, tenants)); err != nil {
		return nil, err
	}
	if err := s.startNodes(2); err != nil {
		return nil, err
	}
	separator := "-"
	if trouble {
		separator = "|"
	}
	const count = 40
	client := newClient()
	changed, ran := 0, 0
	for i := range count {
		uri := fmt.Sprintf("/pay/basket%%2F%d%sblue", i, separator)
		a := s.call(client, s.nodes[i%2], request{method: http.MethodPost, uri: uri, key: "k1", body: []byte(`{"amount":40}`), deadline: 4 * time.Second, opaque: true})
		switch got := d.target(a.id); got {
		case "":
		case uri:
			ran++
		default:
			ran++
			changed++
			s.record("path changed", "request", a.id, "sent", uri, "got", got)
		}
	}
	s.record("counted", "sent", count, "run", ran, "changed", changed)
	if changed > 0 {
		return []string{fmt.Sprintf("%d of %d payments ran with another path than they were sent with", changed, count)}, nil
	}
	if ran != count {
		return nil, fmt.Errorf("%d of %d payments ran", ran, count)
	}
	return nil, nil
}

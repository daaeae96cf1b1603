package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// settle is how much longer than the bound a case waits after a change of the configuration. All
// machines are in touch all the while.
const settle = 8 * time.Second

// limits are the callers' limits of the small deployments.
const limits = `"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}`

const tenants = `"tenants":[{"name":"t1","api_keys":["k1"]}]`

const engine = `"engine":{"slots":16,"models":[{"name":"m3","size":3,"share":0.6,"load_s":0.02,"warm_s":0.01},{"name":"m2","size":2,"share":0.4,"load_s":0.02,"warm_s":0.01}],"loads_per_s":1000,"loads_at_once":100}`

// streamRoute is a route of streams.
func streamRoute(name, service string) string {
	return fmt.Sprintf(`{"name":%[1]q,"host":"a.example","prefix":"/%[1]s/","kind":"streaming","timeout_ms":8000,"target_latency_ms":300,"priority":1,"service":%[2]q,"max_attempts":2,"resumable":true,"target_gap_ms":300}`, name, service)
}

// plainRoute is a route of calls that may not be repeated.
func plainRoute(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"host":"a.example","prefix":%q,"kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":%q,"max_attempts":1}`, name, prefix, service)
}

// longRoute is a plainRoute with a long timeout.
func longRoute(name, prefix, service string) string {
	return strings.Replace(plainRoute(name, prefix, service), `"timeout_ms":4000`, `"timeout_ms":8000`, 1)
}

func config(version int, routes, services []string, rest ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],%s}`, version, strings.Join(routes, ","), strings.Join(services, ","), strings.Join(rest, ","))
}

func service(name, engine string) string {
	if engine == "" {
		return fmt.Sprintf(`{"name":%q}`, name)
	}
	return fmt.Sprintf(`{"name":%q,%s}`, name, engine)
}

// addModelServers starts two domains of servers of a model service.
func (s *stage) addModelServers(name string) error {
	for d := range 2 {
		for i := range 8 {
			if _, err := s.fleet.Add(fmt.Sprintf("%s-%d-%d", name, d, i), name, fmt.Sprintf("zone-%d", d), fmt.Sprintf("%s-rack-%d", name, d)); err != nil {
				return err
			}
		}
	}
	return nil
}

// streamCall asks for a stream of a model.
func streamCall(route string, i int) request {
	return request{method: "POST", uri: fmt.Sprintf("/%s/%d", route, i), key: standin.SmallKey, body: []byte(`{"question":"cold toes"}`), deadline: 8 * time.Second,
		header: map[string]string{"X-Model": []string{"m3", "m2"}[i%2], "X-Token-Counts": "100,56"}}
}

// awaitServed sends requests until each of the routes is served by both models.
func (s *stage) awaitServed(routes ...string) error {
	client := newClient()
	for _, route := range routes {
		for model := range 2 {
			served := false
			for try := 0; try < 100 && !served; try++ {
				served = s.call(client, s.nodes[0], streamCall(route, model)).status == 200
				if !served {
					time.Sleep(100 * time.Millisecond)
				}
			}
			if !served {
				return fmt.Errorf("route %s is not served", route)
			}
		}
	}
	return nil
}

// playMoveModelRoute moves two routes of streams from a model service: one to another model service
// that has the same models, one to a plain service.
func playMoveModelRoute(s *stage, trouble bool) ([]string, error) {
	seen := newRunLog(s)
	s.fleet = seen.fleet
	if err := s.addModelServers("models-a"); err != nil {
		return nil, err
	}
	first := config(1, []string{streamRoute("advice", "models-a"), streamRoute("notes", "models-a")}, []string{service("models-a", engine)}, limits, tenants)
	if _, err := s.putConfig(first); err != nil {
		return nil, err
	}
	if err := s.startNodes(2); err != nil {
		return nil, err
	}
	if err := s.awaitServed("advice", "notes"); err != nil {
		return nil, err
	}
	allowed := map[string]string{"advice": "models-a", "notes": "models-a"}
	if trouble {
		if _, err := s.addDesk("desk-1", "desk", "zone-0", 20*time.Millisecond, 800); err != nil {
			return nil, err
		}
		if err := s.addModelServers("models-b"); err != nil {
			return nil, err
		}
		time.Sleep(3 * time.Second) // the new servers are listed
		second := config(2, []string{streamRoute("advice", "models-b"), streamRoute("notes", "desk")},
			[]string{service("models-a", engine), service("models-b", engine), service("desk", "")}, limits, tenants)
		acknowledged, err := s.putConfig(second)
		if err != nil {
			return nil, err
		}
		allowed["advice"], allowed["notes"] = "models-b", "desk"
		time.Sleep(time.Until(acknowledged.Add(configApply + settle)))
	}
	return s.checkServices(seen, allowed), nil
}

// checkServices sends requests to the routes and returns those that another service has run than
// the one that the configuration in force allows.
func (s *stage) checkServices(seen *runLog, allowed map[string]string) (broken []string) {
	client := newClient()
	const perRoute = 100
	for _, route := range []string{"advice", "notes"} {
		wrong, served := 0, 0
		for i := range perRoute {
			a := s.call(client, s.nodes[i%len(s.nodes)], streamCall(route, i))
			if a.status == 200 {
				served++
			}
			if by := seen.serviceOf(a.id); by != "" && by != allowed[route] {
				wrong++
				s.record("run by another service", "request", a.id, "route", route, "by", by, "allowed", allowed[route])
			}
			time.Sleep(20 * time.Millisecond)
		}
		s.record("route", "name", route, "sent", perRoute, "served", served, "run_by_another_service", wrong)
		if wrong > 0 {
			broken = append(broken, fmt.Sprintf("%d of %d requests of route %s ran at another service than %s, the only one that the configuration allows", wrong, perRoute, route, allowed[route]))
		}
	}
	return broken
}

// playEscapedPath splits a route by a longer prefix and sends requests whose paths have an escaped
// slash where the longer prefix has a slash.
func playEscapedPath(s *stage, trouble bool) ([]string, error) {
	pay, err := s.addDesk("desk-1", "desk", "zone-0", 20*time.Millisecond, 800)
	if err != nil {
		return nil, err
	}
	vip, err := s.addDesk("vip-1", "vipdesk", "zone-0", 20*time.Millisecond, 800)
	if err != nil {
		return nil, err
	}
	services := []string{service("desk", ""), service("vipdesk", "")}
	whole := plainRoute("pay", "/pay/", "desk")
	if _, err := s.putConfig(config(1, []string{whole}, services, limits, tenants)); err != nil {
		return nil, err
	}
	if err := s.startNodes(2); err != nil {
		return nil, err
	}
	if trouble {
		split := []string{whole, plainRoute("vip", "/pay/vip/", "vipdesk")}
		acknowledged, err := s.putConfig(config(2, split, services, limits, tenants))
		if err != nil {
			return nil, err
		}
		time.Sleep(time.Until(acknowledged.Add(configApply + settle)))
	}
	client := newClient()
	const count = 40
	sent := make(map[string]bool)
	for i := range count {
		uri := fmt.Sprintf("/pay/vip%%2F%d", i) // one segment, the number of a customer: no route but /pay/ begins it
		a := s.call(client, s.nodes[i%2], request{method: "POST", uri: uri, key: "k1", body: []byte(`{"amount":40}`), deadline: 4 * time.Second})
		sent[a.id] = true
	}
	wrong := 0
	for _, id := range vip.ran() {
		if sent[id] {
			wrong++
		}
	}
	right := len(pay.ran())
	s.record("counted", "sent", count, "run_by_desk", right, "run_by_vipdesk", wrong)
	if wrong > 0 {
		return []string{fmt.Sprintf("%d of %d payments ran at the service of a route whose prefix does not begin their path", wrong, count)}, nil
	}
	if right != count {
		return nil, fmt.Errorf("%d of %d payments ran", right, count)
	}
	return nil, nil
}

package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of the checks.
const (
	// minDuration is below any useful setting: less is a slip of the unit.
	minDuration       = time.Millisecond
	minPlacementLease = 2 * time.Second
	maxPort           = 1<<16 - 1
	// notShown stands for a value that must not appear in a message.
	notShown     = "(not shown)"
	wantDuration = "a duration with its unit, such as 2s"
)

// checker gathers the faults of one file.
type checker struct{ errs Errors }

func (c *checker) bad(field, found, want string) {
	c.errs = append(c.errs, &FieldError{field, found, want})
}

func (s *Settings) check() Errors {
	c := &checker{}
	c.name("node", string(s.Node))
	c.name("zone", string(s.Zone))
	if s.Platform.Driver == DriverManaged {
		c.managed(s)
		slices.SortFunc(c.errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
		return c.errs
	}
	if s.Platform.Driver != DriverEtcd {
		c.bad("platform.driver", string(s.Platform.Driver), "etcd or managed")
	}
	c.listen(s.Listen)
	c.platform(s.Platform)
	for i, addr := range s.Peers.Seeds {
		if !isIPPort(addr) {
			c.bad(fmt.Sprintf("peers.seeds[%d]", i), addr, "ip:port of a node's datagrams")
		}
	}
	for i, zone := range s.Control.NeighborZones {
		field := fmt.Sprintf("control.neighbor_zones[%d]", i)
		c.name(field, string(zone))
		if zone == s.Zone {
			c.bad(field, string(zone), "a zone other than the node's own")
		}
	}
	if s.Peers.System != "" {
		c.name("peers.system", s.Peers.System)
	}
	c.keys(s.Peers.Keys)
	c.tls(s.TLS)
	c.ranges(s)
	slices.SortFunc(c.errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return c.errs
}

func (c *checker) name(field, value string) {
	if value == "" || strings.ContainsAny(value, "/ \t\n") {
		c.bad(field, value, "a name without spaces or slashes")
	}
}

// listen refuses 0.0.0.0 and :: where peers are told the address: they would
// call themselves instead of this node.
func (c *checker) listen(l Listen) {
	if !isIPPort(l.Callers) {
		c.bad("listen.callers", l.Callers, "ip:port, such as 10.0.0.5:8080")
	}
	for _, f := range []struct{ field, addr string }{{"listen.control", l.Control}, {"listen.datagrams", l.Datagrams}} {
		if !isIPPort(f.addr) || isUnspecified(f.addr) {
			c.bad(f.field, f.addr, "ip:port that other nodes reach, such as 10.0.0.5:8444")
		}
	}
}

// managed checks what a node on a managed platform needs.
func (c *checker) managed(s *Settings) {
	for _, f := range []struct {
		field, addr string
		optional    bool
	}{
		{"listen.callers", s.Listen.Callers, false}, {"listen.ready", s.Listen.Ready, false},
		{"listen.metrics", s.Listen.Metrics, true}, {"listen.datagrams", s.Listen.Datagrams, true}, {"feeds.listen", s.Feeds.Listen, true}, {"platform.address", s.Platform.Address, false},
	} {
		if !isIPPort(f.addr) && (f.addr != "" || !f.optional) {
			c.bad(f.field, f.addr, "ip:port, such as 10.0.0.5:8080")
		}
	}
	for i, addr := range s.Feeds.Seeds {
		if !isIPPort(addr) {
			c.bad(fmt.Sprintf("feeds.seeds[%d]", i), addr, "ip:port of a node's feed")
		}
	}
	if s.Region == "" {
		c.bad("region", "", "the name of the zones that are formed together")
	}
	if !(s.Retries.Ratio >= 0) || !(s.Retries.Slack >= 0) { // not a number is refused too
		c.bad("retries", fmt.Sprintf("ratio %v, slack %v", s.Retries.Ratio, s.Retries.Slack), "numbers from 0 on")
	}
	if s.Retries.Nodes < 1 {
		c.bad("retries.nodes", fmt.Sprint(s.Retries.Nodes), "at least 1")
	}
	if s.Process.MemoryMB < 0 {
		c.bad("process.memory_mb", fmt.Sprint(s.Process.MemoryMB), "a number from 0 on")
	}
	for _, f := range []struct {
		field string
		value time.Duration
	}{
		{"retries.window", s.Retries.Window}, {"process.grace", s.Process.Grace}, {"drain.notice", s.Drain.Notice},
	} {
		if f.value < minDuration {
			c.bad(f.field, f.value.String(), wantDuration)
		}
	}
	c.level(s.Log)
}

func (c *checker) level(l Log) {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		c.bad("log.level", l.Level, "debug, info, warn or error")
	}
}

func (c *checker) platform(p Platform) {
	if len(p.Store) == 0 {
		c.bad("platform.store", "", "at least one base URL")
	}
	for i, u := range p.Store {
		if !isURL(u) {
			c.bad(fmt.Sprintf("platform.store[%d]", i), u, "an http or https URL")
		}
	}
	if !isURL(p.VMList) {
		c.bad("platform.vm_list", p.VMList, "an http or https URL")
	}
}

func (c *checker) keys(keys []Key) {
	if len(keys) == 0 {
		c.bad("peers.keys", "", "at least one key")
	}
	seen := map[uint32]bool{}
	for i, k := range keys {
		field := fmt.Sprintf("peers.keys[%d]", i)
		if seen[k.ID] {
			c.bad(field+".id", fmt.Sprint(k.ID), "an id that no other key has")
		}
		seen[k.ID] = true
		switch {
		case k.Secret == "" && k.SecretFile == "":
			c.bad(field, "neither", "exactly one of secret and secret_file")
		case k.Secret != "" && k.SecretFile != "":
			c.bad(field, "both", "exactly one of secret and secret_file")
		default:
			c.secret(field, k)
		}
	}
}

func (c *checker) secret(field string, k Key) {
	_, err := k.Bytes()
	switch {
	case err == nil:
	case k.SecretFile != "":
		c.bad(field+".secret_file", k.SecretFile, err.Error())
	default:
		c.bad(field+".secret", notShown, err.Error())
	}
}

func (c *checker) tls(t TLS) {
	if t.Off {
		if t.Cert+t.Key+t.CA != "" {
			c.bad("tls.off", "true", "no cert, key or ca beside it")
		}
		return
	}
	for _, f := range []struct{ field, path string }{{"tls.cert", t.Cert}, {"tls.key", t.Key}, {"tls.ca", t.CA}} {
		if f.path == "" {
			c.bad(f.field, "", "a PEM file (or tls.off: true for a trial on one machine)")
		}
	}
}

func (c *checker) ranges(s *Settings) {
	for _, f := range []struct {
		field string
		value time.Duration
	}{
		{"platform.timeout", s.Platform.Timeout},
		{"platform.vm_list_every", s.Platform.VMListEvery},
		{"peers.heartbeat", s.Peers.Heartbeat},
		{"requests.deadline", s.Requests.Deadline},
		{"requests.call_timeout", s.Requests.CallTimeout},
		{"requests.claim_retention", s.Requests.ClaimRetention},
		{"control.confirm_within", s.Control.ConfirmWithin},
		{"drain.notice", s.Drain.Notice},
	} {
		if f.value < minDuration {
			c.bad(f.field, f.value.String(), wantDuration)
		}
	}
	if s.Control.PlacementLease < minPlacementLease {
		c.bad("control.placement_lease", s.Control.PlacementLease.String(), "at least "+minPlacementLease.String())
	}
	if !(s.Control.LoadsPerMinute > 0) { // not a number is refused too
		c.bad("control.loads_per_minute", fmt.Sprint(s.Control.LoadsPerMinute), "a number above zero")
	}
	if s.Requests.MaxBody < 0 {
		c.bad("requests.max_body", fmt.Sprint(s.Requests.MaxBody), "bytes above zero")
	}
	c.level(s.Log)
}

func isIPPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 0 && number <= maxPort
}

func isUnspecified(addr string) bool {
	host, _, _ := net.SplitHostPort(addr)
	return net.ParseIP(host).IsUnspecified()
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

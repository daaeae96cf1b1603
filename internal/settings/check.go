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

// Limits and texts used by the checks.
const (
	// minDuration is below any useful value, so a smaller one is taken for a wrong unit.
	minDuration       = time.Millisecond
	minPlacementLease = 2 * time.Second
	maxPort           = 1<<16 - 1
	// redacted replaces a value that must not appear in a message.
	redacted     = "(not shown)"
	wantDuration = "a duration with its unit, such as 2s"
)

// checker collects the errors in one file.
type checker struct{ errs Errors }

func (c *checker) reject(field, found, want string) {
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
		c.reject("platform.driver", string(s.Platform.Driver), "etcd or managed")
	}
	c.listen(s.Listen)
	c.platform(s.Platform)
	for i, addr := range s.Peers.Seeds {
		if !isIPPort(addr) {
			c.reject(fmt.Sprintf("peers.seeds[%d]", i), addr, "ip:port of a node's datagram address")
		}
	}
	for i, zone := range s.Control.NeighborZones {
		field := fmt.Sprintf("control.neighbor_zones[%d]", i)
		c.name(field, string(zone))
		if zone == s.Zone {
			c.reject(field, string(zone), "a zone other than the node's own")
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
		c.reject(field, value, "a name without spaces or slashes")
	}
}

// listen rejects 0.0.0.0 and :: for the addresses that are advertised to peers: a peer
// that dialed them would reach itself instead of this node.
func (c *checker) listen(l Listen) {
	if !isIPPort(l.Callers) {
		c.reject("listen.callers", l.Callers, "ip:port, such as 10.0.0.5:8080")
	}
	for _, f := range []struct{ field, addr string }{{"listen.control", l.Control}, {"listen.datagrams", l.Datagrams}} {
		if !isIPPort(f.addr) || isUnspecified(f.addr) {
			c.reject(f.field, f.addr, "ip:port that other nodes can reach, such as 10.0.0.5:8444")
		}
	}
}

// managed checks the settings used when platform.driver is managed.
func (c *checker) managed(s *Settings) {
	for _, f := range []struct {
		field, addr string
		optional    bool
	}{
		{"listen.callers", s.Listen.Callers, false}, {"listen.ready", s.Listen.Ready, false},
		{"listen.metrics", s.Listen.Metrics, true}, {"listen.datagrams", s.Listen.Datagrams, true}, {"feeds.listen", s.Feeds.Listen, true}, {"platform.address", s.Platform.Address, false},
	} {
		if !isIPPort(f.addr) && (f.addr != "" || !f.optional) {
			c.reject(f.field, f.addr, "ip:port, such as 10.0.0.5:8080")
		}
	}
	for i, addr := range s.Feeds.Seeds {
		if !isIPPort(addr) {
			c.reject(fmt.Sprintf("feeds.seeds[%d]", i), addr, "ip:port of a node's feed address")
		}
	}
	if s.Region == "" {
		c.reject("region", "", "the name of the region whose zones are managed together")
	}
	if !(s.Retries.Ratio >= 0) || !(s.Retries.Slack >= 0) { // also rejects NaN
		c.reject("retries", fmt.Sprintf("ratio %v, slack %v", s.Retries.Ratio, s.Retries.Slack), "numbers of at least 0")
	}
	if s.Retries.Nodes < 1 {
		c.reject("retries.nodes", fmt.Sprint(s.Retries.Nodes), "at least 1")
	}
	c.zones(s.Zones)
	if s.Process.MemoryMB < 0 {
		c.reject("process.memory_mb", fmt.Sprint(s.Process.MemoryMB), "a number of at least 0")
	}
	for _, f := range []struct {
		field string
		value time.Duration
	}{
		{"retries.window", s.Retries.Window}, {"process.grace", s.Process.Grace}, {"drain.notice", s.Drain.Notice},
	} {
		if f.value < minDuration {
			c.reject(f.field, f.value.String(), wantDuration)
		}
	}
	if s.Drain.Notice >= s.Process.Grace {
		c.reject("drain.notice", s.Drain.Notice.String(), "less than process.grace, "+s.Process.Grace.String())
	}
	c.level(s.Log)
}

func (c *checker) level(l Log) {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		c.reject("log.level", l.Level, "debug, info, warn or error")
	}
}

func (c *checker) platform(p Platform) {
	if len(p.Store) == 0 {
		c.reject("platform.store", "", "at least one base URL")
	}
	for i, u := range p.Store {
		if !isURL(u) {
			c.reject(fmt.Sprintf("platform.store[%d]", i), u, "an http or https URL")
		}
	}
	if !isURL(p.VMList) {
		c.reject("platform.vm_list", p.VMList, "an http or https URL")
	}
}

func (c *checker) keys(keys []Key) {
	if len(keys) == 0 {
		c.reject("peers.keys", "", "at least one key")
	}
	seen := map[uint32]bool{}
	for i, k := range keys {
		field := fmt.Sprintf("peers.keys[%d]", i)
		if seen[k.ID] {
			c.reject(field+".id", fmt.Sprint(k.ID), "an id that is unique among the keys")
		}
		seen[k.ID] = true
		switch {
		case k.Secret == "" && k.SecretFile == "":
			c.reject(field, "neither", "exactly one of secret and secret_file")
		case k.Secret != "" && k.SecretFile != "":
			c.reject(field, "both", "exactly one of secret and secret_file")
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
		c.reject(field+".secret_file", k.SecretFile, err.Error())
	default:
		c.reject(field+".secret", redacted, err.Error())
	}
}

func (c *checker) tls(t TLS) {
	if t.Off {
		if t.Cert+t.Key+t.CA != "" {
			c.reject("tls.off", "true", "no cert, key or ca together with tls.off")
		}
		return
	}
	for _, f := range []struct{ field, path string }{{"tls.cert", t.Cert}, {"tls.key", t.Key}, {"tls.ca", t.CA}} {
		if f.path == "" {
			c.reject(f.field, "", "a PEM file (or tls.off: true for a test on one machine)")
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
			c.reject(f.field, f.value.String(), wantDuration)
		}
	}
	if s.Control.PlacementLease < minPlacementLease {
		c.reject("control.placement_lease", s.Control.PlacementLease.String(), "at least "+minPlacementLease.String())
	}
	if !(s.Control.LoadsPerMinute > 0) { // also rejects NaN
		c.reject("control.loads_per_minute", fmt.Sprint(s.Control.LoadsPerMinute), "a number greater than 0")
	}
	if s.Requests.MaxBody < 0 {
		c.reject("requests.max_body", fmt.Sprint(s.Requests.MaxBody), "a number of bytes greater than 0")
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

package rules

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// CallKind says whether a route's calls may be repeated after a failure.
type CallKind string

// Kinds of calls. A stream that is not resumable is treated as unsafe.
const (
	CallSafe   CallKind = "safe"
	CallUnsafe CallKind = "unsafe"
	CallStream CallKind = "stream"
)

// RoutePolicy holds the timeouts, retry limits and targets of a route's calls, which only a
// platform configuration sets.
type RoutePolicy struct {
	// Name identifies the route in logs.
	Name string
	// Host is the request's host; the route's Path is a path prefix on it.
	Host string
	Kind CallKind
	// Split distributes the calls over services in proportion to their weights.
	Split []WeightedService
	// Timeout bounds the time until the end of the response.
	Timeout time.Duration
	// Target is the latency target of a response (of a stream's first chunk).
	Target time.Duration
	// TargetGap is the target for the longest pause between chunks of a stream.
	TargetGap time.Duration
	// Priority orders routes by urgency, 0 first. A team's own priority overrides it.
	Priority int
	// MaxAttempts bounds the backend servers that one call is sent to.
	MaxAttempts int
	// Public routes don't require a token.
	Public bool
	// Resumable streams may continue on another replica after the last complete chunk.
	Resumable bool
}

// WeightedService is one target of a route's split.
type WeightedService struct {
	Service cluster.Service
	Weight  int
}

// Pick returns the service for a call. draw is a uniformly distributed random number.
func (t *RoutePolicy) Pick(draw uint64) cluster.Service {
	total := 0
	for _, w := range t.Split {
		total += w.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(draw % uint64(total))
	for _, w := range t.Split {
		if at -= w.Weight; at < 0 {
			return w.Service
		}
	}
	return ""
}

// Idempotent reports whether a call on the route may be executed more than once.
func (t *RoutePolicy) Idempotent() bool {
	return t.Kind == CallSafe || t.Kind == CallStream && t.Resumable
}

// CallerBounds limits the size and the duration of callers' requests.
type CallerBounds struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader int64
	MaxBody   int64
	// HeaderTimeout bounds the time to receive a request's header, IdleTimeout the
	// time that a connection may be idle.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WeightStore limits the loading of weights by all VMs together.
type WeightStore struct {
	LoadsPerSecond float64
	// LoadsAtOnce is the number of concurrent loads that run at full speed.
	LoadsAtOnce int
}

// Assemble returns a set built from typed parts instead of a file's text. The
// caller must have validated the parts.
func Assemble(parts Set) *Set {
	set := parts
	set.buildIndex(routeIndex{})
	set.index.hosts = make(map[string][]*Route)
	for i := range set.Routes {
		r := &set.Routes[i]
		if r.Policy == nil {
			continue
		}
		r.Verbatim = r.format()
		host := normalizeHost(r.Policy.Host)
		set.index.hosts[host] = append(set.index.hosts[host], r)
	}
	for _, routes := range set.index.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
	return &set
}

// Service returns the declaration of a service, or nil.
func (s *Set) Service(name cluster.Service) *ServiceDecl {
	at := slices.IndexFunc(s.Services, func(d ServiceDecl) bool { return d.Name == name })
	if at < 0 {
		return nil
	}
	return &s.Services[at]
}

// normalizeHost returns the form of a host in which hosts are compared: without regard to case, and
// without the dot that ends an absolute name.
func normalizeHost(host string) string { return strings.TrimSuffix(strings.ToLower(host), ".") }

// MatchHost returns the host's route with the longest prefix of path, or nil.
func (s *Set) MatchHost(host, path string) *Route {
	for _, r := range s.index.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// TokenHash returns the lower-case hex SHA-256 of a token, the form that sets hold.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

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

// CallKind says what a route's calls allow after a failure.
type CallKind string

// Kinds of calls. A stream that is not resumable is treated as unsafe.
const (
	CallSafe   CallKind = "safe"
	CallUnsafe CallKind = "unsafe"
	CallStream CallKind = "stream"
)

// RoutePolicy are the conditions under which a route's calls are served.
type RoutePolicy struct {
	// Name identifies the route in logs.
	Name string
	// Host is the host that callers name; Path of the route is a prefix below it.
	Host string
	Kind CallKind
	// Split says which services the calls go to, and in which proportion.
	Split []WeightedService
	// Timeout is how long a caller may be kept waiting for the end of its answer.
	Timeout time.Duration
	// Target is the time within which an answer (a stream's first piece) is on time.
	Target time.Duration
	// TargetGap is the longest pause between pieces of a stream that is on time.
	TargetGap time.Duration
	// Priority orders routes by urgency, 0 first. A team's own priority goes before it.
	Priority int
	// MaxAttempts bounds the backend servers that one call may be sent to.
	MaxAttempts int
	// Public routes need no token.
	Public bool
	// Resumable streams may go on at another replica after the last whole piece.
	Resumable bool
}

// WeightedService is one target of a route's split.
type WeightedService struct {
	Service cluster.Service
	Weight  int
}

// Pick returns the service for a call; draw is evenly spread over all numbers.
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

// Idempotent reports whether a call on the route may run more than once.
func (t *RoutePolicy) Idempotent() bool {
	return t.Kind == CallSafe || t.Kind == CallStream && t.Resumable
}

// CallerBounds limit what callers may send and how long they may take.
type CallerBounds struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader int64
	MaxBody   int64
	// HeaderTimeout bounds the sending of a request's header, IdleTimeout the
	// time that a connection may be unused.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WeightStore is the rate at which VMs may read weights, over all of them.
type WeightStore struct {
	LoadsPerSecond float64
	// LoadsAtOnce is how many go on at full speed at the same time.
	LoadsAtOnce int
}

// Assemble returns a set built from typed parts in place of a file's text. The
// caller has checked the parts.
func Assemble(parts Set) *Set {
	set := parts
	set.buildIndex(routeIndex{})
	set.index.hosts = make(map[string][]*Route)
	for i := range set.Routes {
		r := &set.Routes[i]
		if r.Policy == nil {
			continue
		}
		r.Verbatim = r.line()
		set.index.hosts[r.Policy.Host] = append(set.index.hosts[r.Policy.Host], r)
	}
	for _, routes := range set.index.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
	return &set
}

// MatchHost returns the route of the host with the longest prefix of path, or nil.
func (s *Set) MatchHost(host, path string) *Route {
	for _, r := range s.index.hosts[host] {
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// TokenHash is the form in which a set holds a team's token.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

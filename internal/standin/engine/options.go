// Package standinengine is a model engine stand-in for one VM. It speaks the
// protocol of package engine over HTTP, generates deterministic text and can be
// told to fail in the ways that real engines do. It serves tests and the quick
// start only.
package standinengine

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Options shape one engine. Zero fields take the defaults below.
type Options struct {
	VM cluster.VMID
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// TokenInterval is the time between two tokens of one request.
	TokenInterval time.Duration
	// PrefillPerBlock is the time that each uncached prompt block adds to the first token.
	PrefillPerBlock time.Duration
	// MaxRunning is how many requests are batched; MaxWaiting how many wait beyond.
	MaxRunning int
	MaxWaiting int
	// MaxGap is the promised longest silence within a stream.
	MaxGap time.Duration
	// CanContinue lets this engine continue streams that another replica began.
	CanContinue bool
	// LoadTime is how long loading a model or version takes.
	LoadTime time.Duration
	// LoadLag is how old a load report can get.
	LoadLag time.Duration
	// ResumeGrace is how long a request without a connection is kept.
	ResumeGrace time.Duration
	// MemberPoll is how often the serving VM asks its members; one that has not
	// answered for MemberTimeout is dead.
	MemberPoll    time.Duration
	MemberTimeout time.Duration
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// CacheEventLag delays cache events; every CacheEventGap-th one is lost (0: none).
	CacheEventLag time.Duration
	CacheEventGap int
	// CrashMarker crashes the engine that runs a body containing it; empty: none.
	CrashMarker string
	// PeerAddr finds a member that the assignment gives no address for; may be nil.
	PeerAddr func(cluster.VMID) string
	// OnCrash is called when the engine crashes; a process exits in it. May be nil.
	OnCrash func()
}

// Defaults of Options.
const (
	DefaultTokenInterval = time.Millisecond
	DefaultMaxRunning    = 8
	DefaultMaxGap        = time.Second
	DefaultLoadLag       = 100 * time.Millisecond
	DefaultResumeGrace   = 30 * time.Second
	DefaultMemberPoll    = 100 * time.Millisecond
	DefaultMemberTimeout = time.Second
	DefaultCacheBlocks   = 1024
)

func (o Options) withDefaults() Options {
	setDefault(&o.TokenInterval, DefaultTokenInterval)
	setDefault(&o.MaxRunning, DefaultMaxRunning)
	setDefault(&o.MaxWaiting, 4*o.MaxRunning)
	setDefault(&o.MaxGap, DefaultMaxGap)
	setDefault(&o.LoadLag, DefaultLoadLag)
	setDefault(&o.ResumeGrace, DefaultResumeGrace)
	setDefault(&o.MemberPoll, DefaultMemberPoll)
	setDefault(&o.MemberTimeout, DefaultMemberTimeout)
	setDefault(&o.CacheBlocks, DefaultCacheBlocks)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Faults are the ways in which the engine misbehaves until they are set anew.
// Event numbers count from 1; zero switches a fault off.
type Faults struct {
	// Streams limits the stream faults to that many streams; zero means all.
	Streams int `json:"streams,omitempty"`
	// SwapEcho echoes another request's id and sends another request's answer.
	SwapEcho bool `json:"swap_echo,omitempty"`
	// SwapFrom sends events of another request from that event on, under the right header.
	SwapFrom int `json:"swap_from,omitempty"`
	// TruncateAfter closes the stream cleanly after that many events.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// AbortAfter breaks the connection after that many events.
	AbortAfter int `json:"abort_after,omitempty"`
	// StallAfter sends nothing more on the connection after that many events.
	StallAfter int `json:"stall_after,omitempty"`
	// Repeat sends that event twice, Skip leaves it out, Reorder swaps it with the next.
	Repeat  int `json:"repeat,omitempty"`
	Skip    int `json:"skip,omitempty"`
	Reorder int `json:"reorder,omitempty"`

	// Refuse refuses every request as not started.
	Refuse bool `json:"refuse,omitempty"`
	// Freeze stops everything: connections stay open, nothing moves.
	Freeze bool `json:"freeze,omitempty"`
	// SlowBy multiplies the time between tokens: a straggler.
	SlowBy float64 `json:"slow_by,omitempty"`
	// ReportIdle reports an empty engine whatever runs; MuteLoad repeats the last report for ever.
	ReportIdle bool `json:"lie_idle,omitempty"`
	MuteLoad   bool `json:"mute_load,omitempty"`
	// CrashMarker crashes the engine when it runs a body that contains the text.
	CrashMarker string `json:"crash_marker,omitempty"`
}

// Package standinengine simulates the model engine of one VM. It implements the
// protocol of package engine over HTTP, generates deterministic text and injects
// the faults that real engines show. It is for tests and the quick start only.
package standinengine

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Options configures a Server. Zero fields take the defaults below.
type Options struct {
	VM cluster.VMID
	// ChecksFence makes the engine reject orders with an old fencing token.
	ChecksFence bool
	// TokenInterval is the time between consecutive tokens of a request.
	TokenInterval time.Duration
	// PrefillPerBlock is added to the time to first token for each uncached prompt block.
	PrefillPerBlock time.Duration
	// MaxRunning limits the batch size and MaxWaiting the queue behind it.
	MaxRunning int
	MaxWaiting int
	// MaxGap is the advertised maximum time between two writes on a stream.
	MaxGap time.Duration
	// CanContinue allows continuing streams that another replica started.
	CanContinue bool
	// LoadTime is the duration of loading a model or version.
	LoadTime time.Duration
	// LoadLag is the sampling interval, and so the maximum age, of the load report.
	LoadLag time.Duration
	// ResumeGrace is how long a request without a connection is kept for resumption.
	ResumeGrace time.Duration
	// MemberPoll is the interval at which the serving VM polls its members. A member
	// that has not answered for MemberTimeout is considered dead.
	MemberPoll    time.Duration
	MemberTimeout time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// CacheEventLag delays the publication of cache events. Every CacheEventGap-th
	// event is dropped; zero drops none.
	CacheEventLag time.Duration
	CacheEventGap int
	// CrashMarker crashes the engine when it executes a body that contains the text;
	// empty disables it.
	CrashMarker string
	// PeerAddr resolves members without an address in the assignment; may be nil.
	PeerAddr func(cluster.VMID) string
	// OnCrash is called when the engine crashes; fennel-standin exits the process in
	// it. May be nil.
	OnCrash func()
}

// Default values of Options fields.
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

// Faults selects the faults to inject; they stay active until the next SetFaults.
// Event numbers count from 1; zero disables a fault.
type Faults struct {
	// Streams is the number of streams that the stream faults apply to; zero means all.
	Streams int `json:"streams,omitempty"`
	// SwapEcho returns another request's ID and answer.
	SwapEcho bool `json:"swap_echo,omitempty"`
	// SwapFrom sends events of another request from this event on, with the correct
	// request ID in the header.
	SwapFrom int `json:"swap_from,omitempty"`
	// TruncateAfter ends the response normally after this many events.
	TruncateAfter int `json:"truncate_after,omitempty"`
	// AbortAfter aborts the connection after this many events.
	AbortAfter int `json:"abort_after,omitempty"`
	// StallAfter keeps the connection open but sends nothing after this many events.
	StallAfter int `json:"stall_after,omitempty"`
	// Repeat sends this event twice, Skip omits it, Reorder swaps it with the next.
	Repeat  int `json:"repeat,omitempty"`
	Skip    int `json:"skip,omitempty"`
	Reorder int `json:"reorder,omitempty"`

	// Refuse rejects every request as not started.
	Refuse bool `json:"refuse,omitempty"`
	// Freeze suspends the engine: connections stay open but make no progress.
	Freeze bool `json:"freeze,omitempty"`
	// SlowBy multiplies the time between tokens, which simulates a straggler.
	SlowBy float64 `json:"slow_by,omitempty"`
	// ReportIdle reports zero load regardless of the running requests;
	// FreezeLoadReport stops updating the load report.
	ReportIdle       bool `json:"lie_idle,omitempty"`
	FreezeLoadReport bool `json:"mute_load,omitempty"`
	// CrashMarker acts like Options.CrashMarker, in addition to it.
	CrashMarker string `json:"crash_marker,omitempty"`
}

package memstore

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Kind names a kind of call, as counted by Calls.
type Kind string

// Kinds of calls.
const (
	KindGet       Kind = "get"
	KindRange     Kind = "range"
	KindTxn       Kind = "txn"
	KindGrant     Kind = "grant"
	KindKeepAlive Kind = "keepalive"
	KindRevoke    Kind = "revoke"
	KindWatch     Kind = "watch"
)

// Faults are the switches of the store. The zero value is a healthy store.
type Faults struct {
	// Down refuses every call, without effect, and ends the watches.
	Down bool `json:"down,omitempty"`
	// DownUnknown makes the writes refused by Down look unknown, as a
	// connection that is cut before the answer does.
	DownUnknown bool `json:"down_unknown,omitempty"`
	// Delay holds every call back before it takes effect.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseAnswers is how many of the next writes take effect while their
	// answer is lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// DropWrites is how many of the next writes take no effect while the
	// caller can't tell.
	DropWrites int `json:"drop_writes,omitempty"`
}

// Action is what a Hook does to one call.
type Action int

// Verdicts. Refuse and DropWrite leave the store as it is; LoseAnswer lets the call take
// effect and loses the answer.
const (
	Proceed Action = iota
	Refuse
	DropWrite
	LoseAnswer
)

// Hook decides the fate of each call in place of the switches; txn is nil for
// calls other than transactions. It may block.
type Hook func(kind Kind, txn *store.Txn) Action

// errInjected is the cause of all injected failures.
var errInjected = errors.New("injected fault")

type faultState struct {
	mu     sync.Mutex
	faults Faults
	hook   Hook
	calls  map[Kind]int64
}

// SetFaults replaces all switches.
func (s *Store) SetFaults(f Faults) {
	s.faults.mu.Lock()
	s.faults.faults = f
	s.faults.mu.Unlock()
	s.mu.Lock()
	s.wakeLocked()
	s.mu.Unlock()
}

// SetHook installs a hook for tests that need a fault at an exact call; nil removes it.
func (s *Store) SetHook(h Hook) {
	s.faults.mu.Lock()
	s.faults.hook = h
	s.faults.mu.Unlock()
}

// Calls returns how many calls of each kind were made, failed ones too.
func (s *Store) Calls() map[Kind]int64 {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return maps.Clone(s.faults.calls)
}

// enter counts a call and applies the faults that come before its effect. It
// returns in lost what the call has to fail with after taking effect.
func (s *Store) enter(ctx context.Context, kind Kind, txn *store.Txn) (lost, err error) {
	s.faults.mu.Lock()
	s.faults.calls[kind]++
	f := s.faults.faults
	hook := s.faults.hook
	s.faults.mu.Unlock()
	if err := pause(ctx, kind, f.Delay); err != nil {
		return nil, err
	}
	verdict := s.verdict(f, kind)
	if hook != nil && verdict == Proceed {
		verdict = hook(kind, txn)
	}
	switch verdict {
	case Refuse:
		return nil, unavailable(kind, store.Refused, errInjected)
	case DropWrite:
		return nil, unavailable(kind, store.Unknown, errInjected)
	case LoseAnswer:
		return unavailable(kind, store.Unknown, errInjected), nil
	}
	return nil, nil
}

// pause waits; a call whose caller gives up meanwhile has had no effect, but
// the caller of a write can't know that.
func pause(ctx context.Context, kind Kind, d time.Duration) error {
	clock.Pause(ctx, d)
	if err := ctx.Err(); err != nil {
		return unavailable(kind, store.Unknown, err)
	}
	return nil
}

func (s *Store) verdict(f Faults, kind Kind) Action {
	switch {
	case f.Down && f.DownUnknown && isWrite(kind):
		return DropWrite
	case f.Down:
		return Refuse
	case !isWrite(kind):
		return Proceed
	}
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if s.faults.faults.DropWrites > 0 {
		s.faults.faults.DropWrites--
		return DropWrite
	}
	if s.faults.faults.LoseAnswers > 0 {
		s.faults.faults.LoseAnswers--
		return LoseAnswer
	}
	return Proceed
}

func (s *Store) watchFault() error {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if s.faults.faults.Down {
		return unavailable(KindWatch, store.Refused, errInjected)
	}
	return nil
}

func isWrite(kind Kind) bool {
	return kind == KindTxn || kind == KindGrant || kind == KindRevoke
}

func unavailable(kind Kind, outcome store.Outcome, err error) error {
	return &store.Error{Kind: store.Unavailable, Outcome: outcome, Op: string(kind), Err: err}
}

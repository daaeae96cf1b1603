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

// Kind is a kind of store call, as counted by Calls.
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

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// Down fails every call without effect and ends all watches.
	Down bool `json:"down,omitempty"`
	// DownUnknown reports the outcome of writes that Down fails as Unknown, as
	// happens when the connection breaks before the response.
	DownUnknown bool `json:"down_unknown,omitempty"`
	// Delay is how long every call waits before it takes effect.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseAnswers is how many of the next writes take effect although their
	// response is lost.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// DropWrites is how many of the next writes have no effect and fail with
	// Outcome Unknown.
	DropWrites int `json:"drop_writes,omitempty"`
}

// Action is the decision of a Hook about one call.
type Action int

// Actions of a Hook. Refuse and DropWrite leave the store unchanged and return Outcome
// Refused and Unknown; LoseAnswer applies the call and then returns Outcome Unknown.
const (
	Proceed Action = iota
	Refuse
	DropWrite
	LoseAnswer
)

// Hook selects a fault for each call that Faults lets proceed; txn is nil for calls
// other than transactions. It may block.
type Hook func(kind Kind, txn *store.Txn) Action

// errInjected is the cause of all injected errors.
var errInjected = errors.New("injected fault")

type faultState struct {
	mu     sync.Mutex
	faults Faults
	hook   Hook
	calls  map[Kind]int64
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.faults.mu.Lock()
	s.faults.faults = f
	s.faults.mu.Unlock()
	s.mu.Lock()
	s.notifyWatchersLocked()
	s.mu.Unlock()
}

// SetHook installs a hook for tests that need a fault at a particular call; nil removes it.
func (s *Store) SetHook(h Hook) {
	s.faults.mu.Lock()
	s.faults.hook = h
	s.faults.mu.Unlock()
}

// Calls returns the number of calls of each kind, including failed ones.
func (s *Store) Calls() map[Kind]int64 {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	return maps.Clone(s.faults.calls)
}

// beginCall counts a call and injects the faults that precede its effect. A call
// with a non-nil lostAnswer must take effect and then return that error.
func (s *Store) beginCall(ctx context.Context, kind Kind, txn *store.Txn) (lostAnswer, err error) {
	s.faults.mu.Lock()
	s.faults.calls[kind]++
	f := s.faults.faults
	hook := s.faults.hook
	s.faults.mu.Unlock()
	if err := waitDelay(ctx, kind, f.Delay); err != nil {
		return nil, err
	}
	action := s.injectedFault(f, kind)
	if hook != nil && action == Proceed {
		action = hook(kind, txn)
	}
	switch action {
	case Refuse:
		return nil, unavailable(kind, store.Refused, errInjected)
	case DropWrite:
		return nil, unavailable(kind, store.Unknown, errInjected)
	case LoseAnswer:
		return unavailable(kind, store.Unknown, errInjected), nil
	}
	return nil, nil
}

// waitDelay waits for d. A call whose context ends meanwhile has no effect, but its
// outcome is Unknown because the caller cannot know whether a write was applied.
func waitDelay(ctx context.Context, kind Kind, d time.Duration) error {
	clock.Pause(ctx, d)
	if err := ctx.Err(); err != nil {
		return unavailable(kind, store.Unknown, err)
	}
	return nil
}

func (s *Store) injectedFault(f Faults, kind Kind) Action {
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

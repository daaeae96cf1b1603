package memstore_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/internal/store/storetest"
)

func TestConformance(t *testing.T) {
	storetest.Run(t, func(t *testing.T) store.Store {
		s := memstore.New(memstore.Options{})
		t.Cleanup(s.Close)
		return s
	})
}

func TestCompaction(t *testing.T) {
	s := memstore.New(memstore.Options{KeepRevisions: 4})
	first := storetest.Put(t, s, "/k", "0")
	for range 20 {
		storetest.Put(t, s, "/k", "x")
	}
	_, err := s.Range(t.Context(), "/", store.RangeOptions{Revision: first})
	storeErr, ok := errors.Into[*store.Error](err)
	require.True(t, ok)
	require.Equal(t, store.Compacted, storeErr.Kind)

	ch, err := s.Watch(t.Context(), "/", first)
	require.NoError(t, err)
	storeErr, ok = errors.Into[*store.Error]((<-ch).Err)
	require.True(t, ok)
	require.Equal(t, store.Compacted, storeErr.Kind)
	_, open := <-ch
	require.False(t, open)
}

func TestInjectedFaults(t *testing.T) {
	put := store.Txn{Then: []store.Op{store.Put("/k", []byte("1"), 0)}}
	cases := []struct {
		name    string
		faults  memstore.Faults
		outcome store.Outcome
		applied bool
	}{
		{"down", memstore.Faults{Down: true}, store.Refused, false},
		{"down with unknown outcome", memstore.Faults{Down: true, DownUnknown: true}, store.Unknown, false},
		{"write dropped", memstore.Faults{DropWrites: 1}, store.Unknown, false},
		{"response lost", memstore.Faults{LoseAnswers: 1}, store.Unknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := memstore.New(memstore.Options{})
			s.SetFaults(c.faults)
			_, err := s.Txn(t.Context(), put)
			storeErr, ok := errors.Into[*store.Error](err)
			require.True(t, ok)
			require.Equal(t, store.Unavailable, storeErr.Kind)
			require.Equal(t, c.outcome, storeErr.Outcome)
			s.SetFaults(memstore.Faults{})
			kv, _, err := s.Get(t.Context(), "/k")
			require.NoError(t, err)
			require.Equal(t, c.applied, kv != nil)
			require.EqualValues(t, 1, s.Calls()[memstore.KindTxn])
		})
	}
}

func TestDownEndsWatches(t *testing.T) {
	s := memstore.New(memstore.Options{})
	ch, err := s.Watch(t.Context(), "/", 0)
	require.NoError(t, err)
	s.SetFaults(memstore.Faults{Down: true})
	require.Error(t, (<-ch).Err)
}

func TestDelayedCallHonoursContext(t *testing.T) {
	s := memstore.New(memstore.Options{})
	s.SetFaults(memstore.Faults{Delay: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := s.Txn(ctx, store.Txn{Then: []store.Op{store.Put("/k", nil, 0)}})
	storeErr, ok := errors.Into[*store.Error](err)
	require.True(t, ok)
	require.Equal(t, store.Unknown, storeErr.Outcome)
}

func TestLeasesUseInjectedClock(t *testing.T) {
	now := time.Unix(0, 0)
	s := memstore.New(memstore.Options{Now: func() time.Time { return now }})
	lease, err := s.Grant(t.Context(), 1500*time.Millisecond) // rounded up to 2 s
	require.NoError(t, err)
	_, err = s.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put("/k", nil, lease)}})
	require.NoError(t, err)
	for _, step := range []struct {
		at     time.Duration
		exists bool
	}{{1900 * time.Millisecond, true}, {2 * time.Second, false}} {
		now = time.Unix(0, 0).Add(step.at)
		s.ExpireLeases()
		kv, _, err := s.Get(t.Context(), "/k")
		require.NoError(t, err)
		require.Equal(t, step.exists, kv != nil, step.at)
	}
}

// Package storetest contains the conformance tests for store drivers.
package storetest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/store"
)

// caseTimeout limits each test case; a correct driver needs a fraction of it.
const caseTimeout = 10 * time.Second

// minLeaseTTL is the shortest lease TTL that a store grants.
const minLeaseTTL = time.Second

// testCase checks one requirement of store.Store.
type testCase struct {
	name string
	test func(context.Context, *testing.T, store.Store)
}

// Run checks that the stores returned by newStore implement store.Store. Each call
// of newStore must return an empty store.
func Run(t *testing.T, newStore func(t *testing.T) store.Store) {
	RunCommon(t, newStore)
	runCases(t, newStore, []testCase{
		{"revisions and versions increase", testRevisions},
		{"guards", testGuards},
		{"reads inside a transaction", testTxnReads},
		{"ranges by prefix, paginated, at a revision", testRange},
		{"binary keys", testBinaryKey},
	})
}

// RunCommon checks the features that every service supports: guards on a key's mod
// revision or absence, reads of the latest values, leases and watches. Packages that
// run on every platform must use only these.
func RunCommon(t *testing.T, newStore func(t *testing.T) store.Store) {
	runCases(t, newStore, []testCase{
		{"get of an absent key", testAbsentKey},
		{"revisions increase", testCommonRevisions},
		{"guards on mod revisions", testCommonGuards},
		{"invalid transactions change nothing", testInvalid},
		{"ranges by prefix, paginated", testCommonRange},
		{"binary values", testBinaryValue},
		{"an expired lease deletes its keys", testLeaseExpiry},
		{"a keepalive renews a lease", testKeepAlive},
		{"a revoked lease deletes its keys", testRevoke},
		{"unknown leases", testUnknownLease},
		{"a watch sees changes from a past revision, in order", testWatchFrom},
		{"a watch from now sees only later changes", testWatchFromNow},
		{"a watch ends when its context is canceled", testWatchEnds},
	})
}

func runCases(t *testing.T, newStore func(t *testing.T) store.Store, cases []testCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			c.test(ctx, t, newStore(t))
		})
	}
}

func testCommonRevisions(ctx context.Context, t *testing.T, s store.Store) {
	first := Put(t, s, "/k", "1")
	second := Put(t, s, "/k", "2")
	require.Greater(t, second, first)
	kv, revision, err := s.Get(ctx, "/k")
	require.NoError(t, err)
	require.Equal(t, []byte("2"), kv.Value)
	require.Equal(t, first, kv.CreateRevision)
	require.Equal(t, second, kv.ModRevision)
	require.GreaterOrEqual(t, revision, second)

	res, err := s.Txn(ctx, store.Txn{Then: []store.Op{store.Delete("/k"), store.Delete("/absent")}})
	require.NoError(t, err)
	require.True(t, res.Succeeded)
	recreated := Put(t, s, "/k", "3")
	kv, _, err = s.Get(ctx, "/k")
	require.NoError(t, err)
	require.Equal(t, recreated, kv.CreateRevision, "a recreated key has a new create revision")
}

func testCommonGuards(ctx context.Context, t *testing.T, s store.Store) {
	rev := Put(t, s, "/k", "1")
	cases := []struct {
		name  string
		guard store.Guard
		holds bool
	}{
		{"absent, of a present key", store.Absent("/k"), false},
		{"absent, of an absent key", store.Absent("/other"), true},
		{"modified at its revision", store.ModifiedAt("/k", rev), true},
		{"modified at another revision", store.ModifiedAt("/k", rev+1), false},
		{"modified, of an absent key", store.ModifiedAt("/other", rev), false},
	}
	for _, c := range cases {
		res, err := s.Txn(ctx, store.Txn{Guards: []store.Guard{c.guard}, Then: []store.Op{store.Put("/done/"+c.name, nil, 0)}})
		require.NoError(t, err, c.name)
		require.Equal(t, c.holds, res.Succeeded, c.name)
		kv, _, err := s.Get(ctx, "/done/"+c.name)
		require.NoError(t, err, c.name)
		require.Equal(t, c.holds, kv != nil, c.name)
	}
	res, err := s.Txn(ctx, store.Txn{
		Guards: []store.Guard{store.ModifiedAt("/k", rev), store.Absent("/k")},
		Then:   []store.Op{store.Put("/both", nil, 0)},
	})
	require.NoError(t, err)
	require.False(t, res.Succeeded, "all guards must hold")
}

func testCommonRange(ctx context.Context, t *testing.T, s store.Store) {
	Put(t, s, "/p", "outside")
	for _, k := range []string{"c", "a", "b"} {
		Put(t, s, "/p/"+k, k)
	}
	last := Put(t, s, "/q", "outside")
	var found []store.KV
	opts := store.RangeOptions{Limit: 2}
	for {
		res, err := s.Range(ctx, "/p/", opts)
		require.NoError(t, err)
		require.GreaterOrEqual(t, res.Revision, last)
		found = append(found, res.KVs...)
		if !res.More {
			break
		}
		opts.StartAfter = res.KVs[len(res.KVs)-1].Key
	}
	require.Equal(t, "/p/a=a /p/b=b /p/c=c", formatKVs(found))
}

// Put writes one key without guards and returns the revision.
func Put(t testing.TB, s store.Store, key, value string) int64 {
	t.Helper()
	res, err := s.Txn(context.Background(), store.Txn{Then: []store.Op{store.Put(key, []byte(value), 0)}})
	require.NoError(t, err)
	require.True(t, res.Succeeded)
	return res.Revision
}

func testAbsentKey(ctx context.Context, t *testing.T, s store.Store) {
	kv, rev, err := s.Get(ctx, "/absent")
	require.NoError(t, err)
	require.Nil(t, kv)
	require.Positive(t, rev)
}

func testRevisions(ctx context.Context, t *testing.T, s store.Store) {
	first := Put(t, s, "/k", "1")
	second := Put(t, s, "/k", "2")
	require.Greater(t, second, first)
	kv, _, err := s.Get(ctx, "/k")
	require.NoError(t, err)
	require.Equal(t, &store.KV{Key: "/k", Value: []byte("2"), CreateRevision: first, ModRevision: second, Version: 2}, kv)

	res, err := s.Txn(ctx, store.Txn{Then: []store.Op{store.Delete("/k"), store.Delete("/absent")}})
	require.NoError(t, err)
	require.True(t, res.Succeeded)
	recreated := Put(t, s, "/k", "3")
	kv, _, err = s.Get(ctx, "/k")
	require.NoError(t, err)
	require.Equal(t, recreated, kv.CreateRevision, "a recreated key has a new create revision")
	require.EqualValues(t, 1, kv.Version)
}

func testGuards(ctx context.Context, t *testing.T, s store.Store) {
	lease, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	res, err := s.Txn(ctx, store.Txn{Then: []store.Op{store.Put("/k", []byte("1"), lease)}})
	require.NoError(t, err)
	rev := res.Revision
	cases := []struct {
		name  string
		guard store.Guard
		holds bool
	}{
		{"absent, of a present key", store.Absent("/k"), false},
		{"absent, of an absent key", store.Absent("/other"), true},
		{"created at its revision", store.CreatedAt("/k", rev), true},
		{"created at another revision", store.CreatedAt("/k", rev-1), false},
		{"modified at its revision", store.ModifiedAt("/k", rev), true},
		{"modified at another revision", store.ModifiedAt("/k", rev+1), false},
		{"of its lease", store.Guard{Key: "/k", Target: store.GuardLease, Equal: int64(lease)}, true},
		{"of no lease", store.Guard{Key: "/k", Target: store.GuardLease}, false},
	}
	for _, c := range cases {
		res, err := s.Txn(ctx, store.Txn{
			Guards: []store.Guard{c.guard},
			Then:   []store.Op{store.GetOp("/k"), store.GetOp("/none")},
			Else:   []store.Op{store.GetOp("/k")},
		})
		require.NoError(t, err, c.name)
		require.Equal(t, c.holds, res.Succeeded, c.name)
		require.Equal(t, []byte("1"), res.Gets[0].Value, c.name)
	}
	res, err = s.Txn(ctx, store.Txn{
		Guards: []store.Guard{store.CreatedAt("/k", rev), store.Absent("/k")},
		Then:   []store.Op{store.Put("/both", nil, 0)},
	})
	require.NoError(t, err)
	require.False(t, res.Succeeded, "all guards must hold")
	kv, _, err := s.Get(ctx, "/both")
	require.NoError(t, err)
	require.Nil(t, kv)
}

func testTxnReads(ctx context.Context, t *testing.T, s store.Store) {
	Put(t, s, "/a", "old")
	res, err := s.Txn(ctx, store.Txn{Then: []store.Op{
		store.GetOp("/a"),
		store.Put("/a", []byte("new"), 0),
		store.GetOp("/absent"),
	}})
	require.NoError(t, err)
	require.Len(t, res.Gets, 2)
	require.Equal(t, []byte("old"), res.Gets[0].Value)
	require.Nil(t, res.Gets[1])
}

func testInvalid(ctx context.Context, t *testing.T, s store.Store) {
	var tooMany []store.Op
	for i := range 200 {
		tooMany = append(tooMany, store.Put(fmt.Sprintf("/many/%d", i), nil, 0))
	}
	for name, ops := range map[string][]store.Op{
		"one key twice":       {store.Put("/k", []byte("1"), 0), store.Put("/k", []byte("2"), 0)},
		"too many operations": tooMany,
	} {
		_, err := s.Txn(ctx, store.Txn{Then: ops})
		requireStoreError(t, err, store.Invalid, store.Refused, name)
	}
	res, err := s.Range(ctx, "/", store.RangeOptions{})
	require.NoError(t, err)
	require.Empty(t, res.KVs)
}

func testRange(ctx context.Context, t *testing.T, s store.Store) {
	Put(t, s, "/p", "outside")
	for _, k := range []string{"c", "a", "b"} {
		Put(t, s, "/p/"+k, k)
	}
	rev := Put(t, s, "/q", "outside")
	Put(t, s, "/p/d", "d")
	_, err := s.Txn(ctx, store.Txn{Then: []store.Op{store.Delete("/p/a"), store.Put("/p/b", []byte("B"), 0)}})
	require.NoError(t, err)

	cases := []struct {
		name string
		opts store.RangeOptions
		want string
		more bool
	}{
		{"all", store.RangeOptions{}, "/p/b=B /p/c=c /p/d=d", false},
		{"first page", store.RangeOptions{Limit: 2}, "/p/b=B /p/c=c", true},
		{"next page", store.RangeOptions{Limit: 2, StartAfter: "/p/c"}, "/p/d=d", false},
		{"keys only", store.RangeOptions{KeysOnly: true}, "/p/b= /p/c= /p/d=", false},
		{"past", store.RangeOptions{Revision: rev}, "/p/a=a /p/b=b /p/c=c", false},
	}
	for _, c := range cases {
		res, err := s.Range(ctx, "/p/", c.opts)
		require.NoError(t, err, c.name)
		require.Equal(t, c.want, formatKVs(res.KVs), c.name)
		require.Equal(t, c.more, res.More, c.name)
		require.Greater(t, res.Revision, rev, c.name)
	}
}

func formatKVs(kvs []store.KV) string {
	out := ""
	for i, kv := range kvs {
		if i > 0 {
			out += " "
		}
		out += kv.Key + "=" + string(kv.Value)
	}
	return out
}

func testBinaryKey(ctx context.Context, t *testing.T, s store.Store) {
	checkRoundTrip(ctx, t, s, "/\x00\xff")
}

func testBinaryValue(ctx context.Context, t *testing.T, s store.Store) {
	checkRoundTrip(ctx, t, s, "/k")
}

func checkRoundTrip(ctx context.Context, t *testing.T, s store.Store, key string) {
	value := make([]byte, 256)
	for i := range value {
		value[i] = byte(i)
	}
	Put(t, s, key, string(value))
	kv, _, err := s.Get(ctx, key)
	require.NoError(t, err)
	require.Equal(t, value, kv.Value)
}

func testLeaseExpiry(ctx context.Context, t *testing.T, s store.Store) {
	lease, err := s.Grant(ctx, minLeaseTTL)
	require.NoError(t, err)
	res, err := s.Txn(ctx, store.Txn{Then: []store.Op{
		store.Put("/short", []byte("1"), lease),
		store.Put("/moved", []byte("1"), lease),
	}})
	require.NoError(t, err)
	Put(t, s, "/moved", "2") // a put without the lease detaches the key
	events := watch(ctx, t, s, "/", res.Revision+2)
	ev := events.next(t)
	require.Equal(t, store.EventDelete, ev.Type)
	require.Equal(t, "/short", ev.KV.Key)
	kv, _, err := s.Get(ctx, "/moved")
	require.NoError(t, err)
	require.NotNil(t, kv)
	_, err = s.KeepAlive(ctx, lease)
	requireStoreError(t, err, store.LeaseNotFound, store.Refused, "keepalive after expiry")
}

func testKeepAlive(ctx context.Context, t *testing.T, s store.Store) {
	lease, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	remaining, err := s.KeepAlive(ctx, lease)
	require.NoError(t, err)
	require.Equal(t, time.Minute, remaining)
}

func testRevoke(ctx context.Context, t *testing.T, s store.Store) {
	lease, err := s.Grant(ctx, time.Minute)
	require.NoError(t, err)
	_, err = s.Txn(ctx, store.Txn{Then: []store.Op{store.Put("/leased", nil, lease)}})
	require.NoError(t, err)
	kv, _, err := s.Get(ctx, "/leased")
	require.NoError(t, err)
	require.Equal(t, lease, kv.Lease)
	require.NoError(t, s.Revoke(ctx, lease))
	kv, _, err = s.Get(ctx, "/leased")
	require.NoError(t, err)
	require.Nil(t, kv)
	requireStoreError(t, s.Revoke(ctx, lease), store.LeaseNotFound, store.Refused, "revoked twice")
}

func testUnknownLease(ctx context.Context, t *testing.T, s store.Store) {
	_, err := s.Txn(ctx, store.Txn{Then: []store.Op{store.Put("/k", nil, 987654)}})
	requireStoreError(t, err, store.LeaseNotFound, store.Refused, "put")
	_, err = s.KeepAlive(ctx, 987654)
	requireStoreError(t, err, store.LeaseNotFound, store.Refused, "keepalive")
	kv, _, err := s.Get(ctx, "/k")
	require.NoError(t, err)
	require.Nil(t, kv)
}

func testWatchFrom(ctx context.Context, t *testing.T, s store.Store) {
	Put(t, s, "/w/a", "before")
	from := Put(t, s, "/w/a", "1")
	Put(t, s, "/other", "x")
	Put(t, s, "/w/b", "2")
	events := watch(ctx, t, s, "/w/", from)
	_, err := s.Txn(ctx, store.Txn{Then: []store.Op{store.Delete("/w/a")}})
	require.NoError(t, err)

	a, b, deleted := events.next(t), events.next(t), events.next(t)
	require.Equal(t, "/w/a=1 /w/b=2", formatKVs([]store.KV{a.KV, b.KV}))
	require.Equal(t, from, a.KV.ModRevision)
	require.Equal(t, store.EventDelete, deleted.Type)
	require.Equal(t, "/w/a", deleted.KV.Key)
	require.Greater(t, deleted.KV.ModRevision, b.KV.ModRevision)
}

func testWatchFromNow(ctx context.Context, t *testing.T, s store.Store) {
	Put(t, s, "/w/a", "before")
	events := watch(ctx, t, s, "/w/", 0)
	Put(t, s, "/w/a", "after")
	require.Equal(t, "after", string(events.next(t).KV.Value))
}

func testWatchEnds(ctx context.Context, t *testing.T, s store.Store) {
	ctx, cancel := context.WithCancel(ctx)
	ch, err := s.Watch(ctx, "/", 0)
	require.NoError(t, err)
	cancel()
	for batch := range ch {
		require.Empty(t, batch.Events)
	}
}

// eventReader returns the events of a watch one at a time.
type eventReader struct {
	ctx     context.Context
	ch      <-chan store.WatchBatch
	pending []store.Event
}

func watch(ctx context.Context, t *testing.T, s store.Store, prefix string, from int64) *eventReader {
	t.Helper()
	ch, err := s.Watch(ctx, prefix, from)
	require.NoError(t, err)
	return &eventReader{ctx: ctx, ch: ch}
}

func (r *eventReader) next(t *testing.T) store.Event {
	t.Helper()
	for len(r.pending) == 0 {
		select {
		case batch, ok := <-r.ch:
			require.True(t, ok, "watch ended unexpectedly")
			require.NoError(t, batch.Err)
			r.pending = batch.Events
		case <-r.ctx.Done():
			require.FailNow(t, "timed out waiting for an event")
		}
	}
	ev := r.pending[0]
	r.pending = r.pending[1:]
	return ev
}

func requireStoreError(t *testing.T, err error, kind store.ErrorKind, outcome store.Outcome, what string) {
	t.Helper()
	storeErr, ok := errors.Into[*store.Error](err)
	require.True(t, ok, "%s: %v", what, err)
	require.Equal(t, kind, storeErr.Kind, what)
	require.Equal(t, outcome, storeErr.Outcome, what)
}

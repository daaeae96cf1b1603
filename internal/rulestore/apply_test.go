package rulestore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// TestConcurrentApplyConflict guards against lost updates: two operators edit the same
// revision and apply it concurrently on two nodes. If both were accepted, the later
// change would silently undo the earlier one.
func TestConcurrentApplyConflict(t *testing.T) {
	for round := range 20 {
		s := memstore.New(memstore.Options{})
		f := newFleet(t, s)
		a, b := New(Options{Store: s, Peers: f}), New(Options{Store: s, Peers: f})
		base := mustApply(t, a, 0, text("caixa"))
		requests := []ApplyRequest{
			{BaseRevision: base, Text: text("caixa", "ana"), Author: "Ana", WriteID: "1"},
			{BaseRevision: base, Text: text("caixa", "rui"), Author: "Rui", WriteID: "2"},
		}
		results, errs := make([]ApplyResult, 2), make([]error, 2)
		var both sync.WaitGroup
		for i, h := range []*Holder{a, b} {
			both.Go(func() { results[i], errs[i] = h.Apply(t.Context(), requests[i]) })
		}
		both.Wait()
		winner, loser := 0, 1
		if errs[0] != nil {
			winner, loser = 1, 0
		}
		require.NoError(t, errs[winner], round)
		var conflict *ConflictError
		require.ErrorAs(t, errs[loser], &conflict)
		require.Equal(t, ConflictError{Base: base, Revision: results[winner].Revision, Text: requests[winner].Text, Author: requests[winner].Author}, *conflict)

		// The rejected change is merged into the newest file and applied again.
		merged := requests[loser]
		merged.BaseRevision, merged.Text, merged.WriteID = conflict.Revision, conflict.Text+text("rest"), "3"
		_, err := a.Apply(t.Context(), merged)
		require.NoError(t, err)
		file, err := b.Get(t.Context(), 0)
		require.NoError(t, err)
		require.Equal(t, requests[winner].Text+text("rest"), file.Text)
	}
}

// TestApplyLostResponse loses the response of a write that took effect, or the write
// itself. Reporting either outcome wrongly would make the operator conflict with his
// own change, or rely on a change that was not made.
func TestApplyLostResponse(t *testing.T) {
	for name, faults := range map[string]memstore.Faults{
		"took effect":               {LoseAnswers: 1},
		"took effect, lost twice":   {LoseAnswers: 2},
		"did not take effect":       {DropWrites: 1},
		"dropped, then answer lost": {DropWrites: 1, LoseAnswers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := memstore.New(memstore.Options{})
				h := New(Options{Store: s, Peers: newFleet(t, s)})
				base := mustApply(t, h, 0, text("caixa"))
				s.SetFaults(faults)
				req := ApplyRequest{BaseRevision: base, Text: text("caixa", "ana"), Author: "Ana", WriteID: "w"}
				res, err := h.Apply(t.Context(), req)
				require.NoError(t, err)
				s.SetFaults(memstore.Faults{})
				requireInForceOnce(t, h, req, res.Revision)
			})
		})
	}
}

// TestApplyUnknownOutcomeResolvedByRepeat makes the store unavailable during a
// change. The operator is told that the outcome is unknown and repeats the change
// with the same write id on another node, after a further change.
func TestApplyUnknownOutcomeResolvedByRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		h := New(Options{Store: s, Peers: newFleet(t, s)})
		base := mustApply(t, h, 0, text("caixa"))
		s.SetHook(func(kind memstore.Kind, _ *store.Txn) memstore.Action {
			if kind == memstore.KindTxn {
				return memstore.LoseAnswer
			}
			return memstore.Refuse
		})
		req := ApplyRequest{BaseRevision: base, Text: text("caixa", "ana"), Author: "Ana", WriteID: "w"}
		_, err := h.Apply(t.Context(), req)
		var unknown *OutcomeUnknownError
		require.ErrorAs(t, err, &unknown)
		require.Equal(t, "w", unknown.WriteID)
		s.SetHook(nil)
		other := New(Options{Store: s, Peers: newFleet(t, s)})
		file, err := other.Get(t.Context(), 0)
		require.NoError(t, err)
		mustApply(t, other, file.Revision, text("caixa", "ana", "rui"))
		res, err := other.Apply(t.Context(), req)
		require.NoError(t, err)
		require.Equal(t, ApplyResult{Revision: file.Revision, Repeated: true}, res)
	})
}

func requireInForceOnce(t *testing.T, h *Holder, req ApplyRequest, revision int64) {
	t.Helper()
	require.Equal(t, revision, h.Revision())
	file, err := h.Get(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, File{Revision: revision, Text: req.Text}, file)
	history, err := h.History(t.Context(), 0)
	require.NoError(t, err)
	require.Len(t, history, 2, "accepted once")
	res, err := h.Apply(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, ApplyResult{Revision: revision, Repeated: true}, res)
}

func TestApplyRejectsInvalidRequests(t *testing.T) {
	s := memstore.New(memstore.Options{})
	h := New(Options{Store: s, Peers: newFleet(t, s)})
	good := ApplyRequest{Text: text("a"), Author: "Ana", WriteID: "w"}
	for name, change := range map[string]func(*ApplyRequest){
		"no author":   func(r *ApplyRequest) { r.Author = "" },
		"no write id": func(r *ApplyRequest) { r.WriteID = "" },
		"bad base":    func(r *ApplyRequest) { r.BaseRevision = -1 },
		"bad line":    func(r *ApplyRequest) { r.Text = "service" },
		"too large":   func(r *ApplyRequest) { r.Text = "#" + strings.Repeat(`"`, rules.MaxTextBytes-1) },
	} {
		req := good
		change(&req)
		_, err := h.Apply(t.Context(), req)
		require.Error(t, err, name)
		require.Nil(t, h.Current(), name)
	}
	s.SetFaults(memstore.Faults{Down: true})
	_, err := h.Apply(t.Context(), good)
	var failure *store.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, store.Refused, failure.Outcome)
}

// TestStoreRestoredFromBackup restores the store with an older state and lower
// revisions. A change accepted there would come into force on no node, since nodes
// don't go to lower revisions, although the operator was told that it was accepted.
func TestStoreRestoredFromBackup(t *testing.T) {
	s := memstore.New(memstore.Options{})
	h := New(Options{Store: s, Peers: newFleet(t, s)})
	last := int64(0)
	for i := range 5 {
		last = mustApply(t, h, last, text(fmt.Sprint("a", i)))
	}
	backup := memstore.New(memstore.Options{})
	first := mustApply(t, New(Options{Store: backup}), 0, text("a0"))
	h.opts.Store = backup
	var behind *StoreBehindError
	for _, base := range []int64{first, 0, last} {
		_, err := h.Apply(t.Context(), ApplyRequest{BaseRevision: base, Text: text("b"), Author: "Ana", WriteID: "w"})
		require.ErrorAs(t, err, &behind)
	}
	require.Equal(t, last, h.Revision())

	// If only the key was deleted, the file can be applied again, at a higher revision.
	h.opts.Store = s
	_, err := s.Txn(t.Context(), store.Txn{Then: []store.Op{store.Delete(store.RulesKey)}})
	require.NoError(t, err)
	_, err = h.Apply(t.Context(), ApplyRequest{BaseRevision: last, Text: text("b"), Author: "Ana", WriteID: "x"})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	again := mustApply(t, h, 0, text("b"))
	require.Greater(t, again, last)
	history, err := h.History(t.Context(), 1)
	require.NoError(t, err)
	require.Equal(t, again, history[0].Revision)
}

func TestGetAndHistory(t *testing.T) {
	s := memstore.New(memstore.Options{})
	h := New(Options{Store: s, Peers: newFleet(t, s)})
	ctx := context.Background()
	_, err := h.Get(ctx, 0)
	var missing *RevisionError
	require.ErrorAs(t, err, &missing)
	revision, texts := int64(0), map[int64]string{}
	for i := range 40 {
		content := text("a", fmt.Sprint("b", i), "c")
		revision = mustApply(t, h, revision, content)
		texts[revision] = content
	}
	for r, want := range texts {
		file, err := h.Get(ctx, r)
		require.NoError(t, err)
		require.Equal(t, File{Revision: r, Text: want}, file)
	}
	_, err = h.Get(ctx, revision+1)
	require.ErrorAs(t, err, &missing)
	versions, err := h.History(ctx, 3)
	require.NoError(t, err)
	require.Len(t, versions, 3)
	require.Equal(t, revision, versions[0].Revision)
	require.Equal(t, 1, versions[0].LinesAdded)
	require.Equal(t, 1, versions[0].LinesRemoved)
	require.Equal(t, versions[1].Revision, versions[0].Base)

	s.SetFaults(memstore.Faults{Down: true})
	file, err := h.Get(ctx, 0)
	require.NoError(t, err)
	require.True(t, file.FromMemory)
	_, err = h.Get(ctx, versions[1].Revision)
	require.Error(t, err)
}

func TestHistoryIsBounded(t *testing.T) {
	s := memstore.New(memstore.Options{})
	h := New(Options{Store: s, Peers: newFleet(t, s), Rand: rand.New(rand.NewPCG(1, 2))})
	revision := int64(0)
	for i := range MaxHistory + 200 {
		revision = mustApply(t, h, revision, text(fmt.Sprint("a", i)))
	}
	keys, _ := s.Size()
	require.Less(t, keys, MaxHistory+150)
	require.Greater(t, keys, MaxHistory)
}

// TestBytesPerChange measures the bytes a node receives for a one-line change of a file
// of 10,000 lines, the size that the system is designed for.
func TestBytesPerChange(t *testing.T) {
	const lines, changesPerDay, budget = 10_000, 3600, 6000
	s := memstore.New(memstore.Options{})
	h := New(Options{Store: s, Peers: newFleet(t, s)})
	var file []string
	for i := range lines {
		file = append(file, fmt.Sprintf("service name=service-%05d-with-a-name-of-usual-length # asked for by: somebody %d\n", i, i))
	}
	base := mustApply(t, h, 0, strings.Join(file, ""))
	file[lines/3] = "service name=changed # asked for by: somebody else\n"
	mustApply(t, h, base, strings.Join(file, ""))
	delta := proto.Size(h.FetchRules(base))
	whole := proto.Size(h.FetchRules(0))
	kv, _, err := s.Get(t.Context(), historyKey(base))
	require.NoError(t, err)
	perSecond := func(bytes int) float64 { return float64(bytes) * changesPerDay / (24 * 3600) }
	t.Logf("one line of %d changed: peer delta %d B (%.1f B/s), watched record %d B (%.1f B/s), whole file %d B (%.0f B/s)",
		lines, delta, perSecond(delta), len(kv.Value), perSecond(len(kv.Value)), whole, perSecond(whole))
	require.Less(t, perSecond(delta)+perSecond(len(kv.Value)), float64(budget)/100)
}

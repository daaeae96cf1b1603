package rulestore

import (
	"bytes"
	"context"
	"encoding/hex"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// maxRecentChanges is the number of changes by which a peer may be behind and still
// receive edits.
const maxRecentChanges = 64

// maxRecentChangeBytes bounds the edits of one change kept in memory.
const maxRecentChangeBytes = maxEditBytes

// recentChange is one change of the rules in force on this node.
type recentChange struct {
	from, to int64
	edits    []rules.Edit
}

// recentChanges are the latest changes, oldest first. Each starts at the revision that
// the previous one led to.
type recentChanges []recentChange

// appended returns the changes followed by one more. A change that is too large to
// keep clears them; peers that are behind it then get the complete file.
func (r recentChanges) appended(change recentChange) recentChanges {
	if editBytes(change.edits) > maxRecentChangeBytes {
		return nil
	}
	oldest := max(0, len(r)+1-maxRecentChanges)
	return append(slices.Clone(r[oldest:]), change)
}

// since concatenates the edits that lead from a revision to the newest.
func (r recentChanges) since(from int64) ([]rules.Edit, bool) {
	for i := range r {
		if r[i].from != from {
			continue
		}
		var edits []rules.Edit
		for _, s := range r[i:] {
			edits = append(edits, s.edits...)
		}
		return edits, true
	}
	return nil, false
}

// publish puts the set into force and records the change that led to it under one
// lock, so that FetchRules never sees one without the other. The caller holds
// adoptMu.
func (h *Holder) publish(o candidate, set *rules.Set) {
	before := h.Current()
	edits := o.edits
	if before != nil && (o.base != before.Revision || edits == nil) {
		edits = rules.Diff(before.Text, o.text)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current.Store(set)
	if before != nil {
		h.recent = h.recent.appended(recentChange{from: before.Revision, to: o.revision, edits: edits})
	}
}

// FetchRules answers a peer that has revision have in force. The response holds
// only the revision if the peer is up to date, the edits if they are known and less
// than half the size of the text, and the complete text otherwise.
func (h *Holder) FetchRules(have int64) *wirepb.FetchRulesResponse {
	h.mu.Lock()
	set := h.Current()
	edits, known := h.recent.since(have)
	h.mu.Unlock()
	if set == nil {
		return &wirepb.FetchRulesResponse{}
	}
	res := &wirepb.FetchRulesResponse{Revision: set.Revision}
	if have >= set.Revision {
		return res
	}
	sum := rules.Checksum(set.Text)
	if known && editBytes(edits) < len(set.Text)/2 {
		res.Delta = &wirepb.RulesDelta{FromRevision: have, ToRevision: set.Revision, Edits: toWire(edits), Sha256: sum[:]}
		return res
	}
	res.Text, res.Sha256 = set.Text, sum[:]
	return res
}

// fetchFromPeer fetches and adopts a peer's rules and reports the result to the state.
func (h *Holder) fetchFromPeer(ctx context.Context, node cluster.NodeID) {
	err := h.fetchAndAdopt(ctx, node)
	if err != nil {
		countFetch("failed")
		h.log.Warn("fetching the rules from a peer failed", "event", "rules_fetch_failed", "peer", node, "err", err)
	}
	h.handle(fetchDone{node: node, ok: err == nil})
}

func (h *Holder) fetchAndAdopt(ctx context.Context, node cluster.NodeID) error {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	have := h.Current()
	revision := int64(0)
	text := ""
	if have != nil {
		revision, text = have.Revision, have.Text
	}
	res, err := h.opts.Peers.FetchRules(ctx, node, revision)
	if err != nil {
		return &PeerError{Node: node, Err: err}
	}
	o, err := decodeResponse(res, revision, text)
	if err != nil {
		return &PeerError{Node: node, Err: err}
	}
	o.source = "peer"
	if o.revision <= revision {
		// The peer restarted, or this node got newer rules since the datagram.
		countFetch("current")
		return &PeerError{Node: node, Err: &RevisionError{Revision: o.revision, Reason: "the peer has nothing newer"}}
	}
	return h.adopt(o)
}

// decodeResponse verifies a peer's response by its revision and checksum. Otherwise
// edits of another text would silently produce a file that was never accepted.
func decodeResponse(res *wirepb.FetchRulesResponse, have int64, text string) (candidate, error) {
	o := candidate{revision: res.GetRevision()}
	sum := res.GetSha256()
	switch delta := res.GetDelta(); {
	case delta != nil:
		if delta.GetFromRevision() != have || delta.GetToRevision() != o.revision {
			return candidate{}, &RevisionError{Revision: o.revision, Reason: "the peer's edits lead from or to another revision"}
		}
		o.base, o.edits = have, fromWire(delta.GetEdits())
		edited, err := rules.ApplyEdits(text, o.edits)
		if err != nil {
			return candidate{}, err
		}
		o.text, sum = edited, delta.GetSha256()
		countFetch("delta")
	case o.revision <= have:
		return o, nil
	default:
		o.text = res.GetText()
		countFetch("text")
	}
	want := rules.Checksum(o.text)
	if !bytes.Equal(want[:], sum) {
		return candidate{}, &ChecksumError{Source: "a peer, sum " + hex.EncodeToString(sum), Revision: o.revision}
	}
	return o, nil
}

func toWire(edits []rules.Edit) []*wirepb.LineEdit {
	out := make([]*wirepb.LineEdit, len(edits))
	for i, e := range edits {
		out[i] = &wirepb.LineEdit{At: int32(e.At), Removed: int32(e.Removed), Added: e.Added}
	}
	return out
}

func fromWire(edits []*wirepb.LineEdit) []rules.Edit {
	out := make([]rules.Edit, len(edits))
	for i, e := range edits {
		out[i] = rules.Edit{At: int(e.GetAt()), Removed: int(e.GetRemoved()), Added: e.GetAdded()}
	}
	return out
}

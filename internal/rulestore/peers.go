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

// maxRecentSteps is how many changes back a peer may be and still get edits.
const maxRecentSteps = 64

// maxStepBytes bounds the edits of one step kept in memory.
const maxStepBytes = maxEditBytes

// recentStep is one change of the text in force on this node.
type recentStep struct {
	from, to int64
	edits    []rules.Edit
}

// recentSteps are the newest changes, oldest first, each starting where the one
// before it ended.
type recentSteps []recentStep

// with returns the steps and one more; a large one, which peers get as a whole
// file, starts them anew.
func (r recentSteps) with(step recentStep) recentSteps {
	if editBytes(step.edits) > maxStepBytes {
		return nil
	}
	oldest := max(0, len(r)+1-maxRecentSteps)
	return append(slices.Clone(r[oldest:]), step)
}

// since joins the edits that lead from a revision to the newest.
func (r recentSteps) since(from int64) ([]rules.Edit, bool) {
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

// publish puts the set into force and notes the step that leads to it, together,
// so that FetchRules never sees one without the other; adopting is held.
func (h *Holder) publish(o offer, set *rules.Set) {
	before := h.Current()
	edits := o.edits
	if before != nil && (o.base != before.Revision || edits == nil) {
		edits = rules.Diff(before.Text, o.text)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current.Store(set)
	if before != nil {
		h.recent = h.recent.with(recentStep{from: before.Revision, to: o.revision, edits: edits})
	}
}

// FetchRules answers a peer that has revision have in force: nothing but the
// revision if that is as new, else edits if they are known and small, else the text.
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

// fetch takes the rules from a peer.
func (h *Holder) fetch(ctx context.Context, node cluster.NodeID) {
	err := h.fetchFrom(ctx, node)
	if err != nil {
		countFetch("failed")
		h.log.Warn("rules fetch failed", "event", "rules_fetch_failed", "peer", node, "err", err)
	}
	h.post(peerAnswered{node: node, ok: err == nil})
}

func (h *Holder) fetchFrom(ctx context.Context, node cluster.NodeID) error {
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
	o, err := openAnswer(res, revision, text)
	if err != nil {
		return &PeerError{Node: node, Err: err}
	}
	o.source = "peer"
	if o.revision <= revision {
		// The peer restarted, or its datagram was overtaken.
		countFetch("current")
		return &PeerError{Node: node, Err: &RevisionError{Revision: o.revision, Reason: "the peer has nothing newer"}}
	}
	return h.offer(o)
}

// openAnswer checks a peer's answer against its revision and checksum. Without
// that, edits meant for another text would silently make a file nobody accepted.
func openAnswer(res *wirepb.FetchRulesResponse, have int64, text string) (offer, error) {
	o := offer{revision: res.GetRevision()}
	sum := res.GetSha256()
	switch delta := res.GetDelta(); {
	case delta != nil:
		if delta.GetFromRevision() != have || delta.GetToRevision() != o.revision {
			return offer{}, &RevisionError{Revision: o.revision, Reason: "the edits are for other revisions"}
		}
		o.base, o.edits = have, fromWire(delta.GetEdits())
		edited, err := rules.ApplyEdits(text, o.edits)
		if err != nil {
			return offer{}, err
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
		return offer{}, &ChecksumError{Source: "a peer, sum " + hex.EncodeToString(sum), Revision: o.revision}
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

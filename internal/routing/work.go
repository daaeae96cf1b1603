package routing

import (
	"math"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

// assignment is what a choice added to the work of its replica. It is guarded by the entry's lock.
type assignment struct {
	prompt, output int
	// read is true once the prompt has been prefilled, ended once the request has ended.
	read, ended bool
}

// assign adds a request to this node's work on the replica. The caller holds the entry's lock.
func (e *entry) assign(req Request) *assignment {
	e.work.Add(req.PromptTokens, req.OutputTokens)
	return &assignment{prompt: req.PromptTokens, output: req.OutputTokens}
}

// read records that the prompt of an assignment has been prefilled. The caller holds the entry's
// lock.
func (e *entry) read(a *assignment) (first bool) {
	if a == nil || a.read {
		return false
	}
	a.read = true
	e.work.Read(a.prompt)
	return true
}

// unassign removes a request from this node's work. The caller holds the entry's lock.
func (e *entry) unassign(a *assignment) {
	if a == nil || a.ended {
		return
	}
	e.read(a)
	a.ended = true
	e.work.End(a.output)
}

// RecordFirstPiece records the first piece of the chosen replica's answer, took after the request
// was sent: its prompt has been prefilled. Only the first call for a choice counts.
func (c Choice) RecordFirstPiece(took time.Duration) {
	if c.entry == nil {
		return
	}
	c.entry.lock.Lock()
	first := c.entry.read(c.assigned)
	c.entry.lock.Unlock()
	if first && c.Predicted > 0 {
		c.accuracy.record(c.Predicted, took)
	}
}

const (
	// peerUnreadExpiry is the age from which another node's unread tokens are ignored. They are
	// prefilled in less on a replica that is on time.
	peerUnreadExpiry = 500 * time.Millisecond
	// maxReportedUnread and maxReportedRequests bound what one node is taken to have on a replica.
	maxReportedUnread   = 1 << 16
	maxReportedRequests = 256
)

// totalWork estimates the work of all nodes on the replica. The caller holds the entry's lock.
func (e *entry) totalWork(now time.Time, o Options) enginemodel.Work {
	remote := int(math.Round(e.remoteLoad(now, o)))
	return enginemodel.Work{
		Requests:     e.outstanding + remote,
		UnreadTokens: e.work.UnreadTokens + e.peerUnread(now, o.PeerExpiry),
		OutputTokens: e.work.OutputTokens + remote*e.meanOutput(),
	}
}

// loadKnown reports whether the replica's load was reported recently, by itself or by another node.
func (e *entry) loadKnown(now time.Time, o Options) bool {
	return !e.report.receivedAt.IsZero() && now.Sub(e.report.receivedAt) < o.ReportExpiry || e.peerTotal(now, o.PeerExpiry) > 0
}

func (e *entry) meanOutput() int {
	if e.engine == nil {
		return 0
	}
	return e.engine.MeanOutputTokens / 2 // on average half of the output is generated
}

// peerUnread returns the unread tokens that other nodes reported.
func (e *entry) peerUnread(now time.Time, expiry time.Duration) (total int) {
	expiry = min(expiry, peerUnreadExpiry)
	for _, p := range e.peers {
		if now.Sub(p.at) < expiry {
			total += p.unread
		}
	}
	return total
}

// ObservePeerWork records another node's work on the replica.
func (t *Table) ObservePeerWork(node cluster.NodeID, id cluster.ReplicaID, work enginemodel.Work, now time.Time) {
	t.withEntry(id, func(e *entry) {
		e.setPeer(peerCount{node: node, n: min(max(work.Requests, 0), maxReportedRequests), unread: min(max(work.UnreadTokens, 0), maxReportedUnread), at: now}, t.opts.PeerExpiry)
	})
}

// OwnWork returns this node's work on each replica that has any.
func (t *Table) OwnWork() map[cluster.ReplicaID]enginemodel.Work {
	out := make(map[cluster.ReplicaID]enginemodel.Work)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			if e.outstanding > 0 {
				work := e.work
				work.Requests = e.outstanding
				out[id] = work
			}
		}
		s.mu.Unlock()
	}
	return out
}

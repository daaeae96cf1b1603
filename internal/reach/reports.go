package reach

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// State is what a node says of its path to the backend servers.
type State uint8

// States of a path.
const (
	// Unknown is the state of a node that said nothing, or too long ago.
	Unknown State = iota
	// None is that of a node that reaches no server.
	None
	// Some is that of a node that reaches servers.
	Some
)

// MaxRoom is the room of a node that runs no call.
const MaxRoom = 8

// Report is a node's own account of its path to the backend servers.
type Report struct {
	State State
	// Room is the share of its room that a node in state Some has left, from 0 to MaxRoom.
	Room int
	// SaidAt is when the node said it, by this node's clock.
	SaidAt time.Time
}

const (
	// reportTTL is how long a report counts.
	reportTTL = 5 * time.Second
	// maxClockLead is how far another node's clock may be ahead of this one's.
	maxClockLead = time.Second
	// maxRelayed is the number of other nodes' reports that a datagram passes on.
	maxRelayed = 4
)

// MalformedError is a datagram's report that cannot be used.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed report of a path: " + e.Reason }

// Encode returns the report as sent in datagrams.
func (r Report) Encode() uint32 {
	switch r.State {
	case None:
		return 1
	case Some:
		return 2 + uint32(min(max(r.Room, 0), MaxRoom))
	}
	return 0
}

// decode reverses Encode; 0 is an unknown state.
func decode(value uint32, saidAt time.Time) (Report, error) {
	switch {
	case value == 0:
		return Report{}, nil
	case value == 1:
		return Report{State: None, SaidAt: saidAt}, nil
	case value <= 2+MaxRoom:
		return Report{State: Some, Room: int(value - 2), SaidAt: saidAt}, nil
	}
	return Report{}, &MalformedError{Reason: "value out of range"}
}

// at returns the report as it counts at a time: an old one says nothing.
func (r Report) at(now time.Time) Report {
	if now.Sub(r.SaidAt) >= reportTTL {
		return Report{}
	}
	return r
}

// Relayed holds the reports that other nodes made to one node itself, as in a datagram.
type Relayed struct{ IDs, Reports, AgesMs []uint32 }

// Reports holds what other nodes say of their paths. All methods are safe for concurrent use.
type Reports struct {
	mu   sync.Mutex
	self uint32
	// direct holds by node what it said itself; latest the newest report, passed on or not.
	direct, latest map[uint32]Report
	sweptAt        time.Time
}

// NewReports returns an empty Reports of a node.
func NewReports(self cluster.NodeID) *Reports {
	return &Reports{self: nodeHash(self), direct: make(map[uint32]Report), latest: make(map[uint32]Report)}
}

// nodeHash identifies a node in four bytes.
func nodeHash(id cluster.NodeID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Observe records a datagram's reports: the sender's own and those that it passes on. The sender
// sent it at sentAt by its own clock. It fails with a *MalformedError, and then records nothing.
func (r *Reports) Observe(sender cluster.NodeID, own uint32, relayed Relayed, sentAt, now time.Time) error {
	if sentAt.Sub(now) > maxClockLead {
		return &MalformedError{Reason: "sent in the future"}
	}
	saidAt := sentAt
	if saidAt.After(now) {
		saidAt = now
	}
	report, err := decode(own, saidAt)
	if err != nil {
		return err
	}
	others, err := relayed.decode(saidAt)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	r.record(r.direct, nodeHash(sender), report, now)
	r.record(r.latest, nodeHash(sender), report, now)
	for id, other := range others {
		r.record(r.latest, id, other, now)
	}
	return nil
}

// decode returns the reports by node.
func (l Relayed) decode(sentAt time.Time) (map[uint32]Report, error) {
	if len(l.IDs) != len(l.Reports) || len(l.IDs) != len(l.AgesMs) {
		return nil, &MalformedError{Reason: "lists of unequal length"}
	}
	out := make(map[uint32]Report, len(l.IDs))
	for i, id := range l.IDs {
		report, err := decode(l.Reports[i], sentAt.Add(-time.Duration(l.AgesMs[i])*time.Millisecond))
		if err != nil {
			return nil, err
		}
		out[id] = report
	}
	return out, nil
}

// record keeps a report that is newer than the one known. The caller holds r.mu.
func (r *Reports) record(known map[uint32]Report, id uint32, report Report, now time.Time) {
	if id != r.self && report.at(now).State != Unknown && report.SaidAt.After(known[id].SaidAt) {
		known[id] = report
	}
}

// sweep removes old reports once per lifetime of a report. The caller holds r.mu.
func (r *Reports) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < reportTTL {
		return
	}
	r.sweptAt = now
	for _, known := range []map[uint32]Report{r.direct, r.latest} {
		for id, report := range known {
			if now.Sub(report.SaidAt) >= reportTTL {
				delete(known, id)
			}
		}
	}
}

// Withdraw records that a node just did not do as it had said.
func (r *Reports) Withdraw(node cluster.NodeID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.direct, nodeHash(node))
	r.latest[nodeHash(node)] = Report{SaidAt: now}
}

// Of returns what a node says of its path.
func (r *Reports) Of(node cluster.NodeID, now time.Time) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latest[nodeHash(node)].at(now)
}

// Relay returns the newest of the reports that other nodes made to this one, to be passed on. What
// was passed on once is not passed on again, so that no report outlives its age.
func (r *Reports) Relay(now time.Time) (out Relayed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]uint32, 0, len(r.direct))
	for id, report := range r.direct {
		if report.at(now).State != Unknown {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b uint32) int { return r.direct[b].SaidAt.Compare(r.direct[a].SaidAt) })
	for _, id := range ids[:min(len(ids), maxRelayed)] {
		report := r.direct[id]
		out.IDs = append(out.IDs, id)
		out.Reports = append(out.Reports, report.Encode())
		out.AgesMs = append(out.AgesMs, uint32(now.Sub(report.SaidAt).Milliseconds()))
	}
	return out
}

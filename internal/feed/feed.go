// Package feed streams one node's copy of the store to other nodes, so that the load
// on the store grows with the few nodes that watch it and not with all nodes.
//
// A node that follows a feed also serves one. A feed accepts few followers and redirects
// further ones to those that it has, so that the nodes form a tree and no node's load grows
// with their number.
//
// A follower that changes its feed names the revision that its own copy has reached, and receives
// only the changes since. When a feed is lost, everything below it changes feeds at once; sending
// each of these nodes all entries would take longer than the time in which they must be up to
// date.
package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Timing holds the intervals of feeds. They follow from the time within which a change of the
// store must be in force on every node, even on one whose feed is cut off from the store.
type Timing struct {
	// Heartbeat is how often a feed sends a batch without events while nothing changes.
	Heartbeat time.Duration
	// A follower gives up a feed that has sent nothing for Silence, and a feed stops serving once
	// the store has not confirmed its copy for MaxAge. One of the feeds that the others depend on
	// then watches the store itself, and gives up its own feed sooner, after SeedMaxAge.
	Silence, MaxAge, SeedMaxAge time.Duration
	// WatchTimeout is the long-poll timeout of the store watch on a node that feeds others. Each
	// answer of the watch, even an empty one, confirms the node's copy.
	WatchTimeout time.Duration
	// Fallback is how long a node without followers tries to find a feed before it watches the
	// store itself. Most nodes have none.
	Fallback time.Duration
}

// NewTiming returns the intervals for changes that must be in force within the given time.
func NewTiming(inForceWithin time.Duration) Timing {
	share := func(part float64) time.Duration { return time.Duration(part * float64(inForceWithin)) }
	return Timing{Heartbeat: share(0.1), Silence: share(0.35), MaxAge: share(0.5), SeedMaxAge: share(0.3), WatchTimeout: share(0.2), Fallback: share(0.2)}
}

const (
	// A feed that has no copy yet, as when all nodes start, keeps new followers for up to
	// firstCopyTimeout, so that the tree has formed when the copy arrives.
	firstCopyTimeout  = 1200 * time.Millisecond
	firstCopyInterval = 20 * time.Millisecond
)

// HandlerOptions configure the connect handler of a Server. Batches are compressed once and not
// per message.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}
}

// Source is the copy of the store that a Server streams.
type Source interface {
	// Follow returns the changes made after the revision and a channel of those made later,
	// until ctx ends. It returns nil if the source does not know all changes since. The
	// channel is closed when its reader falls behind.
	Follow(ctx context.Context, since int64) (*Batch, <-chan *Batch)
	// Snapshot returns all entries at some revision of the last seconds.
	Snapshot() *Batch
	// LastContact returns when the store last confirmed the copy; zero if there is none.
	LastContact() time.Time
	// MarkRequested records that a follower uses the copy, so that the source keeps it fresh.
	MarkRequested()
}

// Server streams a Source to followers; it implements wirepbconnect.FeedServiceHandler.
type Server struct {
	Source    Source
	Timing    Timing
	followers followerSet
}

// Follow streams the entries and their changes for as long as the source is fresh.
func (s *Server) Follow(ctx context.Context, req *connect.Request[wirepb.FollowRequest], stream *connect.ServerStream[wirepb.FollowResponse]) error {
	s.Source.MarkRequested()
	f := follow{Server: s, stream: stream, packed: req.Msg.GetAcceptsPacked(), entry: &followerEntry{}}
	if addr := req.Msg.GetAddr(); addr != "" {
		entry, redirect := s.followers.add(addr, req.Msg.GetZone())
		if entry == nil {
			return stream.Send(&wirepb.FollowResponse{Redirect: redirect})
		}
		defer s.followers.remove(addr, entry)
		f.entry = entry
	}
	if err := f.waitUntilFresh(ctx); err != nil {
		return err
	}
	changes, err := f.begin(ctx, req.Msg.GetRevision())
	if err != nil {
		return err
	}
	return f.forward(ctx, changes)
}

func (s *Server) fresh() bool { return time.Since(s.Source.LastContact()) < s.Timing.MaxAge }

// follow is one follower's stream.
type follow struct {
	*Server
	stream *connect.ServerStream[wirepb.FollowResponse]
	// packed is set if the follower accepts packed batches.
	packed bool
	entry  *followerEntry
	// revision is up to which the follower knows all changes.
	revision int64
}

// waitUntilFresh waits for the source's first copy. A source that had one and is stale may
// have lost the store, and its follower had better follow another feed at once.
func (f *follow) waitUntilFresh(ctx context.Context) error {
	deadline := time.Now().Add(firstCopyTimeout)
	nextHeartbeat := time.Now()
	for !f.fresh() {
		now := time.Now()
		if !f.Source.LastContact().IsZero() || now.After(deadline) {
			return connect.NewError(connect.CodeUnavailable, errStale)
		}
		if f.packed && !now.Before(nextHeartbeat) {
			nextHeartbeat = now.Add(f.Timing.Heartbeat)
			if err := f.stream.Send(&wirepb.FollowResponse{Waiting: true}); err != nil {
				return err
			}
		}
		if !clock.Pause(ctx, firstCopyInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// begin sends the changes since the revision, or all entries and the changes since, and returns
// the channel of later changes.
func (f *follow) begin(ctx context.Context, since int64) (<-chan *Batch, error) {
	if f.packed && since > 0 {
		if missed, changes := f.Source.Follow(ctx, since); missed != nil {
			f.revision = since
			return changes, f.send(missed, true)
		}
	}
	snapshot := f.Source.Snapshot()
	if err := f.send(snapshot, false); err != nil {
		return nil, err
	}
	missed, changes := f.Source.Follow(ctx, snapshot.Revision)
	if missed == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errBehind)
	}
	if missed.Revision > f.revision {
		return changes, f.send(missed, false)
	}
	return changes, nil
}

// forward sends the changes as they come, and heartbeats while there are none.
func (f *follow) forward(ctx context.Context, changes <-chan *Batch) error {
	heartbeat := time.NewTicker(f.Timing.Heartbeat)
	defer heartbeat.Stop()
	for {
		var next *Batch
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.entry.moved:
			return f.stream.Send(&wirepb.FollowResponse{Redirect: f.entry.siblings})
		case <-heartbeat.C:
			if !f.fresh() {
				return connect.NewError(connect.CodeUnavailable, errStale)
			}
			next = NewBatch(store.WatchBatch{Revision: f.revision})
		case batch, ok := <-changes:
			if !ok {
				return connect.NewError(connect.CodeUnavailable, errBehind)
			}
			next = batch
			heartbeat.Reset(f.Timing.Heartbeat)
		}
		if err := f.send(next, false); err != nil {
			return err
		}
	}
}

// send sends the batch with the age of the copy, so that a follower's own followers learn
// how old it is.
func (f *follow) send(batch *Batch, continues bool) error {
	msg := encode(batch, f.packed)
	msg.Continues = continues
	msg.SourceAgeMs = max(time.Since(f.Source.LastContact()), 0).Milliseconds() + 1 // rounded up
	f.revision = max(f.revision, batch.Revision)
	return f.stream.Send(msg)
}

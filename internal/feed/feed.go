// Package feed passes one node's copy of the store on to other nodes, so that the
// calls to the store grow with the few nodes that watch it and not with all.
package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Times of a feed.
const (
	// beatEvery is how often a feed says that it is there while nothing changes.
	beatEvery = 200 * time.Millisecond
	// silentAfter is the silence after which a follower watches the store itself, and
	// staleAfter the age at which a feed's own copy may be old. A configuration must
	// be in force within 2 s, also on a node whose feed is cut off from the store.
	silentAfter = 700 * time.Millisecond
	staleAfter  = time.Second
	// WatchTimeout is how long a node that feeds others has the store hold its watch
	// while nothing changes: its answer is what keeps the copy fresh.
	WatchTimeout = 400 * time.Millisecond
)

// Source is a node's own copy of the store.
type Source interface {
	// Follow returns all entries below the prefixes, and a channel that gets each
	// change after them until ctx ends.
	Follow(ctx context.Context, prefixes []string) (store.WatchBatch, <-chan store.WatchBatch)
	// HeardAt is when the store last confirmed the copy.
	HeardAt() time.Time
	// Want says that a node asks for the copy: it is to be kept fresh.
	Want()
}

// Server serves a copy; it implements wirepbconnect.FeedServiceHandler.
type Server struct{ Source Source }

// Follow sends the copy and its changes while it is fresh.
func (s *Server) Follow(ctx context.Context, req *connect.Request[wirepb.FollowRequest], stream *connect.ServerStream[wirepb.FollowResponse]) error {
	s.Source.Want()
	if !s.fresh() {
		return connect.NewError(connect.CodeUnavailable, errStale)
	}
	first, changes := s.Source.Follow(ctx, req.Msg.GetPrefixes())
	if err := stream.Send(encode(first)); err != nil {
		return err
	}
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	revision := first.Revision
	for {
		next := store.WatchBatch{Revision: revision}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beat.C:
			s.Source.Want()
			if !s.fresh() {
				return connect.NewError(connect.CodeUnavailable, errStale)
			}
		case batch, ok := <-changes:
			if !ok {
				return connect.NewError(connect.CodeUnavailable, errBehind)
			}
			next = batch
		}
		revision = next.Revision
		if err := stream.Send(encode(next)); err != nil {
			return err
		}
	}
}

func (s *Server) fresh() bool { return time.Since(s.Source.HeardAt()) < staleAfter }

func encode(batch store.WatchBatch) *wirepb.FollowResponse {
	out := &wirepb.FollowResponse{Revision: batch.Revision}
	for _, ev := range batch.Events {
		out.Entries = append(out.Entries, &wirepb.FeedEntry{Key: ev.KV.Key, Value: ev.KV.Value, ModRevision: ev.KV.ModRevision,
			CreateRevision: ev.KV.CreateRevision, Deleted: ev.Type == store.EventDelete})
	}
	return out
}

func decode(msg *wirepb.FollowResponse) store.WatchBatch {
	batch := store.WatchBatch{Revision: msg.GetRevision()}
	for _, e := range msg.GetEntries() {
		ev := store.Event{KV: store.KV{Key: e.GetKey(), Value: e.GetValue(), ModRevision: e.GetModRevision(), CreateRevision: e.GetCreateRevision()}}
		if e.GetDeleted() {
			ev.Type = store.EventDelete
		}
		batch.Events = append(batch.Events, ev)
	}
	return batch
}

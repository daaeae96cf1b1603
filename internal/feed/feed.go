// Package feed streams one node's copy of the store to other nodes, so that the load
// on the store grows with the few nodes that watch it and not with all nodes.
//
// A node that follows a feed also serves one. A feed accepts few followers and redirects
// further ones to those that it has, so that the nodes form a tree and no node's load grows
// with their number.
package feed

import (
	"compress/gzip"
	"context"
	"io"
	"time"

	"connectrpc.com/connect"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Timing of a feed.
const (
	// heartbeatInterval is how long a feed has nothing to send before it repeats the
	// revision and the age of its copy.
	heartbeatInterval = 200 * time.Millisecond
	// A follower gives up a feed that has sent nothing for silenceTimeout, and a feed stops
	// serving once the store has not confirmed its copy for maxSourceAge.
	silenceTimeout = 700 * time.Millisecond
	maxSourceAge   = time.Second
	// WatchTimeout is the long-poll timeout of the store watch on a node that feeds
	// others. Each answer of the watch, even an empty one, confirms the node's copy.
	WatchTimeout = 400 * time.Millisecond
	// A feed that has no copy yet, as when all nodes start, lets a new follower wait for
	// up to firstCopyTimeout, which is shorter than silenceTimeout.
	firstCopyTimeout  = 500 * time.Millisecond
	firstCopyInterval = 20 * time.Millisecond
)

// minCompressedBytes is the size from which messages are compressed. A single change is not
// worth the processor time.
const minCompressedBytes = 1 << 10

// HandlerOptions configure the connect handler of a Server: compression for speed, as a copy of
// the whole store goes to many followers at once.
func HandlerOptions() []connect.HandlerOption {
	newWriter := func() connect.Compressor {
		w, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
		return w
	}
	return []connect.HandlerOption{
		connect.WithCompression("gzip", func() connect.Decompressor { return &gzip.Reader{} }, newWriter),
		connect.WithCompressMinBytes(minCompressedBytes),
	}
}

// Source is the copy of the store that a Server streams.
type Source interface {
	// Follow returns all entries below the prefixes and a channel of the changes made
	// after them until ctx ends. The channel is closed when its reader falls behind.
	Follow(ctx context.Context, prefixes []string) (store.WatchBatch, <-chan store.WatchBatch)
	// LastContact returns when the store last confirmed the copy.
	LastContact() time.Time
	// MarkRequested records that a follower uses the copy, so that the source keeps it fresh.
	MarkRequested()
}

// Server streams a Source to followers; it implements wirepbconnect.FeedServiceHandler.
type Server struct {
	Source    Source
	followers followerSet
}

// Follow streams the entries and their changes for as long as the source is fresh.
func (s *Server) Follow(ctx context.Context, req *connect.Request[wirepb.FollowRequest], stream *connect.ServerStream[wirepb.FollowResponse]) error {
	s.Source.MarkRequested()
	if addr := req.Msg.GetAddr(); addr != "" {
		if redirect := s.followers.add(addr); redirect != nil {
			return stream.Send(&wirepb.FollowResponse{Redirect: redirect})
		}
		defer s.followers.remove(addr)
	}
	if !s.waitUntilFresh(ctx) {
		return connect.NewError(connect.CodeUnavailable, errStale)
	}
	first, changes := s.Source.Follow(ctx, req.Msg.GetPrefixes())
	if err := s.send(stream, first); err != nil {
		return err
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	revision := first.Revision
	for {
		next := store.WatchBatch{Revision: revision}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-heartbeat.C:
			s.Source.MarkRequested()
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
		if err := s.send(stream, next); err != nil {
			return err
		}
		heartbeat.Reset(heartbeatInterval)
	}
}

// send sends the batch with the age of the copy, so that a follower's own followers learn
// how old it is.
func (s *Server) send(stream *connect.ServerStream[wirepb.FollowResponse], batch store.WatchBatch) error {
	msg := encode(batch)
	msg.SourceAgeMs = max(time.Since(s.Source.LastContact()), 0).Milliseconds()
	return stream.Send(msg)
}

func (s *Server) fresh() bool { return time.Since(s.Source.LastContact()) < maxSourceAge }

// waitUntilFresh waits for the source's first copy. A source that had one and is stale may
// have lost the store, and its follower had better follow another feed at once.
func (s *Server) waitUntilFresh(ctx context.Context) bool {
	deadline := time.Now().Add(firstCopyTimeout)
	for !s.fresh() {
		if !s.Source.LastContact().IsZero() || time.Now().After(deadline) || !clock.Pause(ctx, firstCopyInterval) {
			return false
		}
	}
	return true
}

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

package vmlist

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// PeerFetcher fetches the latest list known to another node.
type PeerFetcher interface {
	// FetchVMs returns a list with a zero AsOf if the peer has none.
	FetchVMs(ctx context.Context) (cluster.VMList, error)
}

// FallbackInterval is the time, before jitter, between two reads of the platform by a
// node that is not a reader, while its peers provide no newer list.
const FallbackInterval = 30 * time.Second

// staleAfterIntervals is the number of intervals without a newer list after which a
// non-reader falls back to the platform.
const staleAfterIntervals = 3

// SharedFetcher is a Fetcher with which only some nodes, the readers, read the
// platform and all others fetch the list from peers. The load on the platform then
// grows with the number of zones and not of nodes, and a node that starts while the
// platform is down still gets a list. It is not safe for concurrent use.
type SharedFetcher struct {
	Platform Fetcher
	Peers    PeerFetcher
	// IsReader reports whether this node is a reader.
	IsReader func() bool
	// Interval is the time between two calls of Fetch.
	Interval time.Duration

	latestAsOf   time.Time // AsOf of the latest list
	latestAt     time.Time // when the latest list arrived
	nextFallback time.Time // earliest time of the next read by a non-reader
}

// Fetch implements Fetcher.
func (s *SharedFetcher) Fetch(ctx context.Context) (cluster.VMList, error) {
	if s.IsReader() {
		list, err := s.Platform.Fetch(ctx)
		if err == nil {
			return s.record(list), nil
		}
		list, peerErr := s.Peers.FetchVMs(ctx)
		if peerErr != nil || list.AsOf.IsZero() {
			return list, err
		}
		return s.record(list), nil
	}
	list, err := s.Peers.FetchVMs(ctx)
	if err == nil {
		s.record(list)
	}
	if now := time.Now(); s.stale(now) && !now.Before(s.nextFallback) {
		s.nextFallback = now.Add(FallbackInterval/2 + rand.N(FallbackInterval))
		return s.fetchFallback(ctx, list)
	}
	if err == nil && list.AsOf.IsZero() {
		err = newFetchError(errors.New("no peer has a VM list"))
	}
	return list, err
}

// fetchFallback reads the platform because the peers provide no newer list. If that
// fails too, it returns the list from the peers, if any.
func (s *SharedFetcher) fetchFallback(ctx context.Context, fromPeers cluster.VMList) (cluster.VMList, error) {
	list, err := s.Platform.Fetch(ctx)
	if err == nil {
		return s.record(list), nil
	}
	if fromPeers.AsOf.IsZero() {
		return list, err
	}
	return fromPeers, nil
}

// stale reports whether no newer list has arrived for staleAfterIntervals. It uses
// this node's clock, because AsOf is a time of the platform's clock.
func (s *SharedFetcher) stale(now time.Time) bool {
	return s.latestAt.IsZero() || now.Sub(s.latestAt) > staleAfterIntervals*s.Interval
}

func (s *SharedFetcher) record(list cluster.VMList) cluster.VMList {
	if list.AsOf.After(s.latestAsOf) {
		s.latestAsOf, s.latestAt = list.AsOf, time.Now()
	}
	return list
}

// Checksum returns a hash of vms and their JSON encoding. The hash does not depend on
// the list's AsOf; it is zero if there are no VMs.
func Checksum(vms []cluster.VM) (uint64, []byte, error) {
	encoded, err := json.Marshal(vms)
	if err != nil || len(vms) == 0 {
		return 0, encoded, err
	}
	return xxhash.Sum64(encoded), encoded, nil
}

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

// PeerFetcher asks another node for the newest list that it knows.
type PeerFetcher interface {
	// FetchVMs returns a list with a zero AsOf when the peer knows none.
	FetchVMs(ctx context.Context) (cluster.VMList, error)
}

// FallbackInterval is the time, before jitter, between two reads of the platform by a
// node that should not read it, while its peers bring nothing new.
const FallbackInterval = 30 * time.Second

// freshFor is how many intervals peers may bring nothing newer.
const freshFor = 3

// SharedFetcher is a Fetcher for nodes that share the reading: those on duty read the
// platform, and the others ask them. The platform's calls then grow with the
// zones and not with the nodes, and a node that starts while the platform is
// down has a list all the same. It is used by one goroutine.
type SharedFetcher struct {
	Platform Fetcher
	Peers    PeerFetcher
	// IsReader reports whether this node reads the platform.
	IsReader func() bool
	// Interval is the time between two calls of Fetch.
	Interval time.Duration

	asOf       time.Time // of the newest list seen
	advancedAt time.Time
	directAt   time.Time // the next read without duty
}

// Fetch implements Fetcher.
func (s *SharedFetcher) Fetch(ctx context.Context) (cluster.VMList, error) {
	if s.IsReader() {
		list, err := s.Platform.Fetch(ctx)
		if err == nil {
			return s.seen(list), nil
		}
		list, peerErr := s.Peers.FetchVMs(ctx)
		if peerErr != nil || list.AsOf.IsZero() {
			return list, err
		}
		return s.seen(list), nil
	}
	list, err := s.Peers.FetchVMs(ctx)
	if err == nil {
		s.seen(list)
	}
	if now := time.Now(); s.stale(now) && !now.Before(s.directAt) {
		s.directAt = now.Add(FallbackInterval/2 + rand.N(FallbackInterval))
		return s.direct(ctx, list)
	}
	if err == nil && list.AsOf.IsZero() {
		err = fetchFailed(errors.New("no peer knows a list"))
	}
	return list, err
}

// direct reads the platform for want of news from peers.
func (s *SharedFetcher) direct(ctx context.Context, fromPeers cluster.VMList) (cluster.VMList, error) {
	list, err := s.Platform.Fetch(ctx)
	if err == nil {
		return s.seen(list), nil
	}
	if fromPeers.AsOf.IsZero() {
		return list, err
	}
	return fromPeers, nil
}

// stale reports whether no newer list has come for a few intervals, by this
// node's own clock: AsOf is the platform's.
func (s *SharedFetcher) stale(now time.Time) bool {
	return s.advancedAt.IsZero() || now.Sub(s.advancedAt) > freshFor*s.Interval
}

func (s *SharedFetcher) seen(list cluster.VMList) cluster.VMList {
	if list.AsOf.After(s.asOf) {
		s.asOf, s.advancedAt = list.AsOf, time.Now()
	}
	return list
}

// Checksum identifies a list's VMs, whenever it was made; zero means none.
func Checksum(vms []cluster.VM) (uint64, []byte, error) {
	doc, err := json.Marshal(vms)
	if err != nil || len(vms) == 0 {
		return 0, doc, err
	}
	return xxhash.Sum64(doc), doc, nil
}

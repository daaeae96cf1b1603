package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
)

// gossipBurst is the number of seconds for which unused budget for gossip accumulates. A change is
// reported to as many peers at once as this allows: by the time that a datagram to one peer after
// the other has reached them all, the change is outdated.
const gossipBurst = 2

// gossipBudget limits the bytes that gossip takes.
type gossipBudget struct {
	limiter *rate.Limiter
	burst   int
}

func newGossipBudget(bytesPerSecond int, now time.Time) gossipBudget {
	b := gossipBudget{burst: gossipBurst * bytesPerSecond}
	b.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), b.burst)
	b.limiter.AllowN(now, b.burst) // a process that restarts again and again stays within the rate
	return b
}

// peersNow returns to how many peers a changed state of the given size is sent now: half of what
// the budget allows, so that the next change reaches some too.
func (b gossipBudget) peersNow(size int, now time.Time) int {
	affordable := int(b.limiter.TokensAt(now)) / size
	return (affordable + 1) / 2
}

// isFull reports whether budget for unchanged state is left.
func (b gossipBudget) isFull(now time.Time) bool {
	return b.limiter.TokensAt(now) >= float64(b.burst-1)
}

func (b gossipBudget) spend(bytes int, now time.Time) { b.limiter.ReserveN(now, min(bytes, b.burst)) }

// TriggerGossip requests that the state of the gossip's sources is sent to some peers at once.
func (s *Service) TriggerGossip() {
	select {
	case s.gossipTriggered <- struct{}{}:
	default:
	}
}

// sendGossip sends gossip until ctx is done: to several peers at once after a change, and with the
// budget left to one peer after the other.
func (s *Service) sendGossip(ctx context.Context) {
	budget, maxPeers, changed := newGossipBudget(s.gossip.Budget, s.now()), s.gossip.MaxPeers(), false
	for {
		pause := minGossipInterval
		switch now := s.now(); {
		case changed:
			changed = !s.gossipChange(budget, now)
		case budget.isFull(now):
			pause = s.gossipNext(budget, maxPeers, now)
		default:
			pause = s.gossip.interval(minGossipBody)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-s.gossipTriggered:
			timer.Stop()
			if !changed && !wait(ctx, minGossipInterval-s.now().Sub(s.lastChange)) {
				return
			}
			changed = true
		}
	}
}

// gossipChange sends the state to as many peers as the budget allows now. It returns false if it
// allows none.
func (s *Service) gossipChange(budget gossipBudget, now time.Time) (sent bool) {
	s.mu.Lock()
	send := Outgoing{Datagram: s.state.briefDatagram(), Limit: maxGossipBody}
	s.mu.Unlock()
	sources := s.gossip.Changes
	full := sources == nil || now.Sub(s.lastFull) >= fullGossipInterval
	if full {
		sources = s.gossip.Sources
	}
	fill(send.Datagram, send.Limit, sources, s.log)
	size := proto.Size(send.Datagram) + packetOverhead
	peers := budget.peersNow(size, now)
	if peers == 0 {
		return false
	}
	s.mu.Lock()
	send.Addrs = s.state.nextGossipPeers(peers)
	s.mu.Unlock()
	s.lastChange = now
	if full {
		s.lastFull = now
	}
	if len(send.Addrs) > 0 {
		budget.spend(size*len(send.Addrs), now)
		s.transmit(send)
	}
	return true
}

// gossipNext sends the state to the next peer and returns the time until the budget has recovered.
func (s *Service) gossipNext(budget gossipBudget, maxPeers int, now time.Time) time.Duration {
	s.mu.Lock()
	send := s.state.Gossip(maxPeers)
	s.mu.Unlock()
	if len(send.Addrs) == 0 {
		return gossipIdleInterval
	}
	fill(send.Datagram, send.Limit, s.gossip.Sources, s.log)
	s.transmit(send)
	s.lastFull = s.now()
	size := proto.Size(send.Datagram)
	budget.spend(size+packetOverhead, now)
	return s.gossip.interval(size)
}

// nextGossipPeers returns the addresses of the live peers of the zone that were sent gossip least
// recently, at most n.
func (s *State) nextGossipPeers(n int) (addrs []string) {
	if s.duplicate.superseded || s.self.Leaving {
		return nil
	}
	var peers []*member
	for _, m := range s.order {
		if s.inOwnZone(m) && m.status == Alive {
			peers = append(peers, m)
		}
	}
	slices.SortStableFunc(peers, func(a, b *member) int { return cmp.Compare(a.lastGossip, b.lastGossip) })
	for _, m := range peers[:min(n, len(peers))] {
		s.gossipCount++
		m.lastGossip = s.gossipCount
		addrs = append(addrs, m.datagramAddr)
	}
	return addrs
}

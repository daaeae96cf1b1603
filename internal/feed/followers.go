package feed

import "sync"

// maxFollowers is the number of followers that a feed accepts. Three feeds reach 24 nodes
// directly and 216 through those.
const maxFollowers = 8

// followerSet holds a feed's followers by the addresses of their own feeds.
//
// The tree follows the availability zones: a feed that is full redirects a follower to one of the
// same zone, and gives a follower of a zone that it does not serve the place of one that can follow
// another of its zone. When a zone is cut off, the nodes of the others keep their feeds.
type followerSet struct {
	mu        sync.Mutex
	followers map[string]*followerEntry
}

type followerEntry struct {
	zone    string
	streams int
	// moved is closed when the follower is to follow one of siblings instead.
	moved    chan struct{}
	siblings []string
}

// add adds a follower, or returns the addresses that it can follow instead. A follower that comes
// back may still have a stream that has not been noticed as broken.
func (s *followerSet) add(addr, zone string) (entry *followerEntry, redirect []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followers == nil {
		s.followers = make(map[string]*followerEntry)
	}
	if entry = s.followers[addr]; entry != nil {
		entry.streams++
		return entry, nil
	}
	if len(s.followers) >= maxFollowers {
		if redirect = s.inZone(zone); len(redirect) > 0 {
			return nil, redirect
		}
		if !s.makeRoom() {
			return nil, s.all()
		}
	}
	entry = &followerEntry{zone: zone, streams: 1, moved: make(chan struct{})}
	s.followers[addr] = entry
	return entry, nil
}

// makeRoom moves a follower of the zone that has most of them, if that has several; the caller
// holds s.mu.
func (s *followerSet) makeRoom() bool {
	most := ""
	for addr, f := range s.followers {
		if most == "" || len(s.inZone(f.zone)) > len(s.inZone(s.followers[most].zone)) {
			most = addr
		}
	}
	moved := s.followers[most]
	delete(s.followers, most)
	moved.siblings = s.inZone(moved.zone)
	if len(moved.siblings) == 0 {
		s.followers[most] = moved
		return false
	}
	close(moved.moved)
	return true
}

func (s *followerSet) inZone(zone string) (addrs []string) {
	for addr, f := range s.followers {
		if f.zone == zone {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (s *followerSet) all() (addrs []string) {
	for addr := range s.followers {
		addrs = append(addrs, addr)
	}
	return addrs
}

// remove removes one stream of a follower.
func (s *followerSet) remove(addr string, entry *followerEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry.streams--; entry.streams <= 0 && s.followers[addr] == entry {
		delete(s.followers, addr)
	}
}

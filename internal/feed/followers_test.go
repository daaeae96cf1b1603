package feed

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a zone without a follower at a feed that is full of those of others.
func TestFullFeedServesEachZone(t *testing.T) {
	s := &followerSet{}
	entries := make(map[string]*followerEntry)
	for i := range maxFollowers {
		addr := fmt.Sprint("a", i)
		entries[addr], _ = s.add(addr, "a")
		require.NotNil(t, entries[addr])
	}
	_, redirect := s.add("a-more", "a")
	require.Len(t, redirect, maxFollowers, "one of the same zone goes further down")
	entry, _ := s.add("b0", "b")
	require.NotNil(t, entry)
	require.Len(t, s.followers, maxFollowers)
	var moved []string
	for addr, e := range entries {
		select {
		case <-e.moved:
			moved = append(moved, addr)
			require.Len(t, e.siblings, maxFollowers-1)
			require.NotContains(t, e.siblings, addr)
			s.remove(addr, e)
		default:
		}
	}
	require.Len(t, moved, 1)
	require.Len(t, s.followers, maxFollowers)
	_, redirect = s.add("b-more", "b")
	require.Equal(t, []string{"b0"}, redirect)
}

// Guards against followers that take each other's place when there are more zones than places.
func TestFullFeedOfManyZonesMovesNobody(t *testing.T) {
	s := &followerSet{}
	for i := range maxFollowers {
		s.add(fmt.Sprint("n", i), fmt.Sprint("zone", i))
	}
	entry, redirect := s.add("more", "another")
	require.Nil(t, entry)
	require.Len(t, redirect, maxFollowers)
}

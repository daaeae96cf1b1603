package player_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/player"
)

const (
	// pushbackRequests is how many requests of a node may reach a server that has asked it for none.
	pushbackRequests = 2
	// leavingTime is how long after its signal a server that shuts down may get requests.
	leavingTime = 2 * time.Second
)

// Guards against nodes that go on asking servers which want no requests from them, and against callers that others could serve.
func TestServersThatPushBackGetNoRequests(t *testing.T) {
	for _, name := range []string{"overload", "few-large-many-small"} {
		for _, heads := range []int{3, 1000} {
			t.Run(fmt.Sprintf("%s/%d", name, heads), func(t *testing.T) {
				t.Parallel()
				s := load(t, name)
				fault := player.Fault{Kind: player.PushbackServers, Model: "small", At: 4 * time.Second, Duration: 3 * time.Second, Count: heads, Factor: 4}
				s.Bursts, s.Length, s.Faults = nil, 16*time.Second, []player.Fault{fault}
				res := simulate(t, s, player.Options{Seed: 1})
				end := fault.At + fault.Duration + 4*time.Second
				before, during, after := firstServed(res, time.Second, fault.At), firstServed(res, fault.At+time.Second, fault.At+fault.Duration), firstServed(res, end+2*time.Second, s.Length)
				t.Logf("served at the first attempt: %.3f before, %.3f during, %.3f after; %d in a pushback", before, during, after, res.MostInPushback)
				require.LessOrEqual(t, res.MostInPushback, pushbackRequests)
				require.GreaterOrEqual(t, after, 0.9*before)
				if heads == 3 {
					require.GreaterOrEqual(t, during, 0.9*before)
				}
			})
		}
	}
}

// Guards against nodes that send requests to servers which have said that they shut down.
func TestServersThatSayTheyLeaveGetNoRequests(t *testing.T) {
	for _, name := range []string{"overload", "few-large-many-small"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := load(t, name)
			fault := player.Fault{Kind: player.LeavingServers, Model: "small", At: 4 * time.Second, Duration: 8 * time.Second, Count: 2}
			s.Bursts, s.Length, s.Faults = nil, 12*time.Second, []player.Fault{fault}
			res := simulate(t, s, player.Options{Seed: 1})
			before, during := firstServed(res, time.Second, fault.At), firstServed(res, fault.At+time.Second, s.Length)
			t.Logf("served at the first attempt: %.3f before, %.3f afterwards; last request after %v", before, during, res.LatestToLeaving)
			require.LessOrEqual(t, res.LatestToLeaving, leavingTime)
			require.GreaterOrEqual(t, during, 0.9*before)
		})
	}
}

// Guards against callers refused by a node from which all servers want no requests, while they take those of other nodes.
func TestCallersOfANodeInPushbacksAreServedByOthers(t *testing.T) {
	for name, nodes := range map[string]int{"overload": 2, "few-large-many-small": 4} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := load(t, name)
			fault := player.Fault{Kind: player.PushbackServers, Model: "small", At: 4 * time.Second, Duration: 6 * time.Second, Count: 1000, Factor: 4, Nodes: nodes}
			s.Bursts, s.Length, s.Faults = nil, 10*time.Second, []player.Fault{fault}
			res := simulate(t, s, player.Options{Seed: 1})
			before, during := firstServed(res, time.Second, fault.At), firstServed(res, fault.At+time.Second, s.Length)
			t.Logf("served at the first attempt: %.3f before, %.3f during; %d in a pushback", before, during, res.MostInPushback)
			require.LessOrEqual(t, res.MostInPushback, pushbackRequests)
			require.GreaterOrEqual(t, during, 0.9*before)
		})
	}
}

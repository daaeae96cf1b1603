package player_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/player"
)

// Guards against nodes that each keep to a server's limit, or none, and exceed it together.
func TestServerLimitHoldsOverAllNodes(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit float64
	}{{"overload", 1.4}, {"few-large-many-small", 1.4}, {"few-large-many-small", 4}} {
		t.Run(fmt.Sprintf("%s/%v", c.name, c.limit), func(t *testing.T) {
			s := load(t, c.name)
			s.Bursts, s.Length = nil, 13*time.Second
			s.Faults = []player.Fault{{Kind: player.LimitServers, Model: "small", At: 3 * time.Second, Duration: 9 * time.Second, Count: 3, Factor: c.limit}}
			res := simulate(t, s, player.Options{Seed: 1})
			require.Equal(t, 3, res.LimitedServers)
			require.LessOrEqual(t, res.LimitExcess, 0)
		})
	}
}

// Guards against nodes that together crash a cold server, also beside a zone that is cut off and a
// restart of all nodes, and against cold servers that take nothing.
func TestColdServersTakeTheirRateFromAllNodes(t *testing.T) {
	const rate = 4
	for name, faults := range map[string][]player.Fault{
		"alone":    nil,
		"zone cut": {{Kind: player.PartitionZone, Zone: "b", At: 5 * time.Second, Duration: 4 * time.Second}},
		"restart":  {{Kind: player.RestartNodes, At: 5 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			s := load(t, "few-large-many-small")
			s.Bursts, s.Length, s.Engine.ColdRate = nil, 10*time.Second, rate
			s.Faults = append(faults, player.Fault{Kind: player.ColdServers, Model: "small", At: 3 * time.Second, Duration: 6 * time.Second, Count: 12})
			res := simulate(t, s, player.Options{Seed: 1})
			require.Equal(t, 12, res.ColdServers)
			require.LessOrEqual(t, res.MostOnColdServer, int(1.5*rate)+5)
		})
	}
}

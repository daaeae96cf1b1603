package e2e

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// All backend servers of a zone fail at once, as in a power failure. The balancer still
// sends callers to the zone's node; they must be served by the neighbor zone, and by
// their own zone again once it has recovered.
func TestNeighborZoneServesCallersOfFailedZone(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.startEngine("serra-a", "rack-a")
	}
	for range 2 {
		s.startEngine("serra-b", "rack-b")
	}
	s.publish()
	s.neighbors = `, neighbor_zones: ["serra-b"]`
	a := s.startNode("serra-a-1", "serra-a", "", "")
	s.neighbors = ""
	b := s.startNode("serra-b-1", "serra-b", "", "")
	s.applyRules(baseRules)
	s.awaitHealthy(a, 2)
	s.awaitHealthy(b, 1)
	s.awaitServing(a)
	a.await(`msg=route .*replica=serra-a`)
	for _, vm := range s.vms {
		if vm.Zone == "serra-a" {
			s.engines[vm.ID].kill()
		}
	}
	require.Eventually(t, func() bool {
		return s.call(a, http.MethodPost, engine.ChatPath, chatBody(1, false), nil).status == http.StatusOK
	}, waitTimeout, pollEvery)
	a.await(`msg=route .*replica=serra-b`)
}

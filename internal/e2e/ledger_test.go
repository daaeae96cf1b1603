package e2e

import (
	"encoding/json"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// ledgerTolerance is how far the ledger's times may be off: they are printed in seconds.
const ledgerTolerance = 3 * time.Second

// outage is one interval as fennelctl prints it.
type outage struct {
	ID, Replica, Measure, Cause, Observer, Evidence string
	From, To                                        time.Time
}

func (s *system) outages(from, to time.Time) []outage {
	s.t.Helper()
	out, code := s.ctl("outages", "--from", from.UTC().Format(time.RFC3339), "--to", to.UTC().Format(time.RFC3339), "--json")
	require.Zero(s.t, code, out)
	var doc struct{ Intervals []outage }
	require.NoError(s.t, json.Unmarshal([]byte(out), &doc), out)
	return doc.Intervals
}

// A VM of a replica dies while the store is down, and restarts. Of the two nodes that
// observed it, one is stopped as planned once the store is back; the other is killed and
// loses its memory. The outage must be in the ledger exactly once, with its cause and
// observer. The time before the first node started and after the last observer ended
// must be shown as unobserved: counting it as up would report availability that
// was not measured.
func TestOutageLedger(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	w := s.watchCommitted(zone)
	begin := time.Now().Add(-time.Minute)
	for range 2 {
		s.startEngine(zone, "rack-1")
	}
	s.startService(zone, "caixa")
	s.publish()
	s.startNode("serra-a-1", zone, "", "")
	s.startNode("serra-a-2", zone, "", "")
	s.applyRules(baseRules)
	for _, n := range s.nodes {
		n.await(`msg="outage observer role" .*held=true`)
		s.awaitServing(n)
	}
	s.awaitEnginesAgree(w)
	vm := s.vms[0].ID
	lost := w.assigned()[vm]
	stopped, killed := s.nodes[0], s.nodes[1]
	healthyLines := len(stopped.matches(healthyLogLine(lost)))
	s.faults(platform.Faults{Store: memstore.Faults{Down: true}})
	s.engines[vm].kill()
	killedAt := time.Now()
	stopped.await(unhealthyLogLine(lost))
	downAt := time.Now() // an outage counts from its detection
	s.restart(vm, "--checks-fence")
	s.faults(platform.Faults{})
	s.awaitNoProblem(func() string {
		if len(stopped.matches(healthyLogLine(lost))) == healthyLines {
			return "the replica is not healthy again"
		}
		return ""
	})
	upAt := time.Now()

	killed.kill()
	stopped.signal(syscall.SIGTERM)
	<-stopped.done
	stoppedAt := time.Now()
	s.nodes = nil
	s.startNode(cluster.NodeID("serra-a-3"), zone, "", "")
	list := s.outages(begin, stoppedAt.Add(2*time.Second))

	var unobserved time.Duration
	var found []outage
	ids := map[string]bool{}
	for _, o := range list {
		require.False(t, ids[o.ID], "reported twice: %+v", o)
		ids[o.ID] = true
		switch {
		case o.Measure == string(ledger.Unobserved):
			unobserved += o.To.Sub(o.From)
		case o.Measure == string(ledger.Downtime) && o.To.After(killedAt) && o.Replica == string(lost.replica):
			found = append(found, o)
		}
	}
	require.Len(t, found, 1, "%+v", list)
	o := found[0]
	require.Equal(t, "not-whole", o.Cause)
	require.Equal(t, "serra-a-1", o.Observer)
	require.NotEmpty(t, o.Evidence)
	require.WithinDuration(t, downAt, o.From, ledgerTolerance)
	require.WithinDuration(t, upAt, o.To, ledgerTolerance)
	require.Equal(t, string(ledger.Unobserved), list[0].Measure, "%+v", list)
	require.GreaterOrEqual(t, unobserved, 59*time.Second)
	t.Logf("detected after %v, down %v by the test's clock, %v in the ledger, unobserved %v",
		downAt.Sub(killedAt).Round(time.Millisecond), upAt.Sub(downAt).Round(time.Millisecond), o.To.Sub(o.From), unobserved)
}

package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/reach"
)

var (
	saysNone = reach.Report{State: reach.None}.Encode()
	saysSome = reach.Report{State: reach.Some, Room: 5}.Encode()
	noneElse reach.Relayed
	start    = time.Unix(1_800_000_000, 0)
)

// observe records what node a says of itself, sent at a time after start and received then.
func observe(t *testing.T, r *reach.Reports, value uint32, after time.Duration) {
	t.Helper()
	require.NoError(t, r.Observe("a", value, noneElse, start.Add(after), start.Add(after)))
}

func TestReportSaysWhatTheNodeSaid(t *testing.T) {
	r := reach.NewReports("self")
	require.Equal(t, reach.Unknown, r.Of("a", start).State)
	for _, want := range []reach.Report{{State: reach.None}, {State: reach.Some}, {State: reach.Some, Room: reach.MaxRoom}} {
		start := start.Add(time.Duration(want.Encode()) * time.Millisecond)
		require.NoError(t, r.Observe("a", want.Encode(), noneElse, start, start))
		want.SaidAt = start
		require.Equal(t, want, r.Of("a", start))
	}
}

// Guards against calls that are handed over, or not, by what a node said long ago.
func TestOldReportSaysNothing(t *testing.T) {
	for _, said := range []uint32{saysNone, saysSome} {
		r := reach.NewReports("self")
		observe(t, r, said, 0)
		require.NotEqual(t, reach.Unknown, r.Of("a", start.Add(4*time.Second)).State)
		require.Equal(t, reach.Unknown, r.Of("a", start.Add(5*time.Second)).State)
		require.Empty(t, r.Relay(start.Add(5*time.Second)).IDs)
	}
}

// Guards against a delayed datagram, or an old report passed on, that counts as a new one.
func TestReportOfADelayedDatagramIsAsOldAsTheDatagram(t *testing.T) {
	r := reach.NewReports("self")
	require.NoError(t, r.Observe("a", saysSome, noneElse, start.Add(-5*time.Second), start))
	require.Equal(t, reach.Unknown, r.Of("a", start).State)
	observe(t, r, saysNone, 0)
	require.NoError(t, r.Observe("a", saysSome, noneElse, start.Add(-time.Second), start.Add(time.Millisecond)))
	require.Equal(t, reach.None, r.Of("a", start).State, "the newer report counts")
}

// Guards against reports that go round for ever, each time as if they were new.
func TestReportIsPassedOnOnceAndWithItsAge(t *testing.T) {
	first, second, third := reach.NewReports("1"), reach.NewReports("2"), reach.NewReports("3")
	observe(t, first, saysNone, 0)
	passedOn := start.Add(3 * time.Second)
	require.NoError(t, second.Observe("1", saysSome, first.Relay(passedOn), passedOn, passedOn))
	require.Equal(t, reach.Report{State: reach.None, SaidAt: start}, second.Of("a", passedOn))
	require.NoError(t, third.Observe("2", saysSome, second.Relay(passedOn), passedOn, passedOn))
	require.Equal(t, reach.Some, third.Of("1", passedOn).State)
	require.Equal(t, reach.Unknown, third.Of("a", passedOn).State)
}

// Guards against datagrams that grow with the number of nodes, and against a node that hears of itself.
func TestReportsPassedOnAreFewWhateverTheNumberOfNodes(t *testing.T) {
	const nodes = 400
	r := reach.NewReports("self")
	for i := range nodes {
		now := start.Add(time.Duration(i) * time.Millisecond)
		require.NoError(t, r.Observe(cluster.NodeID(fmt.Sprint(i)), saysSome, noneElse, now, now))
	}
	now := start.Add(nodes * time.Millisecond)
	relayed := r.Relay(now)
	require.Equal(t, []uint32{1, 2, 3, 4}, relayed.AgesMs, "the newest")
	other := reach.NewReports(cluster.NodeID(fmt.Sprint(nodes - 1)))
	require.NoError(t, other.Observe("self", saysSome, relayed, now, now))
	require.Equal(t, reach.Unknown, other.Of(cluster.NodeID(fmt.Sprint(nodes-1)), now).State)
	require.Equal(t, reach.Some, other.Of(cluster.NodeID(fmt.Sprint(nodes-2)), now).State)
}

// Guards against reports from a wrong clock, of an unknown kind or cut short that change where calls go.
func TestMalformedReportIsIgnored(t *testing.T) {
	for name, c := range map[string]struct {
		own     uint32
		relayed reach.Relayed
		sentAt  time.Time
	}{
		"own value out of range":     {own: 11, sentAt: start},
		"from the future":            {own: saysSome, sentAt: start.Add(2 * time.Second)},
		"relayed value out of range": {own: saysSome, relayed: reach.Relayed{IDs: []uint32{1}, Reports: []uint32{99}, AgesMs: []uint32{1}}, sentAt: start},
		"ages missing":               {own: saysSome, relayed: reach.Relayed{IDs: []uint32{1}, Reports: []uint32{1}}, sentAt: start},
		"nodes missing":              {own: saysSome, relayed: reach.Relayed{Reports: []uint32{1}, AgesMs: []uint32{1}}, sentAt: start},
		"reports missing":            {own: saysSome, relayed: reach.Relayed{IDs: []uint32{1}, AgesMs: []uint32{1}}, sentAt: start},
	} {
		t.Run(name, func(t *testing.T) {
			r := reach.NewReports("self")
			observe(t, r, saysNone, -time.Second)
			before := r.Relay(start)
			var malformed *reach.MalformedError
			require.ErrorAs(t, r.Observe("a", c.own, c.relayed, c.sentAt, start), &malformed)
			require.Equal(t, reach.Report{State: reach.None, SaidAt: start.Add(-time.Second)}, r.Of("a", start))
			require.Equal(t, before, r.Relay(start))
		})
	}
}

// Guards against nodes of an older build, which say nothing, that count as cut off.
func TestAbsentReportSaysNothing(t *testing.T) {
	r := reach.NewReports("self")
	observe(t, r, 0, 0)
	require.Equal(t, reach.Unknown, r.Of("a", start).State)
	require.Empty(t, r.Relay(start).IDs)
}

// Guards against a node that is offered call after call because it said, before it refused one, that it reaches servers.
func TestRefusalWithdrawsWhatWasSaidBefore(t *testing.T) {
	r := reach.NewReports("self")
	observe(t, r, saysSome, 0)
	r.Withdraw("a", start.Add(time.Second))
	require.Equal(t, reach.Unknown, r.Of("a", start.Add(time.Second)).State)
	require.Empty(t, r.Relay(start.Add(time.Second)).IDs)
	observe(t, r, saysSome, 500*time.Millisecond)
	require.Equal(t, reach.Unknown, r.Of("a", start.Add(time.Second)).State, "said before the refusal, heard after it")
	observe(t, r, saysSome, 2*time.Second)
	require.Equal(t, reach.Some, r.Of("a", start.Add(2*time.Second)).State)
}

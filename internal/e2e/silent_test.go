package e2e

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

// maxDetectionTime bounds how long a silent stream goes undetected: the engine's promised
// gap of 1 s, the grace of 0.5 s, the probe, and slack for a busy machine.
const maxDetectionTime = 10 * time.Second

// counter reads one of the node's metrics.
func (s *system) counter(n *node, name string) int {
	s.t.Helper()
	resp, err := http.Get("http://" + n.control + "/metrics")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	m := regexp.MustCompile(`(?m)^` + name + ` (\d+)$`).FindSubmatch(text)
	require.NotNil(s.t, m, "no metric named "+name)
	count, err := strconv.Atoi(string(m[1]))
	require.NoError(s.t, err)
	return count
}

const silentStreamsMetric = "fennel_gateway_silent_total"

// A device between a node and a VM loses its state of the open connections: they stay
// open and pass nothing, while new connections work. Streams on them would hang, and so
// would every request that is given one of the idle connections.
func TestSilentConnectionsThroughARelay(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.startEngine("serra-a", "rack-1")
	}
	l := newLink(t, s.vms[0].Addr)
	direct := s.vms[0].Addr
	s.vms[0].Addr = l.addr()
	s.publish()
	n := s.startNode("serra-a-1", "serra-a", "", "")
	s.applyRules(baseRules)
	s.awaitServing(n)
	require.Equal(t, s.vms[0].ID, s.servingOf(s.vms[1].ID))

	s.send(http.MethodPost, "http://"+direct+standinengine.FaultsPath, slowFaults)
	var running []*pendingChat
	for i := range 4 {
		f := s.chatAsync(n, i, 200, true)
		<-f.firstByte
		running = append(running, f)
	}
	before := s.counter(n, silentStreamsMetric)
	l.mute()
	muted := time.Now()
	require.Eventually(t, func() bool { return s.counter(n, silentStreamsMetric) >= before+len(running) }, waitTimeout, pollEvery)
	detected := time.Since(muted)
	s.send(http.MethodPost, "http://"+direct+standinengine.FaultsPath, standinengine.Faults{})
	for _, f := range running {
		f.requireComplete(t)
	}
	t.Logf("%d silent streams detected within %v", len(running), detected)
	require.Less(t, detected, maxDetectionTime)
	s.awaitServing(n)
	for i := range 20 {
		s.chatAsync(n, 100+i, 2, true).requireComplete(t)
	}
	require.Equal(t, before+len(running), s.counter(n, silentStreamsMetric), "a later request was sent on a dead connection")

	// Now only idle connections go silent: the first request that detects it retires all
	// of them.
	l.mute()
	for i := range 20 {
		s.chatAsync(n, 200+i, 2, true).requireComplete(t)
	}
	require.LessOrEqual(t, s.counter(n, silentStreamsMetric), before+len(running)+1, "more than one request was sent on a dead connection")
}

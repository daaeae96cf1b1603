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

// noticeBound is the longest that a silent stream may go unnoticed: the engine's
// promised gap of 1 s, the grace of 0.5 s, the probe, and slack for a busy machine.
const noticeBound = 10 * time.Second

// counter reads one of the node's metrics.
func (s *system) counter(n *node, name string) int {
	s.t.Helper()
	resp, err := http.Get("http://" + n.control + "/metrics")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	m := regexp.MustCompile(`(?m)^` + name + ` (\d+)$`).FindSubmatch(text)
	require.NotNil(s.t, m, "no metric "+name)
	count, err := strconv.Atoi(string(m[1]))
	require.NoError(s.t, err)
	return count
}

const silentStreams = "fennel_gateway_silent_total"

// Something between a node and a machine loses track of the connections that are
// open: they stay open for good and pass nothing, while new ones work. Fitters in
// the middle of an answer would look at half a sentence, and whoever is given one
// of the idle connections would wait for nothing.
func TestSilentConnectionsThroughARelay(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.engine("serra-a", "rack-1")
	}
	l := newLink(t, s.vms[0].Addr)
	direct := s.vms[0].Addr
	s.vms[0].Addr = l.addr()
	s.publish()
	n := s.startNode("serra-a-1", "serra-a", "", "")
	s.apply(fitRules)
	s.awaitServing(n)
	require.Equal(t, s.vms[0].ID, s.servingOf(s.vms[1].ID))

	s.send(http.MethodPost, "http://"+direct+standinengine.FaultsPath, slow)
	var running []*flight
	for i := range 4 {
		f := s.chatAside(n, i, 200, true)
		<-f.begun
		running = append(running, f)
	}
	before := s.counter(n, silentStreams)
	l.mute()
	muted := time.Now()
	require.Eventually(t, func() bool { return s.counter(n, silentStreams) >= before+len(running) }, waitTimeout, pollEvery)
	noticed := time.Since(muted)
	s.send(http.MethodPost, "http://"+direct+standinengine.FaultsPath, standinengine.Faults{})
	for _, f := range running {
		f.requireWhole(t)
	}
	t.Logf("%d silent streams noticed within %v", len(running), noticed)
	require.Less(t, noticed, noticeBound)
	s.awaitServing(n)
	for i := range 20 {
		s.chatAside(n, 100+i, 2, true).requireWhole(t)
	}
	require.Equal(t, before+len(running), s.counter(n, silentStreams), "a later request joined a dead connection")

	// Now only idle connections go silent: one request finds out for all.
	l.mute()
	for i := range 20 {
		s.chatAside(n, 200+i, 2, true).requireWhole(t)
	}
	require.LessOrEqual(t, s.counter(n, silentStreams), before+len(running)+1, "more than one request was given a dead connection")
}

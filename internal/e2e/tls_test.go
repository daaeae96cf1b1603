package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wiretest"
)

// unreachablePlatform is an address without a platform: its node has all its state from peers.
const unreachablePlatform = "http://127.0.0.1:9"

// credentials issues certificate files for a node or an operator.
func (s *system) credentials(a *wiretest.Authority, name string) wire.TLSFiles {
	dir := filepath.Join(s.dir, name)
	require.NoError(s.t, os.MkdirAll(dir, 0o700))
	return a.Issue(s.t, dir)
}

func (s *system) startTLSNode(a *wiretest.Authority, name cluster.NodeID, platform string) (*node, wire.TLSFiles) {
	files := s.credentials(a, string(name))
	s.tls = fmt.Sprintf("{cert: %q, key: %q, ca: %q}", files.Cert, files.Key, files.CA)
	return s.startNode(name, "serra-a", platform, ""), files
}

func ctlFlags(files wire.TLSFiles) []string {
	return []string{"--ca", files.CA, "--cert", files.Cert, "--key", files.Key}
}

// If a control address spoke plain HTTP although the settings turn TLS on, anyone on the
// network could read the callers' token hashes and replace the rules. The test then
// replaces all certificates and their authority, as in the yearly rotation: a node that
// kept the old ones would be refused by its peers and refuse fennelctl until a restart.
func TestTLSEndToEndAndRotated(t *testing.T) {
	s := newSystem(t)
	s.publish()
	first, second := wiretest.NewAuthority(t), wiretest.NewAuthority(t)
	a, aFiles := s.startTLSNode(first, "serra-a-1", "")
	_, bFiles := s.startTLSNode(first, "serra-a-2", unreachablePlatform)
	operator := s.credentials(first, "operator")
	s.ctlTLS = ctlFlags(operator)
	s.applyRules(baseRules) // also waits for the second node, which fetches the rules from the first

	resp, err := http.Get("http://" + a.control + "/metrics")
	if err == nil { // net/http answers plain requests on a TLS listener with 400
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	}
	s.ctlTLS = []string{"--ca", operator.CA}
	out, code := s.ctl("status")
	require.NotZero(t, code, "accepted without a certificate: %s", out)
	s.ctlTLS = ctlFlags(s.credentials(second, "stranger"))
	out, code = s.ctl("status")
	require.NotZero(t, code, "accepted a certificate of an unknown authority: %s", out)

	for _, f := range []wire.TLSFiles{aFiles, bFiles} {
		wiretest.WriteFileAtomic(t, f.CA, bytes.Join([][]byte{first.PEM, second.PEM}, nil))
	}
	third, _ := s.startTLSNode(second, "serra-a-3", unreachablePlatform)
	s.tls = ""
	for _, f := range []wire.TLSFiles{aFiles, bFiles} {
		second.Issue(t, filepath.Dir(f.Cert))
	}
	s.ctlTLS = ctlFlags(s.credentials(second, "operator"))
	s.applyRules(strings.Replace(baseRules, "Ana", "Rui", 1))
	require.Equal(t, "peer", third.await(`event=rules_in_force .*source=(\S+)`))
	s.ctlTLS = ctlFlags(s.credentials(first, "late"))
	out, code = s.ctl("status")
	require.NotZero(t, code, "accepted a certificate of the old authority: %s", out)
}

// Datagram keys are rotated on running nodes, in three steps, one node after the other.
// If a step lost datagrams, nodes would declare each other dead, regroup replicas and
// reduce shares without need.
func TestDatagramKeysRotateUnderHeartbeats(t *testing.T) {
	s := newSystem(t)
	s.startNode("serra-a-1", "serra-a", "", "")
	s.startNode("serra-a-2", "serra-a", "", "")
	next := newSecret()
	oldKey := fmt.Sprintf(`{id: 1, secret: "%s"}`, s.secret)
	newKey := fmt.Sprintf(`{id: 2, secret: "%s"}`, next)
	s.awaitAllHeard()
	last := oldKey
	for _, step := range []struct{ keys, logged string }{
		{oldKey + ", " + newKey, "keys=2 signing_key=1"},
		{newKey + ", " + oldKey, "keys=2 signing_key=2"},
		{newKey, "keys=1 signing_key=2"},
	} {
		for _, n := range s.nodes {
			s.editSettings(n, "["+last+"]", "["+step.keys+"]")
			n.signal(syscall.SIGHUP)
			n.await("msg=reloaded .*" + step.logged)
			s.awaitAllHeard()
		}
		last = step.keys
	}
	s.editSettings(s.nodes[0], "peers:", "perrs:")
	s.nodes[0].signal(syscall.SIGHUP)
	s.nodes[0].await(`level=ERROR msg="reload refused" .*perrs`)
	s.awaitAllHeard()
	for _, n := range s.nodes {
		require.NotContains(t, s.metrics(n), "fennel_wire_dropped_datagrams_total")
		require.NotContains(t, n.tail(1000), "status=dead")
		require.NotContains(t, n.tail(1000), next)
	}
}

func (s *system) editSettings(n *node, from, to string) {
	s.t.Helper()
	path := filepath.Join(s.dir, n.name+".yaml")
	text, err := os.ReadFile(path)
	require.NoError(s.t, err)
	require.Contains(s.t, string(text), from)
	wiretest.WriteFileAtomic(s.t, path, []byte(strings.Replace(string(text), from, to, 1)))
}

// awaitAllHeard waits until each node has received new datagrams and its status after
// them reports that it receives heartbeats from all others.
func (s *system) awaitAllHeard() {
	s.t.Helper()
	for _, n := range s.nodes {
		before := s.datagramsReceived(n)
		require.Eventually(s.t, func() bool { return s.datagramsReceived(n) > before+2 && s.hearsAll(n) }, waitTimeout, pollEvery, "%s does not hear all other nodes", n.name)
	}
}

func (s *system) datagramsReceived(n *node) int {
	for line := range strings.Lines(s.metrics(n)) {
		var count int
		if _, err := fmt.Sscanf(line, "fennel_wire_received_datagrams_total %d", &count); err == nil {
			return count
		}
	}
	return 0
}

func (s *system) hearsAll(n *node) bool {
	s.t.Helper()
	resp, err := http.Post("http://"+n.control+"/fennel.v1.OperatorService/Status", "application/json", strings.NewReader("{}"))
	require.NoError(s.t, err)
	defer resp.Body.Close()
	var status struct{ Nodes []struct{ Heard bool } }
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&status))
	heard := 0
	for _, other := range status.Nodes {
		if other.Heard {
			heard++
		}
	}
	return heard == len(s.nodes)
}

func (s *system) metrics(n *node) string {
	s.t.Helper()
	resp, err := http.Get("http://" + n.control + "/metrics")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	return string(text)
}

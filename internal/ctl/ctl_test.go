package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/operator"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/rulestore"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

const serviceLine = "service name=caixa # asked for by: Ana\n"

// testNode serves one node's operators' API over a memory store.
type testNode struct {
	t       *testing.T
	url     string
	handler http.Handler
	holder  *rulestore.Holder
	nodes   []operator.NodeRevision
	// dropResponses is the number of next calls that are executed but whose connection
	// breaks before the response.
	dropResponses atomic.Int32
}

func (s *testNode) NodeRevisions() []operator.NodeRevision { return s.nodes }

func (s *testNode) Status(context.Context) (*wirepb.StatusResponse, error) {
	return &wirepb.StatusResponse{
		Node: "n1", Zone: "serra-a", Version: "v0", Ready: true, RulesRevision: 7, StoreReachable: true,
		Nodes:    []*wirepb.NodeRules{{Node: "n1", Zone: "serra-a", Revision: 7, Heard: true}, {Node: "n2", Zone: "serra-b"}},
		Replicas: []*wirepb.ReplicaReport{{Replica: "fit-1", Group: "fit", Zone: "serra-a", Reason: "vm-3 missing", ConfirmedAgoMs: 1500}},
		Teams:    []*wirepb.TeamReport{{Team: "escola-a", Running: 2, Refused: 3}},
	}, nil
}

func (s *testNode) Explain(_ context.Context, req rules.Request) (*wirepb.ExplainResponse, error) {
	return operator.ExplainRule(s.holder.Current(), req), nil
}

func (s *testNode) Outages(_ context.Context, from, to time.Time, zone cluster.ZoneID) (*wirepb.OutagesResponse, error) {
	totals := []*wirepb.OutageTotal{{Zone: string(zone), Group: "fit", Measure: "downtime", LowSeconds: 60, HighSeconds: 5400}}
	return &wirepb.OutagesResponse{Totals: totals, Intervals: []*wirepb.OutageInterval{{Id: "1", Zone: string(zone), Group: "fit", Replica: "fit-1", Measure: "downtime", FromUnixMs: from.UnixMilli(), ToUnixMs: to.UnixMilli(), Cause: "vm-3 failed", Observer: "n1", Accelerators: 4}}}, nil
}

func newTestNode(t *testing.T) *testNode {
	s := &testNode{t: t}
	s.holder = rulestore.New(rulestore.Options{Store: memstore.New(memstore.Options{})})
	mux := http.NewServeMux()
	mux.Handle(wirepbconnect.NewOperatorServiceHandler(operator.New(operator.Dependencies{Rules: s.holder, Nodes: s, Status: s, Explain: s, Outages: s})))
	s.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.dropResponses.Add(-1) >= 0 {
			mux.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
	srv := httptest.NewServer(s.handler)
	t.Cleanup(srv.Close)
	s.url = srv.URL
	t.Setenv("FENNELCTL_SERVER", srv.URL)
	t.Setenv("USER", "ana")
	return s
}

// run executes a command line and checks its exit code.
func run(t *testing.T, want ExitCode, args ...string) (stdout, stderr string) {
	t.Helper()
	var out, log bytes.Buffer
	require.Equal(t, want, Run(t.Context(), args, &out, &log), "stdout:\n%s\nstderr:\n%s", &out, &log)
	return out.String(), log.String()
}

func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "rules.txt")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestCheckReportsPositionAndSuggestion(t *testing.T) {
	out, _ := run(t, ExitOK, "rules", "check", writeFile(t, serviceLine))
	require.Contains(t, out, "ok: 0 teams, 0 groups, 1 services")
	_, log := run(t, ExitFailed, "rules", "check", writeFile(t, serviceLine+"servce name=x # asked for by: Ana\n"))
	require.Contains(t, log, `rules.txt: line 2, column 1: unknown-kind: found "servce"`)
	require.Contains(t, log, `did you mean "service"?`)

	out, _ = run(t, ExitFailed, "--json", "rules", "check", writeFile(t, "# revision: 4\nservce\n"))
	var result checkJSON
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.Equal(t, 2, result.Errors[0].Line, "counted with the revision line")
	run(t, ExitFailed, "rules", "check", writeFile(t, "# revision: four\n"))
	run(t, ExitFailed, "rules", "check", filepath.Join(t.TempDir(), "none"))
}

func TestShowEditApplyHistory(t *testing.T) {
	s := newTestNode(t)
	out, _ := run(t, ExitOK, "rules", "apply", writeFile(t, serviceLine))
	require.Contains(t, out, "accepted as revision ")
	shown, _ := run(t, ExitOK, "rules", "show")
	require.True(t, strings.HasPrefix(shown, "# revision: "))
	first := s.holder.Revision()

	edited := writeFile(t, shown+"service name=reservas # asked for by: Rui\n")
	out, _ = run(t, ExitOK, "rules", "diff", edited)
	require.Equal(t, "@@ line 2\n+ service name=reservas # asked for by: Rui\n", out)
	out, _ = run(t, ExitOK, "rules", "apply", edited, "--author", "Rui", "--json")
	require.JSONEq(t, `{"revision": `+jsonNumber(s.holder.Revision())+`}`, out)
	require.Equal(t, serviceLine+"service name=reservas # asked for by: Rui\n", s.holder.Current().Text, "stored without the revision line")

	out, _ = run(t, ExitOK, "rules", "history")
	require.Contains(t, out, "Rui")
	require.Contains(t, out, "+1 -0")
	out, _ = run(t, ExitOK, "rules", "show", jsonNumber(first))
	require.Equal(t, shown, out)
	run(t, ExitFailed, "rules", "show", "999")
}

func jsonNumber(n int64) string {
	b, _ := json.Marshal(n)
	return string(b)
}

// Guards against lost updates: Ana and Rui edit the same revision and Rui applies first.
// Ana's apply must fail and show Rui's change, which must stay in force.
func TestApplyConflictShowsTheOtherChange(t *testing.T) {
	s := newTestNode(t)
	run(t, ExitOK, "rules", "apply", writeFile(t, serviceLine))
	shown, _ := run(t, ExitOK, "rules", "show")
	anaFile, ruiFile := writeFile(t, shown+"service name=ana # asked for by: Ana\n"), writeFile(t, shown+"service name=rui # asked for by: Rui\n")
	run(t, ExitOK, "rules", "apply", ruiFile, "--author", "Rui")
	_, log := run(t, ExitConflict, "rules", "apply", anaFile)
	require.Contains(t, log, "conflict: Rui changed the rules")
	require.Contains(t, log, "+ service name=rui")
	require.Contains(t, s.holder.Current().Text, "name=rui")
	require.NotContains(t, s.holder.Current().Text, "name=ana")
	out, _ := run(t, ExitConflict, "rules", "apply", anaFile, "--json")
	var conflict conflictJSON
	require.NoError(t, json.Unmarshal([]byte(out), &conflict))
	require.Equal(t, s.holder.Current().Text, conflict.CurrentText)
}

// Guards against a change that conflicts with itself: the node accepts the change, but the
// connection breaks before the response, so fennelctl sends it again. Without the same write
// id the second request would be a conflict.
func TestApplyAfterLostResponse(t *testing.T) {
	s := newTestNode(t)
	file := writeFile(t, serviceLine)
	s.dropResponses.Store(1)
	out, _ := run(t, ExitOK, "rules", "apply", file, "--base", "0")
	require.Equal(t, "accepted as revision "+jsonNumber(s.holder.Revision())+"\n", out)

	s.dropResponses.Store(applyAttempts)
	_, log := run(t, ExitFailed, "rules", "apply", writeFile(t, serviceLine+"# more\n"), "--base", jsonNumber(s.holder.Revision()), "--write-id", "w")
	require.Contains(t, log, "--write-id w")
}

func TestApplyTriesTheNextNode(t *testing.T) {
	s := newTestNode(t)
	out, _ := run(t, ExitOK, "rules", "apply", writeFile(t, serviceLine), "--server", "http://127.0.0.1:1,"+s.url)
	require.Contains(t, out, "accepted")
	_, log := run(t, ExitFailed, "rules", "apply", writeFile(t, serviceLine), "--base", "0", "--server", "http://127.0.0.1:1")
	require.Contains(t, log, "Nothing was changed.")
	_, log = run(t, ExitFailed, "rules", "show", "--server", "http://127.0.0.1:1")
	require.Contains(t, log, "127.0.0.1:1")
}

// answerTimeout is long enough for a node in this process to answer, even on a busy machine.
const answerTimeout = "2s"

// Guards against a misleading report when no node answers: "in force on 0 of 0 nodes" would
// suggest that there are no nodes. The wait must report that the state is not known, and why.
func TestWaitReportsWhenNoNodeAnswers(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	require.NoError(t, err)
	defer listener.Close()
	for _, server := range []string{"http://" + listener.Addr().String(), "http://127.0.0.1:1"} {
		out, log := run(t, ExitNotInForce, "rules", "wait", "5", "--timeout", "50ms", "--server", server)
		require.Contains(t, log, "no node answered within 50ms")
		require.NotContains(t, out, "0 of 0")
	}
}

func TestWaitListsLaggingAndSilentNodes(t *testing.T) {
	s := newTestNode(t)
	s.nodes = []operator.NodeRevision{
		{Node: "n1", Zone: "serra-a", Revision: 5, Heard: true},
		{Node: "n2", Zone: "serra-b", Revision: 4, Heard: true},
		{Node: "n3", Zone: "serra-c", Revision: 5},
	}
	out, log := run(t, ExitNotInForce, "rules", "wait", "5", "--timeout", answerTimeout)
	require.Contains(t, out, "revision 5 is in force on 1 of 3 nodes")
	require.Contains(t, out, "behind: n2 (serra-b) at 4")
	require.Contains(t, out, "not heard from: n3 (serra-c)")
	require.Contains(t, log, "waiting for revision 5: in force on 1 of 3 nodes; behind: n2 (serra-b) at 4; not heard from: n3 (serra-c)")
	out, _ = run(t, ExitNotInForce, "rules", "wait", "5", "--timeout", answerTimeout, "--json")
	require.JSONEq(t, `{"revision":5,"in_force":1,"nodes":3,"behind":["n2 (serra-b) at 4"],"unheard":["n3 (serra-c)"]}`, out)
	s.nodes = s.nodes[:1]
	out, _ = run(t, ExitOK, "rules", "apply", writeFile(t, serviceLine), "--wait")
	require.Contains(t, out, "is in force on 1 of 1 nodes")
}

func TestTLS(t *testing.T) {
	s := newTestNode(t)
	srv := httptest.NewTLSServer(s.handler)
	defer srv.Close()
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	ca := writeFile(t, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: srv.Certificate().Raw})))
	addr := strings.TrimPrefix(srv.URL, httpsScheme)
	out, _ := run(t, ExitOK, "status", "--server", addr, "--ca", ca)
	require.Contains(t, out, "node n1")
	_, stderr := run(t, ExitFailed, "status", "--server", addr)
	require.Contains(t, stderr, "certificate")
	run(t, ExitUsage, "status", "--server", addr, "--ca", writeFile(t, "no certificate"))
}

func TestUsage(t *testing.T) {
	t.Setenv("FENNELCTL_SERVER", "")
	for _, args := range [][]string{
		{}, {"rule"}, {"rules"}, {"rules", "check"}, {"rules", "wait", "x"}, {"rules", "show", "1", "2"}, {"--no-such-flag"},
		{"rules", "show"}, {"status"}, {"outages"}, {"outages", "--from", "yesterday"},
		{"outages", "--from", "2026-02-01", "--to", "2026-01-01"}, {"status", "--server", "x", "--ca", "/none"}, {"status", "--server", "x", "--cert", "y"},
	} {
		_, log := run(t, ExitUsage, args...)
		require.NotEmpty(t, log, "%q", args)
	}
	out, _ := run(t, ExitOK, "--help")
	require.Contains(t, out, "EXAMPLES")
	out, _ = run(t, ExitOK, "rules", "apply", "--help")
	require.Contains(t, out, "--write-id")
	out, _ = run(t, ExitOK, "--version")
	require.Contains(t, out, "fennelctl ")
}

func TestStatusExplainOutages(t *testing.T) {
	s := newTestNode(t)
	run(t, ExitOK, "rules", "apply", writeFile(t, serviceLine+"route path=/caixa/* to=caixa # asked for by: Ana\n"))
	out, _ := run(t, ExitOK, "status")
	for _, want := range []string{"node n1 in serra-a", "no: vm-3 missing", "escola-a", "1.5s ago"} {
		require.Contains(t, out, want)
	}
	out, _ = run(t, ExitOK, "status", "--json")
	require.Contains(t, out, `"not_ready_reason"`)
	out, _ = run(t, ExitOK, "explain", "--path", "/caixa/1")
	require.Contains(t, out, "line 2: route path=/caixa/* to=caixa")
	require.Contains(t, out, "to: service caixa")
	out, _ = run(t, ExitOK, "explain", "--path", "/x")
	require.Contains(t, out, "no rule: no route matches")
	out, _ = run(t, ExitOK, "outages", "--from", "2026-11-01", "--to", "2026-11-01T01:30:00Z", "--zone", "serra-a")
	require.Contains(t, out, "1h30m0s")
	require.Regexp(t, `fit +downtime +all +1m0s to 1h30m0s`, out)
	out, _ = run(t, ExitOK, "outages", "--from", "2026-11-01", "--to", "2026-11-02", "--json", "--server", s.url)
	var doc outagesJSON
	require.NoError(t, json.Unmarshal([]byte(out), &doc))
	require.Equal(t, int64(86400), doc.Intervals[0].Seconds)
	require.Equal(t, 60.0, doc.Totals[0].LowSeconds)
}

// After an incident the nodes may be gone, so the logs must be readable without any node.
func TestLossesNeedsNoNode(t *testing.T) {
	dir := t.TempDir()
	logFile, plotFile := filepath.Join(dir, "a.log"), filepath.Join(dir, "losses.svg")
	logLines := `time=2026-07-01T08:00:00Z level=INFO msg=serving node=entry-a zone=north
time=2026-07-01T08:00:01Z level=INFO msg="no replica" request=r1 group=large excluded=0 held=300µs err="every replica of group large is full, of 4 looked at"
time=2026-07-01T08:00:01Z level=INFO msg="no repl
`
	require.NoError(t, os.WriteFile(logFile, []byte(logLines), 0o600))
	var out, stderr bytes.Buffer
	require.Equal(t, ExitOK, Run(t.Context(), []string{"losses", "--plot", plotFile, logFile}, &out, &stderr))
	require.Contains(t, out.String(), "refused-by-us  1")
	require.Contains(t, stderr.String(), "skipped 1 lines that could not be parsed")
	require.FileExists(t, plotFile)

	for args, code := range map[string]ExitCode{"losses": ExitUsage, "losses --every 0s " + logFile: ExitUsage, "losses " + dir + "/none.log": ExitFailed} {
		require.Equal(t, code, Run(t.Context(), strings.Fields(args), io.Discard, io.Discard), args)
	}
	out.Reset()
	require.Equal(t, ExitOK, Run(t.Context(), []string{"losses", "--json", logFile}, &out, io.Discard))
	require.Contains(t, out.String(), `"refused-by-us": 1`)
}

func TestWrongServerErrorSuggestsFix(t *testing.T) {
	newTestNode(t)
	callerSrv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }))
	defer callerSrv.Close()
	_, log := run(t, ExitFailed, "--server", callerSrv.URL, "status")
	require.Contains(t, log, "is it the control address")
	plain := strings.TrimPrefix(callerSrv.URL, "http://")
	_, log = run(t, ExitFailed, "--server", plain, "status")
	require.Contains(t, log, "the node serves without TLS: give http://"+plain)
	_, log = run(t, ExitUsage, "rules", "aply", "x")
	require.Contains(t, log, `unknown command "aply", want one of check, diff, apply`)
}

package standinengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
)

const chatBody = `{"model":"assistente-fit","messages":[{"role":"user","content":"toe pressure"}],"max_tokens":5}`

type testEngine struct {
	*Server
	http *httptest.Server
}

func startEngine(t *testing.T, opts Options) *testEngine {
	t.Helper()
	opts.MemberPoll = 5 * time.Millisecond
	s := New(opts)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(func() {
		s.Close()
		h.CloseClientConnections()
		h.Close()
	})
	return &testEngine{Server: s, http: h}
}

func (e *testEngine) addr() string { return strings.TrimPrefix(e.http.URL, "http://") }

func (e *testEngine) order(t *testing.T, o engine.Order) engine.OrderResult {
	t.Helper()
	raw, _ := json.Marshal(o)
	resp, err := http.Post(e.http.URL+engine.OrdersPath, "application/json", bytes.NewReader(raw))
	require.NoError(t, err)
	defer resp.Body.Close()
	var res engine.OrderResult
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&res))
	return res
}

// assign forms generation 7 of replica r1 from the engines; the first one serves.
func assign(t *testing.T, engines ...*testEngine) {
	t.Helper()
	a := engine.Assignment{
		Replica: "r1", Generation: 7, Serving: engines[0].opts.VM, Role: engine.RoleWorker,
		Model: "assistente-fit", Addrs: map[cluster.VMID]string{},
	}
	for _, e := range engines {
		a.Members = append(a.Members, e.opts.VM)
		a.Addrs[e.opts.VM] = e.addr()
	}
	for i := len(engines) - 1; i >= 0; i-- {
		if i == 0 {
			a.Role = engine.RoleServing
		}
		res := engines[i].order(t, engine.Order{Kind: engine.OrderAssign, VM: engines[i].opts.VM, Fence: 3, Assignment: a})
		require.True(t, res.Accepted, res.Reason)
	}
	first := engines[0]
	require.Eventually(t, func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return first.healthyLocked(time.Now())
	}, 5*time.Second, time.Millisecond)
}

func (e *testEngine) send(t *testing.T, id, body string, headers ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, e.http.URL+engine.ChatPath, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set(engine.HeaderRequestID, id)
	req.Header.Set(engine.HeaderReplica, "r1")
	req.Header.Set(engine.HeaderGeneration, "7")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

type event struct {
	id   int
	data string
}

func (e event) content(t *testing.T) string {
	var c struct {
		Choices []chatChoice `json:"choices"`
	}
	require.NoError(t, json.Unmarshal([]byte(e.data), &c))
	return c.Choices[0].Delta.Content
}

// readEvents reads up to n events, or all if n is 0, and returns the read error.
func readEvents(body io.Reader, n int) (events []event, err error) {
	scan := bufio.NewScanner(body)
	next := event{}
	for (n == 0 || len(events) < n) && scan.Scan() {
		line := scan.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			next.id, _ = strconv.Atoi(v)
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			next.data = v
			events = append(events, next)
		}
	}
	return events, scan.Err()
}

func text(t *testing.T, events []event) string {
	var b strings.Builder
	for _, e := range events {
		if e.data != engine.DoneMarker {
			b.WriteString(e.content(t))
		}
	}
	return b.String()
}

func ids(events []event) (out []int) {
	for _, e := range events {
		out = append(out, e.id)
	}
	return out
}

func TestStreamIsCompleteAndDeterministic(t *testing.T) {
	e := startEngine(t, Options{VM: "vm-1"})
	assign(t, e)
	resp := e.send(t, "q1", chatBody)
	events, err := readEvents(resp.Body, 0)
	require.NoError(t, err)
	require.Equal(t, []int{1, 2, 3, 4, 5, 6, 7}, ids(events))
	require.Equal(t, Text([]byte(chatBody)), text(t, events))
	require.Equal(t, engine.DoneMarker, events[6].data)
	require.Contains(t, events[0].data, `"id":"chatcmpl-q1"`)
	require.Contains(t, events[5].data, `"finish_reason":"stop"`)
	require.Equal(t, "q1", resp.Header.Get(engine.HeaderRequestID))
	require.Equal(t, 1, e.Runs().ByRequest["q1"])
}

// A connection that breaks within an answer must not lose or repeat events: the
// client resumes on a new connection, or continues on another replica.
func TestResumeAndContinue(t *testing.T) {
	e := startEngine(t, Options{VM: "vm-1"})
	other := startEngine(t, Options{VM: "vm-2", CanContinue: true})
	assign(t, e)
	assign(t, other)
	e.SetFaults(Faults{Streams: 1, AbortAfter: 3})
	head, err := readEvents(e.send(t, "q1", chatBody).Body, 0)
	require.Error(t, err)
	require.Equal(t, []int{1, 2, 3}, ids(head))

	tail, err := readEvents(e.send(t, "q1", chatBody, engine.HeaderResumeAfter, "3").Body, 0)
	require.NoError(t, err)
	require.Equal(t, []int{4, 5, 6, 7}, ids(tail))
	require.Equal(t, Text([]byte(chatBody)), text(t, head)+text(t, tail))
	require.Equal(t, 1, e.Runs().ByRequest["q1"], "resuming must not execute the request again")

	var body map[string]any
	require.NoError(t, json.Unmarshal([]byte(chatBody), &body))
	body[engine.FieldPrefix] = text(t, head)
	raw, _ := json.Marshal(body)
	more, err := readEvents(other.send(t, "q1", string(raw), engine.HeaderResumeAfter, "3", engine.HeaderContinue, "1").Body, 0)
	require.NoError(t, err)
	require.Equal(t, tail, more, "the other replica must send the same events")

	body[engine.FieldPrefix] = "some other text"
	raw, _ = json.Marshal(body)
	refused := other.send(t, "q2", string(raw), engine.HeaderResumeAfter, "3", engine.HeaderContinue, "1")
	require.Equal(t, engine.StartedNo, refused.Header.Get(engine.HeaderStarted))
}

func TestStreamFaults(t *testing.T) {
	cases := map[string]struct {
		faults Faults
		want   []int
	}{
		"truncated": {Faults{TruncateAfter: 2}, []int{1, 2}},
		"repeated":  {Faults{Repeat: 2}, []int{1, 2, 2, 3, 4, 5, 6, 7}},
		"skipped":   {Faults{Skip: 2}, []int{1, 3, 4, 5, 6, 7}},
		"reordered": {Faults{Reorder: 2}, []int{1, 3, 2, 4, 5, 6, 7}},
	}
	e := startEngine(t, Options{VM: "vm-1"})
	assign(t, e)
	for name, c := range cases {
		e.SetFaults(c.faults)
		events, err := readEvents(e.send(t, name, chatBody).Body, 0)
		require.NoError(t, err, name)
		require.Equal(t, c.want, ids(events), name)
	}
	e.SetFaults(Faults{SwapEcho: true})
	resp := e.send(t, "q1", chatBody)
	events, err := readEvents(resp.Body, 0)
	require.NoError(t, err)
	require.NotEqual(t, "q1", resp.Header.Get(engine.HeaderRequestID))
	require.NotEqual(t, Text([]byte(chatBody)), text(t, events))
}

func TestRefusedRequestsAreNotExecuted(t *testing.T) {
	e := startEngine(t, Options{VM: "vm-1", MaxRunning: 1, MaxWaiting: 1, TokenInterval: time.Hour})
	requireRefused := func(id string, headers ...string) {
		t.Helper()
		resp := e.send(t, id, chatBody, headers...)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, engine.StartedNo, resp.Header.Get(engine.HeaderStarted))
		require.Zero(t, e.Runs().ByRequest[id])
	}
	requireRefused("idle")
	assign(t, e)
	requireRefused("other-generation", engine.HeaderGeneration, "8")
	requireRefused("other-replica", engine.HeaderReplica, "r2")
	e.SetFaults(Faults{Refuse: true})
	requireRefused("told")
	e.SetFaults(Faults{})
	e.send(t, "running", chatBody)
	e.send(t, "waiting", chatBody)
	requireRefused("full")
	resp := e.send(t, "running", chatBody)
	require.Empty(t, resp.Header.Get(engine.HeaderStarted), "the request with this ID was started")
}

// When one VM of a replica fails, the serving VM cannot generate tokens: streams
// must be aborted, not end normally, and new requests must be rejected.
func TestDeadMemberAbortsStreams(t *testing.T) {
	a := startEngine(t, Options{VM: "vm-1", TokenInterval: 20 * time.Millisecond, MemberTimeout: 300 * time.Millisecond})
	b := startEngine(t, Options{VM: "vm-2"})
	assign(t, a, b)
	resp := a.send(t, "q1", `{"model":"m","max_tokens":100000}`)
	_, err := readEvents(resp.Body, 2)
	require.NoError(t, err)
	b.Crash()
	_, err = readEvents(resp.Body, 0)
	require.Error(t, err, "the stream must be aborted")
	refused := a.send(t, "q2", chatBody)
	require.Equal(t, engine.StartedNo, refused.Header.Get(engine.HeaderStarted))
	b.Restart()
	assign(t, a, b)
	_, err = readEvents(a.send(t, "q3", chatBody).Body, 0)
	require.NoError(t, err)
}

func TestCrashMarkerAndCancel(t *testing.T) {
	crashed := make(chan struct{})
	e := startEngine(t, Options{VM: "vm-1", CrashMarker: "poison", TokenInterval: 10 * time.Millisecond, OnCrash: func() { close(crashed) }})
	assign(t, e)
	resp := e.send(t, "q1", `{"model":"m","max_tokens":100000}`)
	_, err := readEvents(resp.Body, 1)
	require.NoError(t, err)
	raw, _ := json.Marshal(engine.CancelRequest{RequestID: "q1"})
	cancel, err := http.Post(e.http.URL+engine.CancelPath, "application/json", bytes.NewReader(raw))
	require.NoError(t, err)
	cancel.Body.Close()
	_, err = readEvents(resp.Body, 0)
	require.Error(t, err, "a canceled stream must be aborted")
	_, err = readEvents(e.send(t, "q2", `{"model":"m","prompt":"poison"}`).Body, 0)
	require.Error(t, err)
	<-crashed
	require.Equal(t, 1, e.Runs().Crashes)
	_, err = http.Get(e.http.URL + engine.StatePath)
	require.Error(t, err, "a crashed engine must not answer")
}

func TestOrdersAndFencingTokens(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := startEngine(t, Options{VM: "vm-1", ChecksFence: checks, LoadTime: time.Hour})
		a := engine.Assignment{Replica: "r1", Generation: 1, Members: []cluster.VMID{"vm-1"}, Serving: "vm-1", Role: engine.RoleServing, Model: "m"}
		res := e.order(t, engine.Order{Kind: engine.OrderAssign, VM: "vm-1", Fence: 9, Assignment: a})
		require.True(t, res.Accepted)
		require.False(t, res.State.Loaded, "still loading")
		res = e.order(t, engine.Order{Kind: engine.OrderRelease, VM: "vm-1", Fence: 8})
		require.Equal(t, !checks, res.Accepted)
		require.EqualValues(t, 9, res.State.Fence)
		require.False(t, e.order(t, engine.Order{Kind: engine.OrderRelease, VM: "vm-2", Fence: 10}).Accepted)
	}
}

func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	c := newPrefixCache(Options{CacheBlocks: 2, CacheEventLag: time.Second, CacheEventGap: 2})
	now := time.Unix(100, 0)
	text := strings.Repeat("a", 3*engine.PrefixBlock)
	require.Equal(t, 3, c.touch(text, now))
	events, next := c.eventsAfter(0, now)
	require.Empty(t, events)
	require.Zero(t, next)
	events, next = c.eventsAfter(0, now.Add(time.Second))
	require.Equal(t, []int64{1, 3}, []int64{events[0].Seq, events[1].Seq})
	require.EqualValues(t, 3, next)
	require.Len(t, c.lastUse, 2)
}

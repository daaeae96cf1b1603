package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

func TestAnswersWithoutFaults(t *testing.T) {
	b := newFixture(t, 1, standinengine.Options{}, nil)
	requireCompleteStream(t, b.chat(chatStreamBody), chatStreamBody)

	r := b.chat(chatBody)
	require.Equal(t, http.StatusOK, r.status, r.body)
	var doc struct {
		Object  string          `json:"object"`
		Usage   json.RawMessage `json:"usage"`
		Choices []struct {
			Message struct {
				Content *string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	require.NoError(t, json.Unmarshal([]byte(r.body), &doc))
	require.Equal(t, standinengine.Text([]byte(chatBody)), *doc.Choices[0].Message.Content)
	require.Equal(t, "chat.completion", doc.Object)
	require.NotEmpty(t, doc.Usage)
	require.Zero(t, b.admitter.held.Load())
}

// A stream can contain another request's events, repeat, skip or reorder events, end early with
// or without an error, or stop passing data. The caller must still receive the complete answer to
// its own request.
func TestAnswerIsCompleteDespiteStreamFaults(t *testing.T) {
	faults := map[string]standinengine.Faults{
		"answer of another request":          {SwapEcho: true},
		"another's events in the middle":     {SwapFrom: 4},
		"clean end without the end marker":   {TruncateAfter: 5},
		"connection breaks":                  {AbortAfter: 5},
		"connection breaks before any event": {AbortAfter: 1},
		"event repeated":                     {Repeat: 3},
		"event skipped":                      {Skip: 4},
		"events out of order":                {Reorder: 4},
		"connection silent":                  {StallAfter: 4},
	}
	for name, f := range faults {
		for _, body := range []string{chatStreamBody, chatBody} {
			t.Run(name, func(t *testing.T) {
				b := newFixture(t, 1, standinengine.Options{MaxGap: 20 * time.Millisecond}, nil)
				f.Streams = 1
				b.engines[0].SetFaults(f)
				r := b.chat(body)
				require.Equal(t, 1, b.runs(), "a resume is not a second run")
				if body == chatStreamBody {
					requireCompleteStream(t, r, body)
					return
				}
				require.Equal(t, http.StatusOK, r.status, r.body)
				require.Contains(t, r.body, standinengine.Text([]byte(body)))
			})
		}
	}
}

// The only replica crashes in the middle of a streamed answer. The response must be aborted so
// that the caller can't take it for complete.
func TestAnswerIsAbortedIfNoReplicaIsLeft(t *testing.T) {
	b := newFixture(t, 1, standinengine.Options{TokenInterval: 5 * time.Millisecond}, func(b *fixture) { b.opts.MaxReplicaWait = 100 * time.Millisecond })
	r := b.chatDuring(chatStreamBody, func() { b.engines[0].Crash() })
	require.Error(t, r.err, "the body must not end cleanly")
	text, complete := streamText(r.body)
	require.False(t, complete)
	require.True(t, strings.HasPrefix(standinengine.Text([]byte(chatStreamBody)), text))
	require.Contains(t, r.body, `"fennel_run":"ran"`)
	require.EqualValues(t, 1, b.quarantine.crashes.Load())
	require.Zero(t, b.admitter.held.Load())
}

// A replica crashes in the middle of an answer, and the engine of another replica continues after
// the text sent so far. The caller must receive one complete answer.
func TestAnotherReplicaContinuesTheAnswer(t *testing.T) {
	b := newFixture(t, 2, standinengine.Options{TokenInterval: 5 * time.Millisecond, CanContinue: true}, nil)
	requireCompleteStream(t, b.chatDuring(chatStreamBody, func() { b.engines[0].Crash() }), chatStreamBody)
	require.Len(t, b.router.ended, 2)
}

// The connection also breaks at the replica that continues the answer. The answer must be resumed
// there and be complete.
func TestContinuedAnswerIsResumed(t *testing.T) {
	b := newFixture(t, 2, standinengine.Options{TokenInterval: 5 * time.Millisecond, CanContinue: true}, nil)
	b.engines[1].SetFaults(standinengine.Faults{AbortAfter: 8, Streams: 1})
	requireCompleteStream(t, b.chatDuring(chatStreamBody, func() { b.engines[0].Crash() }), chatStreamBody)
	require.Len(t, b.router.ended, 2)
}

// The replica fails and the next one can't continue the answer, but the caller waits for an
// unstreamed answer and has received no part of it. The request must be restarted and answered
// completely, without text of the first attempt.
func TestUnsentAnswerRestartsAtAnotherReplica(t *testing.T) {
	b := newFixture(t, 2, standinengine.Options{}, func(b *fixture) { b.opts.Prober = unreachableProber{b.opts.Prober, b.addrs[0]} })
	b.engines[0].SetFaults(standinengine.Faults{AbortAfter: 5})
	r := b.chat(chatBody)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Contains(t, r.body, `"`+standinengine.Text([]byte(chatBody))+`"`)
}

// chatDuring sends a streamed request and calls event after the first token.
func (b *fixture) chatDuring(body string, event func(), headers ...string) reply {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodPost, b.server.URL+engine.ChatPath, strings.NewReader(body))
	require.NoError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := b.server.Client().Do(req)
	require.NoError(b.t, err)
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, header: resp.Header}
	rd := bufio.NewReader(resp.Body)
	var out strings.Builder
	for fired := false; ; {
		line, err := rd.ReadString('\n')
		out.WriteString(line)
		if err != nil {
			if err.Error() != "EOF" {
				r.err = err
			}
			break
		}
		if !fired && strings.HasPrefix(line, "data: ") {
			fired = true
			event()
		}
	}
	r.body = out.String()
	return r
}

// A caller disconnects in the middle of a long answer. Without a cancel, the engine would
// keep generating while other requests wait.
func TestDisconnectCancelsRequestAtEngine(t *testing.T) {
	b := newFixture(t, 1, standinengine.Options{TokenInterval: 5 * time.Millisecond, MaxRunning: 1}, nil)
	ctx, disconnect := context.WithCancel(context.Background())
	long := strings.Replace(chatStreamBody, `"max_tokens":12`, `"max_tokens":100000`, 1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+engine.ChatPath, strings.NewReader(long))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := b.server.Client().Do(req)
	require.NoError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	disconnect()
	resp.Body.Close()
	// The engine runs one request at a time, so this one only runs after the cancel.
	requireCompleteStream(t, b.chat(chatStreamBody), chatStreamBody)
}

// A caller stops reading for a while. The engine's connection is not silent, so the answer must
// not be resumed or aborted, and must be complete.
func TestSlowReaderReceivesCompleteAnswer(t *testing.T) {
	b := newFixture(t, 1, standinengine.Options{MaxGap: 10 * time.Millisecond, TokenInterval: 50 * time.Microsecond}, nil)
	long := strings.Replace(chatStreamBody, `"max_tokens":12`, `"max_tokens":3000`, 1)
	silentBefore := silentStreams.Get()
	r := b.chatDuring(long, func() {
		// The caller pauses until the engine has generated the complete answer, which takes
		// seconds.
		ran := false
		require.Eventually(t, func() bool {
			state, err := b.opts.Prober.State(context.Background(), b.addrs[0])
			ran = ran || state.Load.Running > 0
			return err == nil && ran && state.Load.Running == 0
		}, time.Minute, 10*time.Millisecond)
	})
	requireCompleteStream(t, r, long)
	require.Equal(t, silentBefore, silentStreams.Get())
}

// A middlebox loses its state: open connections stay open but pass no data, and new ones work.
// Requests on the open connections, including those on pooled idle ones, must not wait for ever.
func TestAnswerResumesAfterSilentConnection(t *testing.T) {
	var proxy *tcpProxy
	b := newFixture(t, 1, standinengine.Options{MaxGap: 50 * time.Millisecond, TokenInterval: 5 * time.Millisecond}, func(b *fixture) {
		proxy = newTCPProxy(b.t, b.addrs[0])
		b.router.choices[0].Addr = proxy.addr()
	})
	// Two concurrent answers leave two idle connections.
	requireCompleteStream(t, b.chatDuring(chatStreamBody, func() { requireCompleteStream(t, b.chat(chatStreamBody), chatStreamBody) }), chatStreamBody)
	require.Equal(t, 2, proxy.connections())
	silentBefore := silentStreams.Get()
	requireCompleteStream(t, b.chatDuring(chatStreamBody, proxy.mute), chatStreamBody)
	require.Equal(t, silentBefore+1, silentStreams.Get())
	before := proxy.connections()
	requireCompleteStream(t, b.chat(chatStreamBody), chatStreamBody)
	require.LessOrEqual(t, proxy.connections(), before+1, "at most one new connection: no dead connection is retried")
	require.Equal(t, silentBefore+1, silentStreams.Get(), "a later request must not use a dead connection")
	require.Equal(t, 4, b.runs())
}

// A request is sent on an idle connection that passes no data and never reaches the engine, which
// then can't resume it. The replica is healthy and the only one, so excluding it would make the
// request fail.
func TestRequestLostOnDeadConnectionIsResent(t *testing.T) {
	var proxy *tcpProxy
	b := newFixture(t, 1, standinengine.Options{}, func(b *fixture) {
		proxy = newTCPProxy(b.t, b.addrs[0])
		b.router.choices[0].Addr = proxy.addr()
		b.opts.Streamer = engine.NewStreamer(b.opts.Pools, 200*time.Millisecond)
	})
	requireCompleteStream(t, b.chat(chatStreamBody), chatStreamBody) // leaves an idle connection
	proxy.mute()
	requireCompleteStream(t, b.chat(chatStreamBody), chatStreamBody)
	require.Equal(t, 2, b.runs())
}

func TestInvalidRequestsAreRefusedBeforeDispatch(t *testing.T) {
	b := newFixture(t, 1, standinengine.Options{}, func(b *fixture) { b.opts.MaxBody = 1 << 10 })
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     fennelerr.Code
		param                    string
	}{
		{"not JSON", "POST", engine.ChatPath, `{"model":`, nil, 400, fennelerr.InvalidRequest, ""},
		{"wrong type", "POST", engine.ChatPath, `{"model":7}`, nil, 400, fennelerr.InvalidRequest, "model"},
		{"null", "POST", engine.ChatPath, `null`, nil, 400, fennelerr.InvalidRequest, ""},
		{"no messages", "POST", engine.ChatPath, `{"model":"assistente-fit","messages":[]}`, nil, 400, fennelerr.InvalidRequest, "messages"},
		{"no prompt", "POST", engine.CompletionsPath, `{"model":"assistente-fit"}`, nil, 400, fennelerr.InvalidRequest, "prompt"},
		{"no model", "POST", engine.ChatPath, `{"messages":[{"role":"user","content":"a"}]}`, nil, 400, fennelerr.InvalidRequest, "model"},
		{"unknown model", "POST", engine.ChatPath, `{"model":"x","messages":[{"role":"user","content":"a"}]}`, nil, 404, fennelerr.ModelNotFound, "model"},
		{"no answers", "POST", engine.ChatPath, strings.Replace(chatBody, `{`, `{"n":0,`, 1), nil, 400, fennelerr.InvalidRequest, "n"},
		{"no tokens", "POST", engine.ChatPath, strings.Replace(chatBody, `12`, `0`, 1), nil, 400, fennelerr.InvalidRequest, "max_tokens"},
		{"too large", "POST", engine.ChatPath, strings.Repeat("x", 2<<10), nil, 413, fennelerr.TooLarge, ""},
		{"wrong method", "GET", engine.ChatPath, "", nil, 400, fennelerr.InvalidRequest, ""},
		{"options no object", "POST", engine.ChatPath, strings.Replace(chatBody, `{`, `{"stream_options":7,`, 1), nil, 400, fennelerr.InvalidRequest, "stream_options"},
		{"bad token", "POST", engine.ChatPath, chatBody, []string{"Authorization", "Bearer no"}, 401, fennelerr.Unauthenticated, "Authorization"},
		{"no token", "POST", engine.ChatPath, chatBody, []string{"Authorization", ""}, 401, fennelerr.Unauthenticated, "Authorization"},
		{"unknown path", "POST", "/nowhere", "{}", nil, 404, fennelerr.NotFound, "path"},
		{"bad timeout", "POST", engine.ChatPath, chatBody, []string{HeaderTimeoutMs, "soon"}, 400, fennelerr.InvalidRequest, HeaderTimeoutMs},
		{"deposit without key", "POST", "/deposits/1", "{}", nil, 400, fennelerr.KeyRequired, HeaderIdempotencyKey},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := b.send(c.method, c.path, c.body, c.header...)
			require.Equal(t, c.status, r.status, r.body)
			var doc struct {
				Error struct {
					Message string         `json:"message"`
					Code    fennelerr.Code `json:"code"`
					Param   string         `json:"param"`
				} `json:"error"`
			}
			require.NoError(t, json.Unmarshal([]byte(r.body), &doc))
			require.Equal(t, c.code, doc.Error.Code)
			require.Equal(t, c.param, doc.Error.Param)
			require.NotEmpty(t, doc.Error.Message)
			require.Equal(t, string(fennelerr.NotRun), r.header.Get(HeaderRun))
		})
	}
	require.Zero(t, b.runs())
}

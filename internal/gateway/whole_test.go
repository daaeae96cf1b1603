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
	b := newBench(t, 1, standinengine.Options{}, nil)
	requireWhole(t, b.chat(chatStrm), chatStrm)

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

// Streams of engines break in many ways: an answer for somebody else arrives,
// events are repeated, skipped or out of order, the connection ends early with
// or without an error, or goes silent. The user at the bench would read another
// skier's liner note, or one that stops in the middle and looks finished.
func TestStreamFaultsGiveTheWholeAnswer(t *testing.T) {
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
		for _, body := range []string{chatStrm, chatBody} {
			t.Run(name, func(t *testing.T) {
				b := newBench(t, 1, standinengine.Options{MaxGap: 20 * time.Millisecond}, nil)
				f.Streams = 1
				b.engines[0].SetFaults(f)
				r := b.chat(body)
				require.Equal(t, 1, b.runs(), "a resume is not a second run")
				if body == chatStrm {
					requireWhole(t, r, body)
					return
				}
				require.Equal(t, http.StatusOK, r.status, r.body)
				require.Contains(t, r.body, standinengine.Text([]byte(body)))
			})
		}
	}
}

// The only replica dies while it streams and no other can take over. The fitter
// must see that the advice broke off, and must not take half of it for all.
func TestReplicaLostWithoutSuccessorAbortsTheAnswer(t *testing.T) {
	b := newBench(t, 1, standinengine.Options{TokenInterval: 5 * time.Millisecond}, nil)
	r := b.chatWhile(chatStrm, func() { b.engines[0].Crash() })
	require.Error(t, r.err, "the body must not end cleanly")
	text, whole := streamText(r.body)
	require.False(t, whole)
	require.True(t, strings.HasPrefix(standinengine.Text([]byte(chatStrm)), text))
	require.Contains(t, r.body, `"fennel_run":"ran"`)
	require.EqualValues(t, 1, b.quarantine.crashes.Load())
	require.Zero(t, b.admitter.held.Load())
}

// One machine of the replica dies in the middle of an answer, and another
// replica's engine can go on from the text so far. The fitter sees one answer.
func TestAnotherReplicaContinuesTheAnswer(t *testing.T) {
	b := newBench(t, 2, standinengine.Options{TokenInterval: 5 * time.Millisecond, CanContinue: true}, nil)
	requireWhole(t, b.chatWhile(chatStrm, func() { b.engines[0].Crash() }), chatStrm)
	require.Len(t, b.router.ended, 2)
}

// A second fault hits the answer that another replica continues: its connection
// breaks too. The answer is resumed there, and still comes whole.
func TestContinuedAnswerIsResumed(t *testing.T) {
	b := newBench(t, 2, standinengine.Options{TokenInterval: 5 * time.Millisecond, CanContinue: true}, nil)
	b.engines[1].SetFaults(standinengine.Faults{AbortAfter: 8, Streams: 1})
	requireWhole(t, b.chatWhile(chatStrm, func() { b.engines[0].Crash() }), chatStrm)
	require.Len(t, b.router.ended, 2)
}

// The replica dies, the next one cannot continue, and the caller waits for the
// answer in one piece, of which it has nothing yet: it is made anew, once, whole.
func TestUnsentAnswerRestartsElsewhere(t *testing.T) {
	b := newBench(t, 2, standinengine.Options{}, func(b *bench) { b.opts.Prober = deadProbes{b.opts.Prober, b.addrs[0]} })
	b.engines[0].SetFaults(standinengine.Faults{AbortAfter: 5})
	r := b.chat(chatBody)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Contains(t, r.body, `"`+standinengine.Text([]byte(chatBody))+`"`)
}

// chatWhile streams and calls event once the first token has come.
func (b *bench) chatWhile(body string, event func()) reply {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodPost, b.server.URL+engine.ChatPath, strings.NewReader(body))
	require.NoError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
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

// The caller hangs up in the middle of a long answer. Without a cancel the
// engine would go on generating for nobody while others queue at the counter.
func TestCallerGoneCancelsAtTheEngine(t *testing.T) {
	b := newBench(t, 1, standinengine.Options{TokenInterval: 5 * time.Millisecond, MaxRunning: 1}, nil)
	ctx, hangUp := context.WithCancel(context.Background())
	long := strings.Replace(chatStrm, `"max_tokens":12`, `"max_tokens":100000`, 1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+engine.ChatPath, strings.NewReader(long))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := b.server.Client().Do(req)
	require.NoError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	require.NoError(t, err)
	hangUp()
	resp.Body.Close()
	// The engine runs one request at a time, so this answer comes only after the cancel.
	requireWhole(t, b.chat(chatStrm), chatStrm)
}

// A caller reads nothing for a while, as on a phone in a lift. The engine has not
// gone silent, so nothing may be resumed or cut, and the answer must come whole.
func TestSlowReaderGetsTheWholeAnswer(t *testing.T) {
	b := newBench(t, 1, standinengine.Options{MaxGap: 10 * time.Millisecond, TokenInterval: 50 * time.Microsecond}, nil)
	long := strings.Replace(chatStrm, `"max_tokens":12`, `"max_tokens":3000`, 1)
	silentBefore := silentStreams.Get()
	r := b.chatWhile(long, func() {
		// The caller pauses until the engine has made the whole answer, seconds later.
		ran := false
		require.Eventually(t, func() bool {
			state, err := b.opts.Prober.State(context.Background(), b.addrs[0])
			ran = ran || state.Load.Running > 0
			return err == nil && ran && state.Load.Running == 0
		}, time.Minute, 10*time.Millisecond)
	})
	requireWhole(t, r, long)
	require.Equal(t, silentBefore, silentStreams.Get())
}

// A middlebox loses track of the connections that are open: they stay open and
// pass nothing, while new ones work. Unnoticed, every fitter whose answer runs,
// and everyone given an idle connection, waits for ever.
func TestSilentConnectionsAreLeftAndResumed(t *testing.T) {
	var rel *relay
	b := newBench(t, 1, standinengine.Options{MaxGap: 50 * time.Millisecond, TokenInterval: 5 * time.Millisecond}, func(b *bench) {
		rel = newRelay(b.t, b.addrs[0])
		b.router.choices[0].Addr = rel.addr()
	})
	// Two answers at once leave two idle connections behind.
	requireWhole(t, b.chatWhile(chatStrm, func() { requireWhole(t, b.chat(chatStrm), chatStrm) }), chatStrm)
	require.Equal(t, 2, rel.connections())
	silentBefore := silentStreams.Get()
	requireWhole(t, b.chatWhile(chatStrm, rel.mute), chatStrm)
	require.Equal(t, silentBefore+1, silentStreams.Get())
	before := rel.connections()
	requireWhole(t, b.chat(chatStrm), chatStrm)
	require.LessOrEqual(t, rel.connections(), before+1, "no dead connection was tried again")
	require.Equal(t, silentBefore+1, silentStreams.Get(), "a later request must not join a dead connection")
	require.Equal(t, 4, b.runs())
}

// A request goes out on an idle connection that has gone silent and never reaches
// the engine, which then knows nothing to resume. The replica is sound, and here
// the only one: leaving it aside would refuse the fitter for no reason.
func TestRequestLostOnADeadConnectionIsSentAgain(t *testing.T) {
	var rel *relay
	b := newBench(t, 1, standinengine.Options{}, func(b *bench) {
		rel = newRelay(b.t, b.addrs[0])
		b.router.choices[0].Addr = rel.addr()
		b.opts.Streamer = engine.NewStreamer(b.opts.Pools, 200*time.Millisecond)
	})
	requireWhole(t, b.chat(chatStrm), chatStrm) // leaves an idle connection behind
	rel.mute()
	requireWhole(t, b.chat(chatStrm), chatStrm)
	require.Equal(t, 2, b.runs())
}

func TestBadInputIsRefusedAndNothingDispatched(t *testing.T) {
	b := newBench(t, 1, standinengine.Options{}, func(b *bench) { b.opts.MaxBody = 1 << 10 })
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

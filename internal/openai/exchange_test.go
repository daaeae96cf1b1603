package openai

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

const (
	plainBody      = `{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}]}`
	streamBody     = `{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}],"stream":true}`
	twoChoicesBody = `{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}],"n":2}`
)

func newTestExchange(t *testing.T, body string) (call.Exchange, *httptest.ResponseRecorder) {
	t.Helper()
	modelCall, err := Protocol{}.Parse(engine.ChatPath, []byte(body))
	require.NoError(t, err)
	rec := httptest.NewRecorder()
	x := modelCall.NewExchange(call.Caller{W: rec, RequestID: "r", WriteTimeout: time.Minute, KeepAlive: time.Minute})
	t.Cleanup(x.Close)
	return x, rec
}

// checkAndForward passes one event through Check and Forward.
func checkAndForward(x call.Exchange, id int64, data string) error {
	ev := engine.Event{ID: id, Data: []byte(data)}
	if err := x.Check("engine-1", ev); err != nil {
		return err
	}
	return x.Forward(ev)
}

const (
	firstChunk = `{"id":"chatcmpl-r","choices":[{"index":0,"delta":{"content":"warm "}}]}`
	lastChunk  = `{"id":"chatcmpl-r","choices":[{"index":0,"delta":{"content":"shell"},"finish_reason":"stop"}]}`
)

// An engine that lost the last events of a response can still send its end marker. Without
// a finish reason the truncated response must not be delivered as complete.
func TestEndMarkerWithoutFinishReasonIsRejected(t *testing.T) {
	x, _ := newTestExchange(t, plainBody)
	require.NoError(t, checkAndForward(x, 1, firstChunk))
	err := x.Check("engine-1", engine.Event{Done: true})
	_, broken := errors.Into[*engine.BrokenError](err)
	require.True(t, broken, "%v", err)
	require.NoError(t, checkAndForward(x, 2, lastChunk))
	require.NoError(t, x.Check("engine-1", engine.Event{Done: true}))
	require.NoError(t, x.Forward(engine.Event{Done: true}))
}

// A connection can deliver the response to another caller's request. Its events must not
// be forwarded, since they would disclose that caller's data.
func TestEventOfAnotherRequestIsNotForwarded(t *testing.T) {
	for name, body := range map[string]string{"whole": plainBody, "stream": streamBody} {
		t.Run(name, func(t *testing.T) {
			x, rec := newTestExchange(t, body)
			err := checkAndForward(x, 1, `{"id":"chatcmpl-other","choices":[{"index":0,"delta":{"content":"x"}}]}`)
			mismatch, ok := errors.Into[*engine.MismatchError](err)
			require.True(t, ok, "%v", err)
			require.Equal(t, "chatcmpl-r", mismatch.Want)
			require.Zero(t, x.LastEventID())
			require.Empty(t, rec.Body.String())
		})
	}
}

// A replica fails before the caller has received anything. Its events are discarded: the
// response of the next replica must not begin with the text of the first.
func TestResetDiscardsEvents(t *testing.T) {
	x, rec := newTestExchange(t, plainBody)
	require.NoError(t, checkAndForward(x, 1, firstChunk))
	require.False(t, x.ResponseStarted())
	x.Reset()
	require.Zero(t, x.LastEventID())
	require.NoError(t, checkAndForward(x, 1, lastChunk))
	require.NoError(t, x.Finish())
	require.Contains(t, string(x.ResponseDocument()), `"content":"shell"`)
	require.Equal(t, string(x.ResponseDocument()), rec.Body.String())
	require.Equal(t, string(fennelerr.Ran), rec.Header().Get(call.HeaderRun))
}

// Another engine can only continue the text of a single choice: it gets one prefix, which
// cannot represent tool calls or several choices.
func TestOnlyTextOfOneChoiceCanContinue(t *testing.T) {
	x, rec := newTestExchange(t, streamBody)
	require.NoError(t, checkAndForward(x, 1, firstChunk))
	require.True(t, x.ResponseStarted())
	require.True(t, x.CanContinue())
	require.Nil(t, x.ResponseDocument())
	body, err := x.RequestBody(true)
	require.NoError(t, err)
	require.Contains(t, string(body), `"warm "`)
	require.Contains(t, rec.Body.String(), "warm ")
	require.NoError(t, checkAndForward(x, 2, `{"id":"chatcmpl-r","choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]}`))
	require.False(t, x.CanContinue(), "a tool call")

	twoChoices, _ := newTestExchange(t, twoChoicesBody)
	require.False(t, twoChoices.CanContinue(), "two choices")
}

// A rejection is decoded from an error document; a body that is none yields empty results,
// so that the gateway can still report the rejection.
func TestParseRejection(t *testing.T) {
	refusal := fennelerr.Invalid("max_tokens", "too many")
	message, field := Protocol{}.ParseRejection(Protocol{}.Error(refusal, "r"))
	require.Equal(t, "too many", message)
	require.Equal(t, "max_tokens", field)
	message, field = Protocol{}.ParseRejection([]byte("<html>"))
	require.Empty(t, message+field)
}

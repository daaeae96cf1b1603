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
	wholeBody  = `{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}]}`
	streamBody = `{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}],"stream":true}`
	twoChoices = `{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}],"n":2}`
)

func begin(t *testing.T, body string) (call.Exchange, *httptest.ResponseRecorder) {
	t.Helper()
	asked, err := Protocol{}.Parse(engine.ChatPath, []byte(body))
	require.NoError(t, err)
	seen := httptest.NewRecorder()
	x := asked.NewExchange(call.Caller{W: seen, RequestID: "r", WriteTimeout: time.Minute, KeepAlive: time.Minute})
	t.Cleanup(x.Close)
	return x, seen
}

// feed checks and passes on one event.
func feed(x call.Exchange, id int64, data string) error {
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

// An engine loses the last events of an answer and still sends its end marker. The
// fitter would read half an advice as a whole one.
func TestEndMarkerAloneDoesNotMakeAnAnswerWhole(t *testing.T) {
	x, _ := begin(t, wholeBody)
	require.NoError(t, feed(x, 1, firstChunk))
	err := x.Check("engine-1", engine.Event{Done: true})
	_, broken := errors.Into[*engine.BrokenError](err)
	require.True(t, broken, "%v", err)
	require.NoError(t, feed(x, 2, lastChunk))
	require.NoError(t, x.Check("engine-1", engine.Event{Done: true}))
	require.NoError(t, x.Forward(engine.Event{Done: true}))
}

// A connection brings the answer to another caller's request. Passed on, one skier
// would read the notes about another.
func TestAnotherCallsEventIsNotPassedOn(t *testing.T) {
	for name, body := range map[string]string{"whole": wholeBody, "stream": streamBody} {
		t.Run(name, func(t *testing.T) {
			x, seen := begin(t, body)
			err := feed(x, 1, `{"id":"chatcmpl-other","choices":[{"index":0,"delta":{"content":"x"}}]}`)
			mismatch, ok := errors.Into[*engine.MismatchError](err)
			require.True(t, ok, "%v", err)
			require.Equal(t, "chatcmpl-r", mismatch.Want)
			require.Zero(t, x.LastEventID())
			require.Empty(t, seen.Body.String())
		})
	}
}

// A replica dies under a request whose caller has nothing yet. What came so far is
// dropped with it: the next replica's answer must not begin with the first one's words.
func TestRestartDropsWhatCame(t *testing.T) {
	x, seen := begin(t, wholeBody)
	require.NoError(t, feed(x, 1, firstChunk))
	require.False(t, x.ResponseStarted())
	x.Reset()
	require.Zero(t, x.LastEventID())
	require.NoError(t, feed(x, 1, lastChunk))
	require.NoError(t, x.Finish())
	require.Contains(t, string(x.ResponseDocument()), `"content":"shell"`)
	require.Equal(t, string(x.ResponseDocument()), seen.Body.String())
	require.Equal(t, string(fennelerr.Ran), seen.Header().Get(call.HeaderRun))
}

// Another engine can only go on after text of a single choice; it would mix up the
// parts of anything else.
func TestOnlyPlainTextGoesOnElsewhere(t *testing.T) {
	x, seen := begin(t, streamBody)
	require.NoError(t, feed(x, 1, firstChunk))
	require.True(t, x.ResponseStarted())
	require.True(t, x.CanContinue())
	require.Nil(t, x.ResponseDocument())
	body, err := x.RequestBody(true)
	require.NoError(t, err)
	require.Contains(t, string(body), `"warm "`)
	require.Contains(t, seen.Body.String(), "warm ")
	require.NoError(t, feed(x, 2, `{"id":"chatcmpl-r","choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]}`))
	require.False(t, x.CanContinue(), "a tool call")

	two, _ := begin(t, twoChoices)
	require.False(t, two.CanContinue(), "two choices")
}

// A rejection without a document still has to become an answer.
func TestRejection(t *testing.T) {
	refusal := fennelerr.Invalid("max_tokens", "too many")
	message, field := Protocol{}.ParseRejection(Protocol{}.Error(refusal, "r"))
	require.Equal(t, "too many", message)
	require.Equal(t, "max_tokens", field)
	message, field = Protocol{}.ParseRejection([]byte("<html>"))
	require.Empty(t, message+field)
}

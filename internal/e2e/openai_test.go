package e2e

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/gateway"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

// attempt is one HTTP exchange of the client library.
type attempt struct {
	at       time.Time
	response *http.Response
}

// openaiClient is OpenAI's library, unchanged. Each of its exchanges is appended to
// attempts; onAnswer, which may be nil, runs after each.
func openaiClient(n *node, attempts *[]attempt, onAnswer func(*http.Response)) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+n.callers+"/v1/"), option.WithAPIKey(token), option.WithMaxRetries(4),
		option.WithMiddleware(func(req *http.Request, next option.MiddlewareNext) (*http.Response, error) {
			a := attempt{at: time.Now()}
			resp, err := next(req)
			a.response = resp
			*attempts = append(*attempts, a)
			if onAnswer != nil && resp != nil {
				onAnswer(resp)
			}
			return resp, err
		}))
}

func chatParams(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "assistente-fit", MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// wantChat is the text that engines generate for chatParams.
func wantChat(prompt string, tokens string) string {
	return standinengine.Text([]byte(`{"model":"assistente-fit","max_tokens":` + tokens + `,"messages":[{"role":"user","content":"` + prompt + `"}]}`))
}

// Callers use OpenAI's library, which must work unchanged.
func TestOpenAIClient(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.startEngine("serra-a", "rack-1")
	}
	s.publish()
	n := s.startNode("serra-a-1", "serra-a", "", "")
	s.applyRules(baseRules)
	s.awaitServing(n)
	ctx := t.Context()
	var attempts []attempt
	client := openaiClient(n, &attempts, nil)

	chat, err := client.Chat.Completions.New(ctx, chatParams("narrow heel", 8))
	require.NoError(t, err)
	require.Equal(t, wantChat("narrow heel", "8"), chat.Choices[0].Message.Content)
	require.Equal(t, "stop", chat.Choices[0].FinishReason)
	require.EqualValues(t, 8, chat.Usage.CompletionTokens)

	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("wide toe box", 12))
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		require.True(t, acc.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, wantChat("wide toe box", "12"), acc.Choices[0].Message.Content)

	text, err := client.Completions.New(ctx, openai.CompletionNewParams{
		Model: "assistente-fit", MaxTokens: openai.Int(5), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("paper weights")},
	})
	require.NoError(t, err)
	require.Equal(t, standinengine.Text([]byte(`{"model":"assistente-fit","max_tokens":5,"prompt":"paper weights"}`)), text.Choices[0].Text)

	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	require.Len(t, models.Data, 1)
	require.Equal(t, "assistente-fit", models.Data[0].ID)

	attempts = nil
	params := chatParams("hello", 1)
	params.Model = "no-such-model"
	_, err = client.Chat.Completions.New(ctx, params)
	apiErr, ok := errors.Into[*openai.Error](err)
	require.True(t, ok, "%v", err)
	require.Equal(t, http.StatusNotFound, apiErr.StatusCode)
	require.Equal(t, string(fennelerr.ModelNotFound), apiErr.Type)
	require.Equal(t, string(fennelerr.ModelNotFound), apiErr.Code)
	require.Equal(t, "model", apiErr.Param)
	require.Contains(t, apiErr.Message, "no-such-model")
	require.Len(t, attempts, 1, "a final error must not be retried")
}

// All replicas refuse for a moment. The library must be told when to retry, retry then
// and get its answer. It must also detect that a stream whose replica died is incomplete.
func TestOpenAIClientUnderFaults(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.startEngine("serra-a", "rack-1")
	}
	s.publish()
	n := s.startNode("serra-a-1", "serra-a", "", "")
	s.applyRules(baseRules)
	s.awaitServing(n)

	s.engineFaults(standinengine.Faults{Refuse: true})
	var attempts []attempt
	client := openaiClient(n, &attempts, func(r *http.Response) {
		if r.StatusCode != http.StatusOK {
			s.engineFaults(standinengine.Faults{})
		}
	})
	chat, err := client.Chat.Completions.New(t.Context(), chatParams("cold toes", 4))
	require.NoError(t, err)
	require.Equal(t, wantChat("cold toes", "4"), chat.Choices[0].Message.Content)
	require.GreaterOrEqual(t, len(attempts), 2)
	for i, a := range attempts[:len(attempts)-1] {
		require.Equal(t, string(fennelerr.NotRun), a.response.Header.Get(gateway.HeaderRun))
		seconds, err := strconv.Atoi(a.response.Header.Get("Retry-After"))
		require.NoError(t, err)
		require.GreaterOrEqual(t, attempts[i+1].at.Sub(a.at), time.Duration(seconds)*time.Second, "the library retried early")
	}

	s.engineFaults(slowFaults)
	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("a long one", 200))
	require.True(t, stream.Next())
	s.engines[s.vms[1].ID].kill()
	for stream.Next() {
	}
	require.Error(t, stream.Err(), "an incomplete answer must not look complete")
}

package standinengine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// DefaultMaxTokens is the answer length of requests that set no limit.
const DefaultMaxTokens = 16

// created is the creation time in every chunk. It is constant so that answers can be
// compared byte by byte.
const created = 1_700_000_000

var vocabulary = strings.Fields(`shell liner boot flex cuff last toe heel instep buckle canting
	wax edge pigment ochre umber cobalt paper grain weight brush sable oil gum wash glaze size
	water tone warm cool dry firm soft narrow wide left right one two three`)

// completionRequest holds the fields of a request body that the engine uses.
type completionRequest struct {
	Model               string           `json:"model"`
	Messages            []engine.Message `json:"messages"`
	Prompt              json.RawMessage  `json:"prompt"`
	Seed                int64            `json:"seed"`
	MaxTokens           int              `json:"max_tokens"`
	MaxCompletionTokens int              `json:"max_completion_tokens"`
	Prefix              string           `json:"fennel_prefix"`
}

func (r *completionRequest) promptText() string { return engine.PromptText(r.Messages, r.Prompt) }

func (r *completionRequest) tokenCount() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return DefaultMaxTokens
}

// tokens returns the answer's tokens, which depend only on model, prompt, seed and
// length.
func (r *completionRequest) tokens() []string {
	seed := xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", r.Model, r.Seed, r.promptText()))
	rnd := rand.New(rand.NewPCG(seed, 0))
	out := make([]string, r.tokenCount())
	for i := range out {
		out[i] = vocabulary[rnd.IntN(len(vocabulary))]
		if i > 0 {
			out[i] = " " + out[i]
		}
	}
	return out
}

// Generate returns the tokens of the answer to the request body, which are the same
// on every engine. It returns nil if the body is not valid JSON.
func Generate(body []byte) []string {
	var r completionRequest
	if json.Unmarshal(body, &r) != nil {
		return nil
	}
	return r.tokens()
}

// Text returns the complete text of the answer to the request body.
func Text(body []byte) string { return strings.Join(Generate(body), "") }

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type chunk struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []any  `json:"choices"`
	Usage   *usage `json:"usage,omitempty"`
}

// answer renders the events of one request: one for each token, then the chunk with
// the finish reason, then the done marker.
type answer struct {
	chat   bool
	id     string
	req    completionRequest
	tokens []string
}

func newAnswer(path, requestID string, req completionRequest) *answer {
	a := &answer{chat: path == engine.ChatPath, req: req, tokens: req.tokens()}
	a.id = "cmpl-" + requestID
	if a.chat {
		a.id = "chatcmpl-" + requestID
	}
	return a
}

// eventCount returns the number of events in the complete stream.
func (a *answer) eventCount() int { return len(a.tokens) + 2 }

// data returns the data field of event n, counted from 1.
func (a *answer) data(n int) string {
	if n == a.eventCount() {
		return engine.DoneMarker
	}
	c := chunk{ID: a.id, Object: "text_completion", Created: created, Model: a.req.Model}
	if a.chat {
		c.Object = "chat.completion.chunk"
	}
	text, finish := "", (*string)(nil)
	if n <= len(a.tokens) {
		text = a.tokens[n-1]
	} else {
		stop := "stop"
		finish = &stop
		prompt := len(strings.Fields(a.req.promptText()))
		c.Usage = &usage{PromptTokens: prompt, CompletionTokens: len(a.tokens), TotalTokens: prompt + len(a.tokens)}
	}
	c.Choices = []any{a.choice(n, text, finish)}
	raw, _ := json.Marshal(c) // cannot fail for structs of strings and numbers
	return string(raw)
}

func (a *answer) choice(n int, text string, finish *string) any {
	if !a.chat {
		return textChoice{Text: text, FinishReason: finish}
	}
	d := delta{Content: text}
	if n == 1 {
		d.Role = "assistant"
	}
	return chatChoice{Delta: d, FinishReason: finish}
}

package openai

import (
	"encoding/json"
	"strings"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// chunk is one event of an engine's stream, as far as the gateway reads it.
type chunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	System  string          `json:"system_fingerprint,omitempty"`
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        chunkDelta      `json:"delta"`
	Text         string          `json:"text"`
	FinishReason *string         `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs"`
}

type chunkDelta struct {
	Role      string      `json:"role"`
	Content   string      `json:"content"`
	Refusal   string      `json:"refusal"`
	Reasoning string      `json:"reasoning_content"`
	ToolCalls []chunkTool `json:"tool_calls"`
}

type chunkTool struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// idPrefixes are what engines put before the request id in a chunk's id.
var idPrefixes = map[string]string{engine.ChatPath: "chatcmpl-", engine.CompletionsPath: "cmpl-"}

func chunkID(path, requestID string) string { return idPrefixes[path] + requestID }

// progress tracks how far an answer has come.
type progress struct {
	// lastID is the id of the last event taken in.
	lastID int64
	// text is the text of choice 0 so far, for continuing on another replica.
	text strings.Builder
	// plain stays true while the answer is text of a single choice.
	plain    bool
	seen     map[int]bool
	finished map[int]bool
}

func newProgress() *progress {
	return &progress{plain: true, seen: map[int]bool{}, finished: map[int]bool{}}
}

func (p *progress) add(id int64, c *chunk) {
	p.lastID = id
	for i := range c.Choices {
		choice := &c.Choices[i]
		p.seen[choice.Index] = true
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			p.finished[choice.Index] = true
		}
		if choice.Index != 0 || len(choice.Delta.ToolCalls) > 0 || choice.Delta.Reasoning != "" {
			p.plain = false
		}
		p.text.WriteString(choice.Delta.Content)
		p.text.WriteString(choice.Text)
	}
}

// whole reports whether every one of n choices has come to its end. A stream's
// end marker alone does not prove it: an engine that lost events could still send one.
func (p *progress) whole(n int) bool {
	return len(p.finished) >= n && len(p.finished) == len(p.seen)
}

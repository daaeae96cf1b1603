package openai

import (
	"encoding/json"
	"strings"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// chunk is one event of an engine's stream, with the fields that the gateway reads.
type chunk struct {
	ID                string          `json:"id"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint,omitempty"`
	Choices           []chunkChoice   `json:"choices"`
	Usage             json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Index        int             `json:"index"`
	Delta        chunkDelta      `json:"delta"`
	Text         string          `json:"text"`
	FinishReason *string         `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs"`
}

type chunkDelta struct {
	Role             string          `json:"role"`
	Content          string          `json:"content"`
	Refusal          string          `json:"refusal"`
	ReasoningContent string          `json:"reasoning_content"`
	ToolCalls        []toolCallDelta `json:"tool_calls"`
}

type toolCallDelta struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// idPrefixes maps paths to the prefix that engines put before the request id in a chunk's id.
var idPrefixes = map[string]string{engine.ChatPath: "chatcmpl-", engine.CompletionsPath: "cmpl-"}

func chunkID(path, requestID string) string { return idPrefixes[path] + requestID }

// progress tracks which part of a response has been received.
type progress struct {
	// lastID is the id of the last event added.
	lastID int64
	// text is the text of choice 0 so far, used to continue on another replica.
	text strings.Builder
	// plainText is true as long as the response is text of a single choice.
	plainText bool
	seen      map[int]bool
	finished  map[int]bool
}

func newProgress() *progress {
	return &progress{plainText: true, seen: map[int]bool{}, finished: map[int]bool{}}
}

func (p *progress) add(id int64, c *chunk) {
	p.lastID = id
	for i := range c.Choices {
		choice := &c.Choices[i]
		p.seen[choice.Index] = true
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			p.finished[choice.Index] = true
		}
		if choice.Index != 0 || len(choice.Delta.ToolCalls) > 0 || choice.Delta.ReasoningContent != "" {
			p.plainText = false
		}
		p.text.WriteString(choice.Delta.Content)
		p.text.WriteString(choice.Text)
	}
}

// complete reports whether at least n choices, and all that the stream contains, have a
// finish reason. The stream's end marker alone is no proof of a complete response: an
// engine that lost events could still send one.
func (p *progress) complete(n int) bool {
	return len(p.finished) >= n && len(p.finished) == len(p.seen)
}

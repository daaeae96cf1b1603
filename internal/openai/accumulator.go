package openai

import (
	"encoding/json"
	"sort"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// accumulator builds the complete response for a caller that did not request a stream.
type accumulator struct {
	first   *chunk
	usage   json.RawMessage
	choices map[int]*accumulatedChoice
}

type accumulatedChoice struct {
	message  message
	text     string
	finish   *string
	logprobs logprobs
}

type logprobs struct {
	Content []json.RawMessage `json:"content,omitempty"`
	Refusal []json.RawMessage `json:"refusal,omitempty"`
}

type message struct {
	Role             string     `json:"role"`
	Content          *string    `json:"content"`
	Refusal          *string    `json:"refusal"`
	ReasoningContent string     `json:"reasoning_content,omitempty"`
	ToolCalls        []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

type response struct {
	ID                string           `json:"id"`
	Object            string           `json:"object"`
	Created           int64            `json:"created"`
	Model             string           `json:"model"`
	SystemFingerprint string           `json:"system_fingerprint,omitempty"`
	Choices           []responseChoice `json:"choices"`
	Usage             json.RawMessage  `json:"usage,omitempty"`
}

type responseChoice struct {
	Index        int       `json:"index"`
	Message      *message  `json:"message,omitempty"`
	Text         *string   `json:"text,omitempty"`
	Logprobs     *logprobs `json:"logprobs"`
	FinishReason *string   `json:"finish_reason"`
}

// maxToolCalls bounds the tool calls of one choice, so that an invalid index in an
// engine's response cannot exhaust the node's memory.
const maxToolCalls = 1024

func newAccumulator() *accumulator { return &accumulator{choices: map[int]*accumulatedChoice{}} }

func (a *accumulator) add(c *chunk) {
	if a.first == nil {
		a.first = c
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		a.usage = c.Usage
	}
	for i := range c.Choices {
		a.choice(c.Choices[i].Index).add(&c.Choices[i])
	}
}

func (a *accumulator) choice(index int) *accumulatedChoice {
	ch := a.choices[index]
	if ch == nil {
		ch = &accumulatedChoice{}
		a.choices[index] = ch
	}
	return ch
}

func (ch *accumulatedChoice) add(c *chunkChoice) {
	m := &ch.message
	if c.Delta.Role != "" {
		m.Role = c.Delta.Role
	}
	m.Content = appendText(m.Content, c.Delta.Content)
	m.Refusal = appendText(m.Refusal, c.Delta.Refusal)
	m.ReasoningContent += c.Delta.ReasoningContent
	ch.text += c.Text
	if c.FinishReason != nil {
		ch.finish = c.FinishReason
	}
	for i := range c.Delta.ToolCalls {
		ch.addToolCall(&c.Delta.ToolCalls[i])
	}
	var lp logprobs
	if json.Unmarshal(c.Logprobs, &lp) == nil {
		ch.logprobs.Content = append(ch.logprobs.Content, lp.Content...)
		ch.logprobs.Refusal = append(ch.logprobs.Refusal, lp.Refusal...)
	}
}

func (ch *accumulatedChoice) addToolCall(t *toolCallDelta) {
	if t.Index < 0 || t.Index >= maxToolCalls {
		return
	}
	calls := &ch.message.ToolCalls
	for len(*calls) <= t.Index {
		*calls = append(*calls, toolCall{Type: "function"})
	}
	call := &(*calls)[t.Index]
	if t.ID != "" {
		call.ID = t.ID
	}
	if t.Type != "" {
		call.Type = t.Type
	}
	call.Function.Name += t.Function.Name
	call.Function.Arguments += t.Function.Arguments
}

func appendText(to *string, text string) *string {
	if text == "" {
		return to
	}
	if to != nil {
		text = *to + text
	}
	return &text
}

// document returns the response as a JSON document.
func (a *accumulator) document(path string) ([]byte, error) {
	out := response{ID: a.first.ID, Created: a.first.Created, Model: a.first.Model, SystemFingerprint: a.first.SystemFingerprint, Usage: a.usage,
		Object: "chat.completion", Choices: []responseChoice{}}
	if path == engine.CompletionsPath {
		out.Object = "text_completion"
	}
	for index, ch := range a.choices {
		choice := responseChoice{Index: index, FinishReason: ch.finish}
		if path == engine.CompletionsPath {
			choice.Text = &ch.text
		} else {
			choice.Message = &ch.message
		}
		if len(ch.logprobs.Content)+len(ch.logprobs.Refusal) > 0 {
			choice.Logprobs = &ch.logprobs
		}
		out.Choices = append(out.Choices, choice)
	}
	sort.Slice(out.Choices, func(i, j int) bool { return out.Choices[i].Index < out.Choices[j].Index })
	return json.Marshal(out)
}

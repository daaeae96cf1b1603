package openai

import (
	"bytes"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// request is a validated completion request.
type request struct {
	path   string
	body   []byte // as the caller sent it
	fields map[string]json.RawMessage
	model  string
	stream bool
	// choices is the request's n; only a single choice can continue on another replica.
	choices      int
	maxTokens    int
	prefixHashes []uint64
	promptParts  []uint64
}

// knownFields are the fields that the gateway reads; all others are forwarded unchanged.
type knownFields struct {
	Model               string           `json:"model"`
	Messages            []engine.Message `json:"messages"`
	Prompt              json.RawMessage  `json:"prompt"`
	Stream              bool             `json:"stream"`
	N                   *int             `json:"n"`
	MaxTokens           *int             `json:"max_tokens"`
	MaxCompletionTokens *int             `json:"max_completion_tokens"`
	// StreamOptions is decoded only to reject a value of the wrong type.
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// defaultMaxTokens is assumed in cost estimates for a request without a token limit.
const defaultMaxTokens = 256

// bytesPerToken is the ratio by which prompt tokens are estimated from the body's size.
const bytesPerToken = 4

// parse validates the body of a completion request.
func parse(path string, body []byte) (*request, error) {
	var f knownFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, fennelerr.Invalid(jsonField(err), "the body is not the JSON object that %s takes: %v", path, err)
	}
	req := &request{path: path, body: body, model: f.Model, stream: f.Stream, choices: 1, maxTokens: defaultMaxTokens}
	if err := json.Unmarshal(body, &req.fields); err != nil || req.fields == nil {
		return nil, fennelerr.Invalid("", "the body is not a JSON object")
	}
	if err := f.checkPrompt(path); err != nil {
		return nil, err
	}
	if f.Model == "" {
		return nil, fennelerr.Invalid("model", "name the model to ask")
	}
	if f.N != nil {
		req.choices = *f.N
	}
	if req.choices < 1 {
		return nil, fennelerr.Invalid("n", "n is %d; at least one answer must be asked for", req.choices)
	}
	for _, bound := range []*int{f.MaxTokens, f.MaxCompletionTokens} {
		if bound == nil {
			continue
		}
		if *bound < 1 {
			return nil, fennelerr.Invalid("max_tokens", "the bound is %d; it must be at least 1", *bound)
		}
		req.maxTokens = *bound
	}
	req.prefixHashes = engine.PrefixHashes(f.promptText(path))
	req.promptParts = engine.MessageHashes(f.Messages)
	return req, nil
}

func (f *knownFields) checkPrompt(path string) error {
	if path == engine.CompletionsPath {
		if len(f.Prompt) == 0 || bytes.Equal(f.Prompt, []byte("null")) {
			return fennelerr.Invalid("prompt", "%s takes a prompt", path)
		}
		return nil
	}
	if len(f.Messages) == 0 {
		return fennelerr.Invalid("messages", "%s takes a list of at least one message", path)
	}
	return nil
}

func (f *knownFields) promptText(path string) string {
	if path == engine.CompletionsPath {
		return engine.PromptText(nil, f.Prompt)
	}
	return engine.PromptText(f.Messages, nil)
}

func jsonField(err error) string {
	if t, ok := errors.Into[*json.UnmarshalTypeError](err); ok {
		return t.Field
	}
	return ""
}

// cost estimates the request's prompt and output tokens.
func (q *request) cost() int { return len(q.body)/bytesPerToken + q.maxTokens*q.choices }

// engineBody returns the body sent to the engine. It always requests a stream, so that a
// single code path verifies that a response is complete; if the caller did not ask for a
// stream, it also requests the usage. A prefix that is not empty is the text to continue.
func (q *request) engineBody(prefix string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(q.fields)+3)
	for k, v := range q.fields {
		fields[k] = v
	}
	fields["stream"] = json.RawMessage("true")
	if !q.stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	delete(fields, engine.FieldPrefix)
	if prefix != "" {
		text, err := json.Marshal(prefix)
		if err != nil {
			return nil, err
		}
		fields[engine.FieldPrefix] = text
	}
	return json.Marshal(fields)
}

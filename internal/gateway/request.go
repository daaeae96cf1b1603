package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// modelRequest is a checked completion request.
type modelRequest struct {
	path   string
	body   []byte // as the caller sent it
	fields map[string]json.RawMessage
	model  string
	stream bool
	// choices is the request's n; only single choices can continue on another replica.
	choices      int
	maxTokens    int
	includeUsage bool
	prefixHashes []uint64
}

// modelFields are the fields that the gateway itself reads.
type modelFields struct {
	Model               string           `json:"model"`
	Messages            []engine.Message `json:"messages"`
	Prompt              json.RawMessage  `json:"prompt"`
	Stream              bool             `json:"stream"`
	N                   *int             `json:"n"`
	MaxTokens           *int             `json:"max_tokens"`
	MaxCompletionTokens *int             `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// defaultMaxTokens is assumed for cost estimates when a request names no bound.
const defaultMaxTokens = 256

// bytesPerToken turns prompt bytes into an estimate of prompt tokens.
const bytesPerToken = 4

func invalid(field, format string, args ...any) error {
	return fennelerr.New(fennelerr.InvalidRequest, format, args...).WithField(field).WithRun(fennelerr.NotRun)
}

// readBody reads a whole request body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if _, tooLarge := errors.Into[*http.MaxBytesError](err); tooLarge {
		return nil, fennelerr.New(fennelerr.TooLarge, "the body is larger than %d bytes", limit).WithRun(fennelerr.NotRun)
	}
	if err != nil {
		return nil, fennelerr.Wrap(err, fennelerr.InvalidRequest, "the body could not be read").WithRun(fennelerr.NotRun)
	}
	return body, nil
}

// parseModelRequest checks a completion request's body.
func parseModelRequest(path string, body []byte) (*modelRequest, error) {
	var f modelFields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, invalid(jsonField(err), "the body is not the JSON object that %s takes: %v", path, err)
	}
	req := &modelRequest{path: path, body: body, model: f.Model, stream: f.Stream, choices: 1, maxTokens: defaultMaxTokens,
		includeUsage: f.StreamOptions.IncludeUsage}
	if err := json.Unmarshal(body, &req.fields); err != nil || req.fields == nil {
		return nil, invalid("", "the body is not a JSON object")
	}
	if err := f.checkPrompt(path); err != nil {
		return nil, err
	}
	if f.Model == "" {
		return nil, invalid("model", "name the model to ask")
	}
	if f.N != nil {
		req.choices = *f.N
	}
	if req.choices < 1 {
		return nil, invalid("n", "n is %d; at least one answer must be asked for", req.choices)
	}
	for _, bound := range []*int{f.MaxTokens, f.MaxCompletionTokens} {
		if bound == nil {
			continue
		}
		if *bound < 1 {
			return nil, invalid("max_tokens", "the bound is %d; it must be at least 1", *bound)
		}
		req.maxTokens = *bound
	}
	req.prefixHashes = engine.PrefixHashes(f.promptText(path))
	return req, nil
}

func (f *modelFields) checkPrompt(path string) error {
	if path == engine.CompletionsPath {
		if len(f.Prompt) == 0 || bytes.Equal(f.Prompt, []byte("null")) {
			return invalid("prompt", "%s takes a prompt", path)
		}
		return nil
	}
	if len(f.Messages) == 0 {
		return invalid("messages", "%s takes a list of at least one message", path)
	}
	return nil
}

func (f *modelFields) promptText(path string) string {
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

// cost estimates the request's work in tokens.
func (q *modelRequest) cost() int { return len(q.body)/bytesPerToken + q.maxTokens*q.choices }

// engineBody is the body sent to the engine: always streamed, with the usage
// counted, so that one code path sees to the wholeness of every answer.
func (q *modelRequest) engineBody(prefix string) ([]byte, error) {
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

// fingerprintOf identifies a request by team, path and body.
func fingerprintOf(team cluster.TeamID, path string, body []byte) suspect.Fingerprint {
	h := sha256.New()
	h.Write([]byte(team))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	var fp suspect.Fingerprint
	copy(fp[:], h.Sum(nil))
	return fp
}

// deadlineOf is when the caller stops waiting for the first byte.
func deadlineOf(r *http.Request, now time.Time, fallback time.Duration) (time.Time, error) {
	text := r.Header.Get(HeaderTimeoutMs)
	if text == "" {
		return now.Add(fallback), nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms < 1 {
		return time.Time{}, invalid(HeaderTimeoutMs, "%q is not a whole number of milliseconds above zero", text)
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

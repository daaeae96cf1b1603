// Package openai implements the OpenAI protocol towards callers: it validates their
// requests, builds the requests to model engines, which use the same protocol, and builds
// the responses from the engines' events. Routing and retries are decided elsewhere.
package openai

import (
	"encoding/json"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// Protocol translates between callers and model engines; the zero value is ready to use.
type Protocol struct{}

// Parse validates the body of a completion request. Its errors are of type
// *fennelerr.Error and name the invalid field.
func (Protocol) Parse(path string, body []byte) (*call.ModelCall, error) {
	req, err := parse(path, body)
	if err != nil {
		return nil, err
	}
	return &call.ModelCall{
		Model: req.model, Cost: req.cost(), PrefixHashes: req.prefixHashes, PromptParts: req.promptParts,
		NewExchange: func(to call.Caller) call.Exchange { return newExchange(req, to) },
	}, nil
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelCard `json:"data"`
}

type modelCard struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// Models returns the document that lists the models.
func (Protocol) Models(names []string) []byte {
	list := modelList{Object: "list", Data: []modelCard{}}
	for _, name := range names {
		list.Data = append(list.Data, modelCard{ID: name, Object: "model", OwnedBy: "fennelcourse"})
	}
	return encode(list)
}

// errorBody is the error document of the OpenAI protocol.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string             `json:"message"`
	Type      string             `json:"type"`
	Code      fennelerr.Code     `json:"code"`
	Param     string             `json:"param,omitempty"`
	Run       fennelerr.RunState `json:"fennel_run,omitempty"`
	RequestID string             `json:"request_id,omitempty"`
}

// Error returns the error document for e.
func (Protocol) Error(e *fennelerr.Error, requestID string) []byte {
	message := e.Message
	if message == "" {
		message = string(e.Code)
	}
	return encode(errorBody{Error: errorDetail{
		Message: message, Type: string(e.Code), Code: e.Code, Param: e.Field, Run: e.Run, RequestID: requestID,
	}})
}

// ParseRejection decodes the body with which an engine rejected a request. Both results
// are empty if it is not an error document.
func (Protocol) ParseRejection(body []byte) (message, field string) {
	var doc errorBody
	if json.Unmarshal(body, &doc) != nil {
		return "", ""
	}
	return doc.Error.Message, doc.Error.Param
}

// encode marshals a document whose values are strings, for which json.Marshal cannot fail.
func encode(doc any) []byte {
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return text
}

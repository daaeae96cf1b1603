// Package openai is the front for callers of the OpenAI protocol: it checks their
// requests, asks model engines in the same protocol, and makes their answers of the
// engines' events. It decides nothing about where a call goes or how often.
package openai

import (
	"encoding/json"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// Protocol translates the protocol; the zero value is ready.
type Protocol struct{}

// Parse checks a completion request's body. Its errors are *fennelerr.Error that
// name the field.
func (Protocol) Parse(path string, body []byte) (*call.ModelCall, error) {
	req, err := parse(path, body)
	if err != nil {
		return nil, err
	}
	return &call.ModelCall{
		Model: req.model, Cost: req.cost(), PrefixHashes: req.prefixHashes,
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

// Models is the document that lists models.
func (Protocol) Models(names []string) []byte {
	list := modelList{Object: "list", Data: []modelCard{}}
	for _, name := range names {
		list.Data = append(list.Data, modelCard{ID: name, Object: "model", OwnedBy: "fennelcourse"})
	}
	return encode(list)
}

// errorBody is the OpenAI-shaped error document.
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

// Error is the document of a refusal.
func (Protocol) Error(e *fennelerr.Error, requestID string) []byte {
	message := e.Message
	if message == "" {
		message = string(e.Code)
	}
	return encode(errorBody{Error: errorDetail{
		Message: message, Type: string(e.Code), Code: e.Code, Param: e.Field, Run: e.Run, RequestID: requestID,
	}})
}

// ParseRejection reads an engine's rejection of a request; both results are empty where it
// gives no reason.
func (Protocol) ParseRejection(body []byte) (message, field string) {
	var doc errorBody
	if json.Unmarshal(body, &doc) != nil {
		return "", ""
	}
	return doc.Error.Message, doc.Error.Param
}

// encode marshals a document of strings, which can't fail.
func encode(doc any) []byte {
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return text
}

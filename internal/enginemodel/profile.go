// Package enginemodel models the performance of an engine that serves a language model
// with continuous batching. Work proceeds in passes: a pass prefills waiting prompts and
// then generates a fixed number of tokens for every running request. From the profile
// that the operator publishes, the package estimates how much replica time a request
// takes, and simulates the passes of one replica without reading a clock.
package enginemodel

import "time"

// Profile holds the published performance figures of an engine. The zero value means that
// they are unknown.
type Profile struct {
	// Slots is the maximum number of requests that a replica runs at once; others wait.
	Slots int
	// StepsPerPass is the number of decode steps in a pass.
	StepsPerPass int
	// PrefillChunk is the maximum number of prompt tokens that are prefilled per step.
	PrefillChunk int
	// BaseStep is the duration of a decode step without requests. StepPerSequence is added
	// for each request that generates, and StepPerContext for every 1,000 tokens of context
	// of these requests.
	BaseStep, StepPerSequence, StepPerContext time.Duration
	// PrefillPerSecond is the number of prompt tokens that are prefilled per second.
	// AttentionPerPairs is the time added for every million pairs of a prompt token and an
	// earlier token.
	PrefillPerSecond  float64
	AttentionPerPairs time.Duration
	// TimeFactor scales all durations for a model; 0 means 1.
	TimeFactor float64
	// MeanPromptTokens and MeanOutputTokens are the mean lengths of a request's prompt and
	// output.
	MeanPromptTokens, MeanOutputTokens int
}

// IsSet reports whether the profile has the values that every estimate needs.
func (p Profile) IsSet() bool { return p.Slots > 0 && p.BaseStep > 0 && p.PrefillPerSecond > 0 }

// DecodeStepTime returns the duration of a decode step with the given number of generating
// requests and their total number of context tokens.
func (p Profile) DecodeStepTime(sequences, context int) time.Duration {
	perContext := float64(p.StepPerContext) * float64(context) / 1000
	return p.scaled(p.BaseStep + time.Duration(sequences)*p.StepPerSequence + time.Duration(perContext))
}

// PrefillTime returns the duration of the prefill of tokens prompt tokens that follow
// before tokens already in the context.
func (p Profile) PrefillTime(tokens, before int) time.Duration {
	pairs := float64(tokens) * (float64(before) + float64(tokens)/2) / 1e6
	linear := time.Duration(float64(tokens) / p.PrefillPerSecond * float64(time.Second))
	return p.scaled(linear + time.Duration(pairs*float64(p.AttentionPerPairs)))
}

// RequestCost returns the replica time that a request takes up when all slots are in use:
// the prefill of its prompt plus its share of the decode steps.
func (p Profile) RequestCost(prompt, output int) time.Duration {
	context := p.Slots * (prompt + output/2)
	step := p.DecodeStepTime(p.Slots, context)
	return p.PrefillTime(prompt, 0) + time.Duration(float64(output)*float64(step)/float64(p.Slots))
}

func (p Profile) scaled(d time.Duration) time.Duration {
	if p.TimeFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * p.TimeFactor)
}

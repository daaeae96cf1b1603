// Package enginemodel is a model of one engine that serves a language model in passes.
// Its figures are those that the operator publishes; with them it says how much of a
// replica's time a call takes and when its first piece may come, and it plays the passes
// of one replica in time that is passed in.
package enginemodel

import "time"

// Profile are an engine's published figures. The zero value says that none are known.
type Profile struct {
	// Slots is how many requests a replica runs at once; the others wait.
	Slots int
	// StepsPerPass is how many token steps a pass has in which requests write.
	StepsPerPass int
	// PrefillChunk is the most prompt tokens that are read in one step.
	PrefillChunk int
	// BaseStep is how long a token step takes without requests, StepPerSequence what each
	// request that writes adds to it, and StepPerContext what 1,000 tokens before its last
	// one add.
	BaseStep, StepPerSequence, StepPerContext time.Duration
	// PrefillPerSecond is how many prompt tokens are read in a second; PerPairs is what a
	// million pairs of a prompt token and an earlier one add.
	PrefillPerSecond  float64
	AttentionPerPairs time.Duration
	// TimeFactor is the model's factor on all times; 1 where it is 0.
	TimeFactor float64
	// MeanPromptTokens and MeanOutputTokens are the mean tokens of a call.
	MeanPromptTokens, MeanOutputTokens int
}

// IsSet reports whether there are figures to reckon with.
func (f Profile) IsSet() bool { return f.Slots > 0 && f.BaseStep > 0 && f.PrefillPerSecond > 0 }

// DecodeStepTime is how long a token step takes in which so many requests write, with so
// many tokens of context in all.
func (f Profile) DecodeStepTime(writers, context int) time.Duration {
	perContext := float64(f.StepPerContext) * float64(context) / 1000
	return f.paced(f.BaseStep + time.Duration(writers)*f.StepPerSequence + time.Duration(perContext))
}

// PrefillTime is how long so many prompt tokens take to be read after so many before them.
func (f Profile) PrefillTime(tokens, before int) time.Duration {
	pairs := float64(tokens) * (float64(before) + float64(tokens)/2) / 1e6
	reading := time.Duration(float64(tokens) / f.PrefillPerSecond * float64(time.Second))
	return f.paced(reading + time.Duration(pairs*float64(f.AttentionPerPairs)))
}

// RequestCost is the part of a replica's time that a call takes when the replica is full: the
// reading of its prompt, and its part of the steps that it shares with the others.
func (f Profile) RequestCost(prompt, answer int) time.Duration {
	context := f.Slots * (prompt + answer/2)
	step := f.DecodeStepTime(f.Slots, context)
	return f.PrefillTime(prompt, 0) + time.Duration(float64(answer)*float64(step)/float64(f.Slots))
}

func (f Profile) paced(d time.Duration) time.Duration {
	if f.TimeFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.TimeFactor)
}

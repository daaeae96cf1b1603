package enginemodel

import "time"

// Work is what is assigned to a replica and not finished.
type Work struct {
	// Requests is the number of requests that run or wait.
	Requests int
	// UnreadTokens is the number of their prompt tokens still to be prefilled, OutputTokens the
	// number of tokens still to be generated.
	UnreadTokens, OutputTokens int
}

// Add assigns a request.
func (w *Work) Add(prompt, output int) {
	w.Requests++
	w.UnreadTokens += prompt
	w.OutputTokens += output
}

// Read records that a prompt has been prefilled.
func (w *Work) Read(prompt int) { w.UnreadTokens = max(w.UnreadTokens-prompt, 0) }

// End removes a request whose prompt has been prefilled.
func (w *Work) End(output int) {
	w.Requests = max(w.Requests-1, 0)
	w.OutputTokens = max(w.OutputTokens-output, 0)
}

// PredictFirstPiece estimates the time until a new request with the given number of prompt tokens
// has its first piece on a replica with this work.
func (p Profile) PredictFirstPiece(w Work, prompt int) time.Duration {
	generating := min(w.Requests, p.Slots)
	step := p.DecodeStepTime(generating, generating*(p.meanPrompt(prompt)+p.MeanOutputTokens/2))
	steps := max(p.StepsPerPass, 1)
	// The request waits for half a pass on average, and its first tokens take another.
	passes := 1.5
	if budget := p.PrefillChunk * steps; budget > 0 {
		passes += float64((w.UnreadTokens + prompt) / budget)
	}
	return p.PrefillTime(prompt, 0) + p.unreadTime(w, prompt) + time.Duration(passes*float64(steps)*float64(step)) + p.slotWait(w, step)
}

// unreadTime returns the time to prefill the unread tokens, taken as prompts of the mean length.
func (p Profile) unreadTime(w Work, prompt int) time.Duration {
	mean := max(p.meanPrompt(prompt), 1)
	return time.Duration(float64(p.PrefillTime(mean, 0)) * float64(w.UnreadTokens) / float64(mean))
}

// slotWait returns how long a new request waits until a slot is free.
func (p Profile) slotWait(w Work, step time.Duration) time.Duration {
	ahead := w.Requests + 1 - p.Slots
	if ahead <= 0 {
		return 0
	}
	output := float64(w.OutputTokens) / float64(w.Requests)
	return time.Duration(float64(ahead) * output * float64(step) / float64(p.Slots))
}

func (p Profile) meanPrompt(prompt int) int {
	if p.MeanPromptTokens > 0 {
		return p.MeanPromptTokens
	}
	return prompt
}

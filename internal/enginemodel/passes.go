package enginemodel

import (
	"cmp"
	"slices"
	"time"
)

// Job is one request assigned to a replica.
type Job struct {
	// PromptTokens and OutputTokens are the lengths of its prompt and output. Free slots go
	// to the waiting jobs with the lowest Priority; 0 is the most urgent.
	PromptTokens, OutputTokens, Priority int

	prefilled, generated int
}

// Done reports whether all output tokens are generated.
func (j *Job) Done() bool { return j.generated >= j.OutputTokens }

// Replica simulates the passes of one replica. It reads no clock: RunPass returns how long
// a pass takes and which jobs have generated tokens by its end. It is not safe for
// concurrent use.
type Replica struct {
	Profile Profile
	// SlowFactor scales all durations, for a replica with a slow member; 0 means 1.
	SlowFactor float64

	running, waiting []*Job
}

// Add queues a job.
func (r *Replica) Add(j *Job) { r.waiting = append(r.waiting, j) }

// Remove removes a job whose caller has disconnected.
func (r *Replica) Remove(j *Job) {
	same := func(other *Job) bool { return other == j }
	r.running = slices.DeleteFunc(r.running, same)
	r.waiting = slices.DeleteFunc(r.waiting, same)
}

// Running returns the number of jobs that have a slot.
func (r *Replica) Running() int { return len(r.running) }

// Waiting returns the number of jobs that wait for a slot.
func (r *Replica) Waiting() int { return len(r.waiting) }

// RunPass simulates one pass: waiting jobs take free slots, prompts are prefilled, and
// every job whose prompt is complete generates up to Profile.StepsPerPass tokens. It
// returns the duration of the pass and the jobs that generated tokens in it; finished jobs
// no longer hold a slot. Without a job it returns zero.
func (r *Replica) RunPass() (took time.Duration, generated []*Job) {
	r.admit()
	if len(r.running) == 0 {
		return 0, nil
	}
	took = r.prefillPrompts()
	context := 0
	for _, j := range r.running {
		if j.prefilled == j.PromptTokens {
			generated = append(generated, j)
			context += j.PromptTokens + j.generated
		}
	}
	if len(generated) > 0 {
		took += time.Duration(r.Profile.StepsPerPass) * r.Profile.DecodeStepTime(len(generated), context)
	}
	for _, j := range generated {
		j.generated = min(j.generated+r.Profile.StepsPerPass, j.OutputTokens)
	}
	r.running = slices.DeleteFunc(r.running, (*Job).Done)
	if r.SlowFactor > 0 {
		took = time.Duration(float64(took) * r.SlowFactor)
	}
	return took, generated
}

// admit gives free slots to the waiting jobs, most urgent first and in order of arrival
// among equals.
func (r *Replica) admit() {
	slices.SortStableFunc(r.waiting, func(a, b *Job) int { return cmp.Compare(a.Priority, b.Priority) })
	n := min(r.Profile.Slots-len(r.running), len(r.waiting))
	r.running = append(r.running, r.waiting[:n]...)
	r.waiting = slices.Delete(r.waiting, 0, n)
}

// prefillPrompts prefills prompts in the order in which their jobs got slots, up to the
// number of tokens that the steps of the pass allow.
func (r *Replica) prefillPrompts() (took time.Duration) {
	budget := r.Profile.PrefillChunk * max(r.Profile.StepsPerPass, 1)
	for _, j := range r.running {
		n := min(j.PromptTokens-j.prefilled, budget)
		if n <= 0 {
			continue
		}
		took += r.Profile.PrefillTime(n, j.prefilled)
		j.prefilled += n
		budget -= n
	}
	return took
}

package enginemodel

import (
	"cmp"
	"slices"
	"time"
)

// Job is one request on a replica.
type Job struct {
	// PromptTokens and OutputTokens are its tokens; Priority is 0 for first, and decides who gets a
	// free slot.
	PromptTokens, OutputTokens, Priority int

	read, written int
}

// Done reports whether the whole answer is written.
func (j *Job) Done() bool { return j.written >= j.OutputTokens }

// Replica plays the passes of one replica. It has no clock: Pass says how long a pass
// takes, and what it wrote by its end. It is not safe for concurrent use.
type Replica struct {
	Profile Profile
	// SlowFactor is a factor on all times, for a replica with a slow member; 1 where it is 0.
	SlowFactor float64

	running, waiting []*Job
}

// Add queues a job.
func (r *Replica) Add(j *Job) { r.waiting = append(r.waiting, j) }

// Remove takes out a job whose caller has left.
func (r *Replica) Remove(j *Job) {
	is := func(other *Job) bool { return other == j }
	r.running = slices.DeleteFunc(r.running, is)
	r.waiting = slices.DeleteFunc(r.waiting, is)
}

// Running and Waiting count the jobs with and without a slot.
func (r *Replica) Running() int { return len(r.running) }

// Waiting counts the jobs without a slot.
func (r *Replica) Waiting() int { return len(r.waiting) }

// RunPass plays one pass: waiting jobs take free slots, prompts are read, and every job
// whose prompt is read writes up to a stride of tokens. It returns how long the pass
// takes and the jobs that have written by its end; done ones have left their slots.
// Without a job there is no pass.
func (r *Replica) RunPass() (took time.Duration, wrote []*Job) {
	r.admit()
	if len(r.running) == 0 {
		return 0, nil
	}
	took = r.readPrompts()
	context := 0
	for _, j := range r.running {
		if j.read == j.PromptTokens {
			wrote = append(wrote, j)
			context += j.PromptTokens + j.written
		}
	}
	if len(wrote) > 0 {
		took += time.Duration(r.Profile.StepsPerPass) * r.Profile.DecodeStepTime(len(wrote), context)
	}
	for _, j := range wrote {
		j.written = min(j.written+r.Profile.StepsPerPass, j.OutputTokens)
	}
	r.running = slices.DeleteFunc(r.running, (*Job).Done)
	if r.SlowFactor > 0 {
		took = time.Duration(float64(took) * r.SlowFactor)
	}
	return took, wrote
}

// admit gives free slots to the most urgent of those that wait, the earliest first.
func (r *Replica) admit() {
	slices.SortStableFunc(r.waiting, func(a, b *Job) int { return cmp.Compare(a.Priority, b.Priority) })
	n := min(r.Profile.Slots-len(r.running), len(r.waiting))
	r.running = append(r.running, r.waiting[:n]...)
	r.waiting = slices.Delete(r.waiting, 0, n)
}

// readPrompts reads prompts in the order in which their jobs got slots, as many tokens
// as the steps of the pass allow.
func (r *Replica) readPrompts() (took time.Duration) {
	room := r.Profile.PrefillChunk * max(r.Profile.StepsPerPass, 1)
	for _, j := range r.running {
		n := min(j.PromptTokens-j.read, room)
		if n <= 0 {
			continue
		}
		took += r.Profile.PrefillTime(n, j.read)
		j.read += n
		room -= n
	}
	return took
}

package losses

import "strings"

// causesByOutcome maps prefixes of a failed attempt's logged outcome to its cause. The
// first match applies, so a longer prefix comes before a shorter one that it starts with.
var causesByOutcome = []struct {
	prefix string
	cause  Cause
}{
	{"broken: no answer: context canceled", CallerGone},
	{"broken: no answer: context deadline exceeded", CallerGone},
	{"broken: the caller takes nothing", CallerGone},
	{"broken: the replica stands still", ReplicaStalled},
	{"broken: the replica lost a member", ReplicaStalled},
	{"broken: nothing came for too long", ReplicaStalled},
	{"broken: the server failed", ServerFailed},
	{"not run: no connection", Unreachable},
	{"not run: connection refused", Unreachable},
	{"not run: status", ServerRejected},
	{"broken:", StreamBroken},
}

func causeOf(outcome string) Cause {
	for _, o := range causesByOutcome {
		if strings.HasPrefix(outcome, o.prefix) {
			return o.cause
		}
	}
	return Other
}

// classify returns what the caller got and, if that was not an answer on time, the cause.
func (c *callRecord) classify() (Outcome, Cause) {
	cause := c.firstFailure()
	switch {
	case len(c.attempts) == 0:
		return Refused, NoCapacity
	case c.answered():
		return c.classifyAnswer(cause)
	case c.noReplica && cause == ServerRejected:
		return Refused, ServerRejected
	case c.noReplica:
		return Refused, cause
	}
	return Failed, cause
}

func (c *callRecord) answered() bool { return c.last().outcome == "answered" }

func (c *callRecord) last() attempt { return c.attempts[len(c.attempts)-1] }

// firstFailure returns the cause of the first attempt that was not answered; empty if
// there is none.
func (c *callRecord) firstFailure() Cause {
	for _, a := range c.attempts {
		if a.outcome != "answered" {
			return causeOf(a.outcome)
		}
	}
	return ""
}

// classifyAnswer classifies a call that was answered. firstFailure is the cause of its first
// failed attempt, to which a late answer is attributed; empty if no attempt failed.
func (c *callRecord) classifyAnswer(firstFailure Cause) (Outcome, Cause) {
	a := c.last()
	late := a.target > 0 && a.startDelay+a.firstPiece > a.target
	paused := a.pauseTarget > 0 && a.longestPause > a.pauseTarget
	switch {
	case !late && !paused:
		return OnTime, ""
	case firstFailure != "":
		return Late, firstFailure
	case !late:
		return Late, StreamPaused
	case a.slots > 0 && a.running+a.waiting > a.slots:
		return Late, Queued
	}
	return Late, Slow
}

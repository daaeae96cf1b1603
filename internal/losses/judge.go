package losses

import "strings"

// outcomes tells the cause of an attempt that went wrong, by how its line's outcome
// begins, the longest first.
var outcomes = []struct {
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
	for _, o := range outcomes {
		if strings.HasPrefix(outcome, o.prefix) {
			return o.cause
		}
	}
	return Other
}

// judge says what the caller got and, if that was not an answer on time, why.
func (c *open) judge() (Outcome, Cause) {
	wrong := c.firstWrong()
	switch {
	case len(c.attempts) == 0:
		return Refused, NoCapacity
	case c.answered():
		return c.judgeAnswer(wrong)
	case c.noReplica && wrong == ServerRejected:
		return Refused, ServerRejected
	case c.noReplica:
		return Refused, wrong
	}
	return Failed, wrong
}

func (c *open) answered() bool { return c.last().outcome == "answered" }

func (c *open) last() attempt { return c.attempts[len(c.attempts)-1] }

// firstWrong is the cause of the first attempt that was not answered; empty if none.
func (c *open) firstWrong() Cause {
	for _, a := range c.attempts {
		if a.outcome != "answered" {
			return causeOf(a.outcome)
		}
	}
	return ""
}

// judgeAnswer judges an answer that came: after failed attempts a late one is late for
// their cause.
func (c *open) judgeAnswer(wrong Cause) (Outcome, Cause) {
	a := c.last()
	late := a.target > 0 && a.waited+a.first > a.target
	paused := a.pauseTarget > 0 && a.pause > a.pauseTarget
	switch {
	case !late && !paused:
		return OnTime, ""
	case wrong != "":
		return Late, wrong
	case !late:
		return Late, StreamPaused
	case a.slots > 0 && a.running+a.waitingNow > a.slots:
		return Late, Queued
	}
	return Late, Slow
}

package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// Guards against calls that run on more replicas than their route allows and that no soak reports.
func TestCallsBeyondTheirAttemptsAreFound(t *testing.T) {
	start := time.Now()
	env := &Environment{observed: newObservations()}
	run := func(id string, replicas ...string) {
		for _, replica := range replicas {
			env.observed.record(standin.Observation{Event: standin.EventRun, Detail: id, At: start, Replica: replica, Members: []string{"head-" + replica, "member-" + replica}})
		}
	}
	run("once", "a")
	run("same", "a", "a", "a")
	run("allowed", "a", "b")
	run("beyond", "a", "b", "c")
	run("lost", "a", "b", "d")
	env.observed.record(standin.Observation{Event: standin.EventUnlisted, Detail: "member-d", At: start.Add(time.Second)})
	run("lost later", "a", "b", "e")
	env.observed.record(standin.Observation{Event: standin.EventUnlisted, Detail: "member-e", At: start.Add(2*time.Second + maxUnlistedDelay)})
	var calls []Call
	for _, id := range []string{"none", "once", "same", "allowed", "beyond", "lost", "lost later"} {
		calls = append(calls, Call{ID: id, Ended: start.Add(time.Second)})
	}
	result := &Result{}
	env.checkAttempts(calls, result)
	require.Equal(t, []string{"2 calls ran on more replicas than the 2 that their routes allow: beyond on 3, lost later on 3"}, result.Findings)
	require.Equal(t, 4, result.Repeated)
}

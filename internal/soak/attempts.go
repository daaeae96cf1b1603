package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

const (
	// maxUnlistedDelay is how long after the end of a call a server may learn that it was not listed
	// during the call.
	maxUnlistedDelay = 1500 * time.Millisecond
	// maxNamedCalls is the number of calls that a finding names.
	maxNamedCalls = 5
)

// observations are what the backend servers observed.
type observations struct {
	mu sync.Mutex
	// runs holds where each call ran, unlisted when each server was not listed, broken the calls
	// whose answer a server broke off.
	runs     map[string][]standin.Observation
	unlisted map[string][]time.Time
	broken   map[string]bool
}

func newObservations() *observations {
	return &observations{runs: make(map[string][]standin.Observation), unlisted: make(map[string][]time.Time), broken: make(map[string]bool)}
}

func (o *observations) record(event standin.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch event.Event {
	case standin.EventRun:
		o.runs[event.Detail] = append(o.runs[event.Detail], event)
	case standin.EventUnlisted:
		o.unlisted[event.Detail] = append(o.unlisted[event.Detail], event.At)
	case standin.EventBroken:
		o.broken[event.Detail] = true
	}
}

// runsOf returns how often backend servers executed a call.
func (o *observations) runsOf(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.runs[id])
}

// replicasOf returns the number of replicas on which a call ran, and of those that kept all their
// members until its end.
func (o *observations) replicasOf(c Call) (all, kept int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	isKept := make(map[string]bool)
	for _, run := range o.runs[c.ID] {
		if lost := slices.ContainsFunc(run.Members, func(id string) bool { return o.wasUnlisted(id, run.At, c.Ended.Add(maxUnlistedDelay)) }); !lost {
			isKept[run.Replica] = true
		} else if !isKept[run.Replica] {
			isKept[run.Replica] = false
		}
	}
	for _, k := range isKept {
		if k {
			kept++
		}
	}
	return len(isKept), kept
}

// wasUnlisted reports whether a server was not listed at some time between. The caller holds o.mu.
func (o *observations) wasUnlisted(id string, from, to time.Time) bool {
	return slices.ContainsFunc(o.unlisted[id], func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// checkAttempts counts the calls that ran on several replicas, and finds those that ran on more than
// their route allows. Replicas that lost a member meanwhile do not count for that.
func (env *Environment) checkAttempts(calls []Call, result *Result) {
	var beyond []string
	for _, c := range calls {
		all, kept := env.observed.replicasOf(c)
		if all > 1 {
			result.Repeated++
		}
		if kept > maxAttempts {
			beyond = append(beyond, fmt.Sprintf("%s on %d", c.ID, kept))
		}
	}
	if len(beyond) > 0 {
		named := strings.Join(beyond[:min(len(beyond), maxNamedCalls)], ", ")
		result.Findings = append(result.Findings, fmt.Sprintf("%d calls ran on more replicas than the %d that their routes allow: %s", len(beyond), maxAttempts, named))
	}
}

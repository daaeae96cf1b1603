package suspect

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxAnsweredParts bounds the parts of answered requests that are remembered, maxCrashedParts
	// those under which replicas crashed. An entry takes about 150 bytes.
	maxAnsweredParts = 16384
	maxCrashedParts  = 1024
	// maxPartCrashes bounds the crashes remembered per part.
	maxPartCrashes = 16
	// minCrashInterval is the time between two crashes that count. The loss of a rack ends
	// several replicas at once.
	minCrashInterval = 200 * time.Millisecond
	// partEvidenceFor is how long a crash is evidence.
	partEvidenceFor = 10 * time.Minute
	// recentAnswer is how long after an answer crashes are no evidence against the part.
	recentAnswer = time.Second
	// partHistory is how long a node must have run to know which parts were answered.
	partHistory = 10 * time.Second
)

// requiredEvidence is the evidence that quarantines a part.
type requiredEvidence struct {
	// crashes is the number of crashes.
	crashes int
	// weight is the sum, over the crashes, of the share of the requests with the part among those
	// that may have caused it. Many requests wait in the queue of an overloaded replica, and have
	// no answer either when it crashes for another reason.
	weight float64
	// crashShare is the share of the model's crashes, since the first one under the part, that
	// occurred under it.
	crashShare float64
}

var (
	// newPartEvidence quarantines a part of which no answer is known, knownPartEvidence any part.
	newPartEvidence   = requiredEvidence{crashes: 3, weight: 1.5, crashShare: 0.5}
	knownPartEvidence = requiredEvidence{crashes: 5, weight: 2.5, crashShare: 0.75}
)

// partCrash is a crash in which a request with the part was in flight that had no answer yet.
type partCrash struct {
	crash   uint64
	at      time.Time
	request uint32
}

// partAnswers holds the number of answers to requests with a part and when the last one began.
type partAnswers struct {
	count  int
	lastAt time.Time
}

// partCount is the evidence against a part.
type partCount struct {
	// crashes counts the crashes since the last answer, at different times and under different
	// requests, replicas all of them and requests the requests. answers counts the answers before.
	crashes, replicas, requests, answers int
	// weight is as in requiredEvidence.
	weight float64
	// since is when the first of the crashes occurred.
	since time.Time
}

// partTable holds the evidence on the parts of prompts. A part that crashes replicas ends each
// one that begins an answer to a request with it, so that any answer withdraws all earlier crashes.
type partTable struct {
	startedAt time.Time

	mu      sync.Mutex
	answers *simplelru.LRU[Part, partAnswers]
	// crashes holds the crashes since the last answer by part, oldest first.
	crashes *simplelru.LRU[Part, []partCrash]
	// modelAnsweredAt is when the last answer by model began.
	modelAnsweredAt map[uint32]time.Time
}

func newPartTable(now time.Time) *partTable {
	answers, err := simplelru.NewLRU[Part, partAnswers](maxAnsweredParts, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	crashes, err := simplelru.NewLRU[Part, []partCrash](maxCrashedParts, nil)
	if err != nil {
		panic(err)
	}
	return &partTable{startedAt: now, answers: answers, crashes: crashes, modelAnsweredAt: make(map[uint32]time.Time)}
}

// answered records an answer that began at a time. It returns the parts against which evidence was
// withdrawn.
func (t *partTable) answered(model uint32, parts []Part, at time.Time) (cleared []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.modelAnsweredAt[model] = later(t.modelAnsweredAt[model], at)
	for _, p := range parts {
		if t.withdrawLocked(p, at) {
			cleared = append(cleared, p)
		}
	}
	return cleared
}

// withdraw records an answer to a request with the part and reports whether evidence was withdrawn.
// The report of an answer may arrive before that of an earlier crash.
func (t *partTable) withdraw(p Part, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.withdrawLocked(p, at)
}

func (t *partTable) withdrawLocked(p Part, at time.Time) bool {
	a, _ := t.answers.Get(p)
	t.answers.Add(p, partAnswers{count: a.count + 1, lastAt: later(a.lastAt, at)})
	return t.removeCrashes(p, func(c partCrash) bool { return !c.at.After(at) })
}

// removeCrashes removes the matching crashes of a part and reports whether there were any.
func (t *partTable) removeCrashes(p Part, match func(partCrash) bool) bool {
	crashes, found := t.crashes.Peek(p)
	if !found {
		return false
	}
	left := slices.DeleteFunc(slices.Clone(crashes), match)
	switch {
	case len(left) == len(crashes):
		return false
	case len(left) == 0:
		t.crashes.Remove(p)
	default:
		t.crashes.Add(p, left)
	}
	return true
}

// crashed adds a crash to the evidence against a part, unless a later answer is known.
func (t *partTable) crashed(p Part, c partCrash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answers, found := t.answers.Peek(p); found && !c.at.After(answers.lastAt) {
		return
	}
	crashes, _ := t.crashes.Peek(p)
	crashes = slices.DeleteFunc(slices.Clone(crashes), func(old partCrash) bool { return c.at.Sub(old.at) > partEvidenceFor })
	crashes = append(crashes, c)
	slices.SortFunc(crashes, func(a, b partCrash) int { return a.at.Compare(b.at) })
	t.crashes.Add(p, crashes[max(0, len(crashes)-maxPartCrashes):])
}

// explain removes a crash that requests with a quarantined part caused from the evidence against
// the other parts of these requests.
func (t *partTable) explain(c explainedCrash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.crashes.Keys() {
		t.removeCrashes(p, func(other partCrash) bool { return other.crash == c.id && slices.Contains(c.requests, other.request) })
	}
}

// suspects returns at most n of the parts that a crash may be evidence against: those with the
// most evidence, and of the others a random choice, so that a request with many parts can't hide
// one.
func (t *partTable) suspects(parts []Part, n int, crashedAt time.Time) []Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := slices.DeleteFunc(slices.Clone(parts), func(p Part) bool {
		answers, found := t.answers.Peek(p)
		return found && crashedAt.Sub(answers.lastAt) < recentAnswer
	})
	if len(chosen) <= n {
		return chosen
	}
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	slices.SortStableFunc(chosen, func(a, b Part) int { return t.count(b).crashes - t.count(a).crashes })
	return chosen[:n]
}

// culprit returns the part that caused the crashes of the requests which hold the candidates, if
// the evidence suffices: of several the one with the most crashes, then the one with the fewest
// answers, then the last one. crashesSince counts the model's crashes since a time.
func (t *partTable) culprit(model uint32, candidates []Part, now time.Time, crashesSince func(time.Time) int) (best Part, count partCount, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range candidates {
		c := t.count(p)
		if !t.suffices(c, now, crashesSince) || !t.othersAnswered(model, c) {
			continue
		}
		if !found || c.crashes > count.crashes || c.crashes == count.crashes && c.answers <= count.answers {
			best, count, found = p, c, true
		}
	}
	return best, count, found
}

// suffices reports whether the evidence quarantines a part.
func (t *partTable) suffices(c partCount, now time.Time, crashesSince func(time.Time) int) bool {
	required := newPartEvidence
	if c.answers > 0 || now.Sub(t.startedAt) < partHistory {
		required = knownPartEvidence
	}
	return c.crashes >= required.crashes && c.weight >= required.weight &&
		float64(c.replicas) >= required.crashShare*float64(crashesSince(c.since))
}

// othersAnswered reports whether a request for the model has had an answer since the first crash
// under the part. If none has, the replicas may crash whatever they run.
func (t *partTable) othersAnswered(model uint32, c partCount) bool {
	return t.modelAnsweredAt[model].After(c.since)
}

// count returns the evidence against a part.
func (t *partTable) count(p Part) (c partCount) {
	answers, _ := t.answers.Peek(p)
	c.answers = answers.count
	crashes, _ := t.crashes.Peek(p)
	if len(crashes) == 0 {
		return c
	}
	c.since = crashes[0].at
	holders, all := requestsByCrash(crashes), t.possibleCauses(crashes)
	c.replicas = len(holders)
	requests := make(map[uint32]bool)
	var last time.Time
	for _, crash := range crashes {
		if requests[crash.request] {
			continue
		}
		requests[crash.request] = true
		if crash.at.Sub(last) >= minCrashInterval {
			last = crash.at
			c.crashes++
			c.weight += float64(len(holders[crash.crash])) / float64(len(all[crash.crash]))
		}
	}
	c.requests = len(requests)
	return c
}

// possibleCauses returns, by crash, the requests that may have caused it: those that hold a part
// against which the crash is evidence.
func (t *partTable) possibleCauses(crashes []partCrash) map[uint64]map[uint32]bool {
	causes := requestsByCrash(crashes)
	for _, evidence := range t.crashes.Values() {
		for _, c := range evidence {
			if requests := causes[c.crash]; requests != nil {
				requests[c.request] = true
			}
		}
	}
	return causes
}

func requestsByCrash(crashes []partCrash) map[uint64]map[uint32]bool {
	requests := make(map[uint64]map[uint32]bool)
	for _, c := range crashes {
		if requests[c.crash] == nil {
			requests[c.crash] = make(map[uint32]bool)
		}
		requests[c.crash][c.request] = true
	}
	return requests
}

// Package workload measures how much work arrives for each model, on this node and, from what
// the nodes report to each other, in the whole region.
//
// Work is counted where callers' requests arrive, whether they are served, queued or refused:
// a model that is short of replicas serves less than is asked of it, and its measured work must
// not shrink with it.
package workload

import (
	"math"
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

const (
	// averagingTime is the time constant of the averages. Shorter bursts are over before a
	// VM could load other weights.
	averagingTime = 5 * time.Second
	// reportLifetime is how long another node's report counts. Each node hears a part of the
	// others directly in that time.
	reportLifetime = 10 * time.Second
	// minMeasured is how long work must have been measured.
	minMeasured = 3 * time.Second
	// minReportedShare is the share of the nodes whose reports are needed. Fewer may all be
	// on one side of a partition.
	minReportedShare = 0.2
)

// Rates is work by model, in replicas kept fully busy.
type Rates map[cluster.GroupName]float64

// average is an exponential average of a rate.
type average struct {
	value float64
	at    time.Time
}

func (a *average) add(amount float64, now time.Time) {
	a.value = a.current(now) + amount/averagingTime.Seconds()
	a.at = now
}

func (a *average) current(now time.Time) float64 {
	return a.value * math.Exp(-now.Sub(a.at).Seconds()/averagingTime.Seconds())
}

// Meter measures the work of this node and collects the reports of the others. All methods are
// safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	began   time.Time
	own     map[cluster.GroupName]*average
	reports map[cluster.NodeID]report
}

type report struct {
	rates Rates
	at    time.Time
}

// NewMeter returns a Meter that has measured nothing.
func NewMeter() *Meter {
	return &Meter{own: make(map[cluster.GroupName]*average), reports: make(map[cluster.NodeID]report)}
}

// Record counts a request that takes that much of a replica's time.
func (m *Meter) Record(group cluster.GroupName, work time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.began.IsZero() {
		m.began = now
	}
	if m.own[group] == nil {
		m.own[group] = &average{at: now}
	}
	m.own[group].add(work.Seconds(), now)
}

// Own returns the work of this node.
func (m *Meter) Own(now time.Time) Rates {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownRates(now)
}

// ownRates returns the work of this node; the caller holds m.mu. The average of a node that has
// just started to measure covers less than its time constant.
func (m *Meter) ownRates(now time.Time) Rates {
	rates := make(Rates, len(m.own))
	covered := 1 - math.Exp(-max(now.Sub(m.began), time.Second).Seconds()/averagingTime.Seconds())
	for group, a := range m.own {
		rates[group] = a.current(now) / covered
	}
	return rates
}

// Observe records another node's report.
func (m *Meter) Observe(node cluster.NodeID, rates Rates, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reports[node] = report{rates: rates, at: now}
}

// Total estimates the work of all nodes, of which there are peers beside this one: those that
// have not reported lately count like the mean of the others. It returns nil while too little
// is known.
func (m *Meter) Total(peers int, now time.Time) Rates {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.began.IsZero() || now.Sub(m.began) < minMeasured {
		return nil
	}
	total, reported := m.ownRates(now), 1
	for node, r := range m.reports {
		if now.Sub(r.at) >= reportLifetime {
			delete(m.reports, node)
			continue
		}
		reported++
		for group, rate := range r.rates {
			total[group] += rate
		}
	}
	nodes := max(peers+1, reported)
	if float64(reported) < minReportedShare*float64(nodes) {
		return nil
	}
	for group := range total {
		total[group] *= float64(nodes) / float64(reported)
	}
	return total
}

package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

const (
	// limitReportTTL is how long after a server said something of its limit it is reported to others.
	limitReportTTL = 30 * time.Second
	// urgentReports is the number of reports in which a limit that began or ended goes ahead of all
	// others. Each node passes it on as often, so that hardly any node misses it.
	urgentReports = 8
)

// LimitReport is what a server said of its limit, as one node reports it to another.
type LimitReport struct {
	// ID identifies the server's process.
	ID uint32
	// PerSecond is in requests per second; 0 if the server named no limit any more.
	PerSecond float64
	// Age is how long ago the server said so.
	Age time.Duration
}

// LimitReports returns at most n limits to report to other nodes, those first that began or ended
// lately; if urgent is set, only these.
func (t *Table) LimitReports(now time.Time, n int, urgent bool) []LimitReport {
	type candidate struct {
		*rateLimit
		reports int
		report  LimitReport
	}
	var due []candidate
	t.limits.mu.Lock()
	for _, l := range t.limits.byProcess {
		if !l.named.Load() {
			continue
		}
		l.mu.Lock()
		if age := now.Sub(l.saidAt); age < limitReportTTL && (!urgent || l.reports < urgentReports) {
			due = append(due, candidate{l, min(l.reports, urgentReports), LimitReport{l.id, l.perSecond, age}})
		}
		l.mu.Unlock()
	}
	t.limits.mu.Unlock()
	slices.SortFunc(due, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.reports, b.reports), cmp.Compare(a.report.Age, b.report.Age))
	})
	var out []LimitReport
	for _, c := range due[:min(max(n, 0), len(due))] {
		c.mu.Lock()
		c.rateLimit.reports++
		c.mu.Unlock()
		out = append(out, c.report)
	}
	return out
}

// ObserveLimitReport records what another node reported. Changed is true if a limit began, changed or
// ended by that.
func (t *Table) ObserveLimitReport(r LimitReport, now time.Time) (server cluster.VMID, changed bool) {
	t.limits.mu.Lock()
	l := t.limits.byID[r.ID]
	t.limits.mu.Unlock()
	if l == nil || r.Age < 0 || r.Age >= limitReportTTL {
		return "", false
	}
	return l.server, l.set(r.PerSecond, now.Add(-r.Age), LimitReported)
}

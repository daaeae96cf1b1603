package entry

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/routing"
)

const (
	// limitEntrySize is the least size in bytes of one reported limit in a datagram: a 4-byte id, a
	// rate and an age.
	limitEntrySize = 4 + 1 + 1
	// limitListsSize is the size of the tags and lengths of the three lists.
	limitListsSize = 3 * 3
	// limitUnit is the number of units of a reported rate limit in one request per second.
	limitUnit = 1000
)

var (
	limitsByAnswer = metrics.NewCounter(`fennel_rate_limit_changes_total{basis="answer"}`)
	limitsByReport = metrics.NewCounter(`fennel_rate_limit_changes_total{basis="report"}`)
)

// nodeShares splits the rate that a server takes between a few of the nodes, so that each has
// whole requests to send at any number of nodes. It implements routing.Shares.
type nodeShares struct{ n *Core }

// requestsPerSender is the rate, in requests per second, for which a further node sends to a
// limited server. Each sender may send one request at once, so that few of them keep the excess
// over the rate small.
const requestsPerSender = 4

// Share implements routing.Shares.
func (s nodeShares) Share(server cluster.VMID, perSecond float64) routing.Share {
	if s.n.standing == nil {
		return routing.Share{PerSecond: perSecond / float64(max(s.n.cfg.Retries.Nodes, 1)), Nodes: 1}
	}
	rank, nodes := s.n.standing("limit/" + string(server))
	share := routing.Share{Rank: rank, Nodes: nodes}
	if senders := min(nodes, 1+int(perSecond/requestsPerSender)); rank < senders {
		share.PerSecond = perSecond / float64(senders)
	}
	return share
}

// reportLimitChange logs a limit that began, changed or ended by an answer to this node, and has it
// reported to the others.
func (n *Core) reportLimitChange(server cluster.VMID, perSecond float64, request string) {
	limitsByAnswer.Inc()
	n.logLimit(server, perSecond, "basis", routing.LimitAnswer, "request", request)
	n.reportSoon()
}

func (n *Core) logLimit(server cluster.VMID, perSecond float64, fields ...any) {
	share := nodeShares{n}.Share(server, perSecond)
	fields = append([]any{"server", server, "per_second", perSecond, "share", share.PerSecond, "rank", share.Rank, "nodes", share.Nodes}, fields...)
	n.log.Info("rate limit", fields...)
}

// LimitReport returns what servers said of their rate limits, in at most budget bytes.
func (n *Core) LimitReport(budget int) membership.Section { return n.limitSection(budget, false) }

// UrgentLimitReport returns the part of LimitReport that began or ended lately.
func (n *Core) UrgentLimitReport(budget int) membership.Section { return n.limitSection(budget, true) }

// limitsAnd returns the source of limits, in at most half of the budget, and of another report in the
// space that is left.
func limitsAnd(limits, other membership.Source) membership.Source {
	return func(budget int) membership.Section {
		named := limits(budget / 2)
		out := other(budget - membership.SectionSize(named))
		out.LimitIDs, out.LimitRates, out.LimitAgesMs = named.LimitIDs, named.LimitRates, named.LimitAgesMs
		return out
	}
}

func (n *Core) limitSection(budget int, urgent bool) (out membership.Section) {
	for _, r := range n.table.LimitReports(time.Now(), (budget-limitListsSize)/limitEntrySize, urgent) {
		rate := uint32(min(r.PerSecond*limitUnit, math.MaxUint32))
		if r.PerSecond > 0 {
			rate = max(rate, 1)
		}
		age := uint32((r.Age + time.Millisecond - 1).Milliseconds())
		longer := membership.Section{LimitIDs: append(out.LimitIDs, r.ID), LimitRates: append(out.LimitRates, rate), LimitAgesMs: append(out.LimitAgesMs, age)}
		if membership.SectionSize(longer) > budget {
			break
		}
		out = longer
	}
	return out
}

// ReceiveLimitReport applies what another node reported of servers' rate limits at sentAt, and passes
// on what was new. The time that the report was under way makes it older, never newer: what a server
// said before must not end what it said since.
func (n *Core) ReceiveLimitReport(from cluster.NodeID, report membership.Section, sentAt time.Time) {
	ids, rates, ages := report.LimitIDs, report.LimitRates, report.LimitAgesMs
	if len(ids) == 0 || len(ids) != len(rates) || len(ids) != len(ages) {
		return
	}
	now := time.Now()
	delay := max(now.Sub(sentAt), 0)
	changed := false
	for i, id := range ids {
		r := routing.LimitReport{ID: id, PerSecond: float64(rates[i]) / limitUnit, Age: time.Duration(ages[i])*time.Millisecond + delay}
		if server, ok := n.table.ObserveLimitReport(r, now); ok {
			limitsByReport.Inc()
			n.logLimit(server, r.PerSecond, "basis", routing.LimitReported, "age", r.Age, "from", from)
			changed = true
		}
	}
	if changed {
		n.reportSoon()
	}
}

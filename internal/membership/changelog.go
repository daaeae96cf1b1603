package membership

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// changeLog collects the membership changes between two log lines. Each node sees the
// changes of all others, so one line per change would be thousands of lines when hundreds
// of nodes start.
type changeLog struct {
	mu      sync.Mutex
	changes []Change
}

// record counts the changes and keeps them for the next summary line.
func (c *changeLog) record(changes []Change, log *slog.Logger) {
	for _, change := range changes {
		metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_membership_changes_total{to=%q}`, change.Member.Status)).Inc()
		log.Debug("member", "node", change.Member.Node, "zone", change.Member.Zone, "incarnation", change.Member.Incarnation,
			"from", change.From.String(), "to", change.Member.Status.String(), "reason", change.Reason, "heard_ago", change.Member.HeardAgo)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, changes...)
}

// flush logs one summary line of the changes since the previous call.
func (c *changeLog) flush(log *slog.Logger) {
	c.mu.Lock()
	changes := c.changes
	c.changes = nil
	c.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	to := make(map[Status][]cluster.NodeID)
	for _, change := range changes {
		to[change.Member.Status] = append(to[change.Member.Status], change.Member.Node)
	}
	log.Info("members", "alive", nodeList(to[Alive]), "suspect", nodeList(to[Suspect]), "dead", nodeList(to[Dead]))
}

// maxListedNodes is the maximum number of node names in a log line.
const maxListedNodes = 8

// nodeList formats the first few node names and the number of the others.
func nodeList(nodes []cluster.NodeID) string {
	var names []string
	for _, n := range nodes[:min(len(nodes), maxListedNodes)] {
		names = append(names, string(n))
	}
	if more := len(nodes) - maxListedNodes; more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return strings.Join(names, ",")
}

package entry

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

const (
	// quarantineTime is how long a request is refused after it was last sent, and how long the
	// store keeps it: the longest lease that the platform grants.
	quarantineTime = 10 * time.Minute
	// maxTurnWait is how long a suspect waits at most for this node's turn to use a replica. It
	// is well below the time for which the relay holds a suspect.
	maxTurnWait = 1500 * time.Millisecond
	// quarantineRetryInterval is the pause after a failed write of a quarantine.
	quarantineRetryInterval = time.Second
	// maxPendingQuarantines bounds the quarantines that wait for the store.
	maxPendingQuarantines = 64
)

// quarantineWriter writes the requests that this node quarantined to the platform's store, from
// which nodes that start later read them. Each expires with a lease of its own.
type quarantineWriter struct {
	store   store.Store
	scope   cluster.ZoneID
	node    cluster.NodeID
	log     *slog.Logger
	pending chan string
}

func newQuarantineWriter(s store.Store, scope cluster.ZoneID, node cluster.NodeID, log *slog.Logger) *quarantineWriter {
	return &quarantineWriter{store: s, scope: scope, node: node, log: log, pending: make(chan string, maxPendingQuarantines)}
}

// add schedules the write of a quarantine. It does not block.
func (w *quarantineWriter) add(fingerprint string) {
	select {
	case w.pending <- fingerprint:
	default:
		w.log.Warn("quarantine not stored", "fingerprint", fingerprint, "pending", maxPendingQuarantines)
	}
}

// run writes the quarantines until ctx ends.
func (w *quarantineWriter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case fingerprint := <-w.pending:
			w.write(ctx, fingerprint)
		}
	}
}

// write writes one quarantine. It retries for as long as the quarantine lasts.
func (w *quarantineWriter) write(ctx context.Context, fingerprint string) {
	ctx, cancel := context.WithTimeout(ctx, quarantineTime)
	defer cancel()
	key := store.QuarantineKey(w.scope, fingerprint)
	for ctx.Err() == nil {
		err := w.tryWrite(ctx, key)
		if err == nil {
			w.log.Info("quarantine stored", "fingerprint", fingerprint)
			return
		}
		w.log.Warn("quarantine not stored yet", "fingerprint", fingerprint, "err", err.Error())
		clock.Pause(ctx, quarantineRetryInterval)
	}
}

func (w *quarantineWriter) tryWrite(ctx context.Context, key string) error {
	lease, err := w.store.Grant(ctx, quarantineTime)
	if err != nil {
		return err
	}
	_, err = w.store.Txn(ctx, store.Txn{Then: []store.Op{store.Put(key, []byte(w.node), lease)}})
	return err
}

// quarantinesChanged adopts the quarantines that were written to the store. One that the store
// removes ends by itself on each node.
func (n *Core) quarantinesChanged(c fleet.Change) {
	prefix := store.QuarantinesPrefix(cluster.ZoneID(n.cfg.Region))
	for _, kv := range c.Written {
		if !n.suspects.AdoptQuarantine(strings.TrimPrefix(kv.Key, prefix)) {
			n.log.Warn("quarantine unreadable", "key", kv.Key)
		}
	}
}

// SuspectReport returns what this node knows of requests that crash servers, in at most budget
// bytes, for another node.
func (n *Core) SuspectReport(budget int) membership.Section { return n.suspects.Section(budget) }

// UrgentSuspectReport returns the part of SuspectReport that few nodes have been sent yet.
func (n *Core) UrgentSuspectReport(budget int) membership.Section {
	return n.suspects.UrgentSection(budget)
}

// ReceiveSuspectReport applies another node's report.
func (n *Core) ReceiveSuspectReport(d *wirepb.Datagram) {
	n.suspects.Receive(membership.Member{}, d)
}

package lifecycle

import (
	"log/slog"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// evidenceKind says why a replica, or one of its members, is known to serve no more.
type evidenceKind string

// Kinds of evidence that free a VM for another replica. Each comes from the VM's own
// process, or from the fact that nothing could have made it serve. Silence, a refused
// connection and absence from the list are none: the process may go on where it was.
const (
	// headLeft: the head answered a leave order.
	headLeft evidenceKind = "head-left"
	// headStopped: the head's entry says that it broke, is in no replica or in another one.
	headStopped evidenceKind = "head-stopped"
	// memberLeft: the member answered a leave order.
	memberLeft evidenceKind = "member-left"
	// memberElsewhere: the member's entry says that it is in no replica or in another one.
	memberElsewhere evidenceKind = "member-elsewhere"
	// neverOpened: no open order was ever sent for the replica.
	neverOpened evidenceKind = "never-opened"
)

// evidence is why a VM counts as free.
type evidence struct {
	kind evidenceKind
	// vm is the VM that said so, and born the start of its process; empty for neverOpened.
	vm   cluster.VMID
	born time.Time
	// at is when it was said, by this node's clock.
	at time.Time
}

// attrs are the fields of a log line.
func (e evidence) attrs(now time.Time) slog.Attr {
	return slog.Group("evidence", "kind", e.kind, "vm", e.vm, "born", e.born, "age", now.Sub(e.at))
}

package lifecycle

import (
	"log/slog"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// evidenceKind is the kind of proof that a replica, or one of its members, has stopped serving.
type evidenceKind string

// Kinds of evidence that release a VM for another replica. Each comes from the VM's own
// process, or from the fact that nothing could have made it serve. A timeout, a refused
// connection and absence from the list are no evidence: the process may resume where it was.
const (
	// evidenceHeadLeft: the head confirmed a leave order.
	evidenceHeadLeft evidenceKind = "head-left"
	// evidenceHeadStopped: the head's list entry reports broken, no replica or another replica.
	evidenceHeadStopped evidenceKind = "head-stopped"
	// evidenceMemberLeft: the member confirmed a leave order.
	evidenceMemberLeft evidenceKind = "member-left"
	// evidenceMemberElsewhere: the member's list entry reports no replica or another replica.
	evidenceMemberElsewhere evidenceKind = "member-elsewhere"
	// evidenceNeverOpened: no open order was ever sent for the replica.
	evidenceNeverOpened evidenceKind = "never-opened"
)

// evidence is the proof on which a VM is released.
type evidence struct {
	kind evidenceKind
	// vm is the VM that gave the evidence and processStart the start time of its process;
	// both are zero for evidenceNeverOpened.
	vm           cluster.VMID
	processStart time.Time
	// at is when the evidence was given, by this node's clock.
	at time.Time
}

// attrs returns the evidence as a group of log fields.
func (e evidence) attrs(now time.Time) slog.Attr {
	return slog.Group("evidence", "kind", e.kind, "vm", e.vm, "born", e.processStart, "age", now.Sub(e.at))
}

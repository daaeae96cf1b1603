package membership

import (
	"log/slog"

	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Section holds the fields that another package adds to a datagram.
type Section struct {
	Replicas    []*wirepb.ReplicaStatus
	Quarantines []*wirepb.QuarantineMark
	Crashes     []*wirepb.CrashMark
	Suspects    []*wirepb.SuspectMark
	Demands     []*wirepb.TeamDemand
	// LoadIDs and LoadCounts are the node's own requests in flight per replica.
	LoadIDs, LoadCounts []uint32
	// LoadUnread are the unread prompt tokens of these requests, in units of 32; empty if unknown.
	LoadUnread []uint32
	// Asked is set once the node has received a request.
	Asked bool
	// StalledIDs are replicas that the node found stalled; WorkingIDs are replicas that
	// were reported as stalled but whose members all answer this node.
	StalledIDs, WorkingIDs []uint32
	// WorkIDs and WorkRates are the work that arrives at the node by model, in thousandths of
	// a replica kept fully busy.
	WorkIDs, WorkRates []uint32
	// LimitIDs, LimitRates and LimitAgesMs are what servers said of their rate limits, in
	// thousandths of a request per second.
	LimitIDs, LimitRates, LimitAgesMs []uint32
	// Path tells whether the node reaches the backend servers, and PathIDs, PathReports and
	// PathAgesMs what other nodes reported to it of themselves, as in package reach.
	Path                             uint32
	PathIDs, PathReports, PathAgesMs []uint32
}

// Source returns the section for the next datagram, of at most budget encoded bytes (see
// SectionSize). Datagrams can be lost, so a source must repeat what has to arrive. It must
// not block.
type Source func(budget int) Section

// SectionSize returns the encoded size of a section in a datagram, in bytes.
func SectionSize(s Section) int {
	return proto.Size(&wirepb.Datagram{
		Replicas: s.Replicas, Quarantines: s.Quarantines, Crashes: s.Crashes,
		Suspects: s.Suspects, Demands: s.Demands, Asked: s.Asked, LoadIds: s.LoadIDs, LoadCounts: s.LoadCounts, LoadUnread: s.LoadUnread, StalledIds: s.StalledIDs, WorkingIds: s.WorkingIDs,
		WorkIds: s.WorkIDs, WorkRates: s.WorkRates, LimitIds: s.LimitIDs, LimitRates: s.LimitRates, LimitAgesMs: s.LimitAgesMs,
		Path: s.Path, PathIds: s.PathIDs, PathReports: s.PathReports, PathAgesMs: s.PathAgesMs,
	})
}

// fill adds the sections of the sources in order. Each source gets an equal part of the
// space that is left, so space unused by earlier sources is available to later ones.
func fill(d *wirepb.Datagram, limit int, sources []Source, log *slog.Logger) {
	room := limit - proto.Size(d)
	for i, source := range sources {
		budget := room / (len(sources) - i)
		if budget <= 0 {
			return
		}
		section := source(budget)
		size := SectionSize(section)
		if size > budget {
			log.Error("heartbeat section exceeds its budget and was omitted", "source", i, "bytes", size, "budget", budget)
			continue
		}
		room -= size
		d.Replicas = append(d.Replicas, section.Replicas...)
		d.Quarantines = append(d.Quarantines, section.Quarantines...)
		d.Crashes = append(d.Crashes, section.Crashes...)
		d.Suspects = append(d.Suspects, section.Suspects...)
		d.Demands = append(d.Demands, section.Demands...)
		d.LoadIds = append(d.LoadIds, section.LoadIDs...)
		d.LoadCounts = append(d.LoadCounts, section.LoadCounts...)
		d.LoadUnread = append(d.LoadUnread, section.LoadUnread...)
		d.StalledIds = append(d.StalledIds, section.StalledIDs...)
		d.WorkingIds = append(d.WorkingIds, section.WorkingIDs...)
		d.WorkIds = append(d.WorkIds, section.WorkIDs...)
		d.WorkRates = append(d.WorkRates, section.WorkRates...)
		d.LimitIds = append(d.LimitIds, section.LimitIDs...)
		d.LimitRates = append(d.LimitRates, section.LimitRates...)
		d.LimitAgesMs = append(d.LimitAgesMs, section.LimitAgesMs...)
		d.PathIds = append(d.PathIds, section.PathIDs...)
		d.PathReports = append(d.PathReports, section.PathReports...)
		d.PathAgesMs = append(d.PathAgesMs, section.PathAgesMs...)
		d.Path = max(d.Path, section.Path)
		d.Asked = d.Asked || section.Asked
	}
}

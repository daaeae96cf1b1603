package daemon

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// peerFetcher fetches rules, groupings and the VM list from other nodes.
type peerFetcher struct{ n *Node }

// FetchRules implements rulestore.PeerFetcher.
func (f peerFetcher) FetchRules(ctx context.Context, node cluster.NodeID, have int64) (*wirepb.FetchRulesResponse, error) {
	for _, m := range f.n.members.Members() {
		if m.Node == node && m.PeerAddr != "" {
			return f.n.peers.FetchRules(ctx, m.PeerAddr, have)
		}
	}
	return nil, fennelerr.New(fennelerr.NotFound, "no address of node %s is known", node)
}

// FetchGrouping implements grouping.Peers. Each call asks only one node of the zone, in
// round-robin order: a newer grouping is as large as the zone's table.
func (f peerFetcher) FetchGrouping(ctx context.Context, zone cluster.ZoneID, have int64) (cluster.Grouping, error) {
	unchanged := cluster.Grouping{Zone: zone}
	addr := f.nextPeerAddr(zone)
	if addr == "" {
		return unchanged, fennelerr.New(fennelerr.NotFound, "no node of zone %s is known", zone)
	}
	resp, err := f.n.peers.FetchGrouping(ctx, addr, zone, have)
	if err != nil || resp.Revision <= have || len(resp.GroupingJson) == 0 {
		return unchanged, err
	}
	var newer cluster.Grouping
	if err := json.Unmarshal(resp.GroupingJson, &newer); err != nil {
		return unchanged, err
	}
	return newer, nil
}

// nextPeerAddr returns the address of the zone's next live node in round-robin order, or
// of any zone's if zone is empty. It returns "" if there is none.
func (f peerFetcher) nextPeerAddr(zone cluster.ZoneID) string {
	members := slices.DeleteFunc(f.n.servingMembers(), func(m membership.Member) bool { return (zone != "" && m.Zone != zone) || m.PeerAddr == "" })
	if len(members) == 0 {
		return ""
	}
	return members[f.n.nextPeerIndex.Add(1)%uint64(len(members))].PeerAddr
}

// findDuplicateNode asks the nodes at addrs whether they receive heartbeats from another
// process with this node's name.
func (n *Node) findDuplicateNode(ctx context.Context, addrs []string) membership.DuplicateStatus {
	status := membership.DuplicateUnknown
	for _, addr := range addrs {
		heard, err := n.peers.ReceivesHeartbeatsFrom(ctx, addr, n.cfg.Node)
		switch {
		case err != nil:
			n.log.Warn("duplicate node check failed", "peer", addr, "err", err.Error())
		case heard:
			return membership.DuplicateAlive
		default:
			status = membership.DuplicateGone
		}
	}
	return status
}

// peerSource serves the requests of other nodes.
type peerSource struct{ n *Node }

// FetchRules implements peer.RulesSource.
func (s peerSource) FetchRules(_ context.Context, have int64) (*wirepb.FetchRulesResponse, error) {
	return s.n.rules.FetchRules(have), nil
}

// FetchGrouping implements peer.GroupingSource.
func (s peerSource) FetchGrouping(_ context.Context, zone cluster.ZoneID, have int64) (*wirepb.FetchGroupingResponse, error) {
	if zone != s.n.cfg.Zone {
		return nil, fennelerr.New(fennelerr.NotFound, "this node keeps the grouping of zone %s only", s.n.cfg.Zone)
	}
	g := s.n.grouping.Current()
	if g.Revision <= have {
		return &wirepb.FetchGroupingResponse{Zone: string(zone), Revision: g.Revision}, nil
	}
	doc, err := json.Marshal(g)
	if err != nil {
		return nil, err
	}
	return &wirepb.FetchGroupingResponse{Zone: string(zone), Revision: g.Revision, GroupingJson: doc}, nil
}

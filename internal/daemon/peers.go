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

// peerFetcher asks other nodes for rules and groupings.
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

// FetchGrouping implements grouping.Peers. It asks one node of the zone at a
// time, another one with each call: the answer is as large as the zone's table
// when there is news, and small otherwise.
func (f peerFetcher) FetchGrouping(ctx context.Context, zone cluster.ZoneID, have int64) (cluster.Grouping, error) {
	none := cluster.Grouping{Zone: zone}
	addr := f.nextPeer(zone)
	if addr == "" {
		return none, fennelerr.New(fennelerr.NotFound, "no node of zone %s is known", zone)
	}
	resp, err := f.n.peers.FetchGrouping(ctx, addr, zone, have)
	if err != nil || resp.Revision <= have || len(resp.GroupingJson) == 0 {
		return none, err
	}
	var newer cluster.Grouping
	if err := json.Unmarshal(resp.GroupingJson, &newer); err != nil {
		return none, err
	}
	return newer, nil
}

// nextPeer takes the zone's live nodes in turn; those of all zones if none is given.
func (f peerFetcher) nextPeer(zone cluster.ZoneID) string {
	members := slices.DeleteFunc(f.n.servingMembers(), func(m membership.Member) bool { return (zone != "" && m.Zone != zone) || m.PeerAddr == "" })
	if len(members) == 0 {
		return ""
	}
	return members[f.n.peerTurn.Add(1)%uint64(len(members))].PeerAddr
}

// findNamesake asks nodes whether they hear a process under this node's name.
func (n *Node) findNamesake(ctx context.Context, addrs []string) membership.DuplicateStatus {
	sighting := membership.DuplicateUnknown
	for _, addr := range addrs {
		heard, err := n.peers.Hears(ctx, addr, n.set.Node)
		switch {
		case err != nil:
			n.log.Warn("not told who has this node's name", "peer", addr, "err", err.Error())
		case heard:
			return membership.DuplicateAlive
		default:
			sighting = membership.DuplicateGone
		}
	}
	return sighting
}

// peerSource answers other nodes' questions.
type peerSource struct{ n *Node }

// FetchRules implements peer.RulesSource.
func (s peerSource) FetchRules(_ context.Context, have int64) (*wirepb.FetchRulesResponse, error) {
	return s.n.rules.FetchRules(have), nil
}

// FetchGrouping implements peer.GroupingSource.
func (s peerSource) FetchGrouping(_ context.Context, zone cluster.ZoneID, have int64) (*wirepb.FetchGroupingResponse, error) {
	if zone != s.n.set.Zone {
		return nil, fennelerr.New(fennelerr.NotFound, "this node keeps the grouping of zone %s only", s.n.set.Zone)
	}
	g := s.n.table.Current()
	if g.Revision <= have {
		return &wirepb.FetchGroupingResponse{Zone: string(zone), Revision: g.Revision}, nil
	}
	doc, err := json.Marshal(g)
	if err != nil {
		return nil, err
	}
	return &wirepb.FetchGroupingResponse{Zone: string(zone), Revision: g.Revision, GroupingJson: doc}, nil
}

package daemon

import (
	"context"
	"encoding/json"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
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

// groupingAsked bounds how many peers are asked for a grouping at a time.
const groupingAsked = 3

// FetchGrouping implements grouping.Peers: it asks a few nodes of the zone, the
// most recently heard first.
func (f peerFetcher) FetchGrouping(ctx context.Context, zone cluster.ZoneID, have int64) (cluster.Grouping, error) {
	newest := cluster.Grouping{Zone: zone}
	var last error
	asked := 0
	for _, m := range f.n.members.Members() {
		if m.Zone != zone || m.PeerAddr == "" || asked == groupingAsked {
			continue
		}
		asked++
		resp, err := f.n.peers.FetchGrouping(ctx, m.PeerAddr, zone)
		if err != nil {
			last = err
			continue
		}
		if resp.Revision <= max(have, newest.Revision) {
			continue
		}
		if err := json.Unmarshal(resp.GroupingJson, &newest); err != nil {
			last = err
		}
	}
	if newest.Revision == 0 && last != nil {
		return newest, last
	}
	return newest, nil
}

// peerSource answers other nodes' questions.
type peerSource struct{ n *Node }

// FetchRules implements peer.RulesSource.
func (s peerSource) FetchRules(_ context.Context, have int64) (*wirepb.FetchRulesResponse, error) {
	return s.n.rules.FetchRules(have), nil
}

// FetchGrouping implements peer.GroupingSource.
func (s peerSource) FetchGrouping(_ context.Context, zone cluster.ZoneID) (*wirepb.FetchGroupingResponse, error) {
	if zone != s.n.set.Zone {
		return nil, fennelerr.New(fennelerr.NotFound, "this node keeps the grouping of zone %s only", s.n.set.Zone)
	}
	g := s.n.table.Current()
	doc, err := json.Marshal(g)
	if err != nil {
		return nil, err
	}
	return &wirepb.FetchGroupingResponse{Zone: string(zone), Revision: g.Revision, GroupingJson: doc}, nil
}

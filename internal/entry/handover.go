package entry

import (
	"context"
	"net"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/reach"
	"github.com/fennelcourse/fennelcourse/internal/relay"
)

// nodeDialTimeout limits the time to connect to another node. If that takes longer, yet another
// node may be reached sooner.
const nodeDialTimeout = 400 * time.Millisecond

// enableHandOver has calls go to another node while this one reaches no backend server. A node that
// knows no others refuses them at once.
func (n *Core) enableHandOver(o *relay.Options, opts CoreOptions) {
	accepts := func(ctx context.Context, p conns.Peer) bool { return o.Backend.Accepts(ctx, p) }
	n.reach = reach.NewDetector(reach.Options{Servers: n.listedServers, Accepts: accepts, OnLost: n.onServersLost, Log: n.log})
	o.Reach, o.Paths = n.reach, n.paths
	if n.platform.NodeClient == nil || opts.Nodes == nil {
		return
	}
	o.Zone = n.cfg.Zone
	o.Nodes, o.NodeClient = opts.Nodes, n.platform.NodeClient(n.nodePool, opts.SignHandOver)
}

// onServersLost moves the calls that can be repeated to other nodes.
func (n *Core) onServersLost() {
	n.log.Warn("calls move to other nodes", "count", n.relay.LostServers())
}

// listedServers returns the processes of the servers that may be used, in this node's zone and in
// others.
func (n *Core) listedServers() (local, others []conns.Peer) {
	list, _ := n.currentList()
	for i := range list.Servers {
		s := &list.Servers[i]
		if s.Draining || list.IsEvacuated(s.Zone) {
			continue
		}
		peer := peerOf(s)
		if s.Zone == n.cfg.Zone {
			local = append(local, peer)
		} else {
			others = append(others, peer)
		}
	}
	return local, others
}

// nodes returns the other live nodes. All of them take callers' requests at the same port.
func (r *regionPeers) nodes() (out []relay.Node) {
	members := r.members.Load()
	_, port, err := net.SplitHostPort(r.cfg.Listen.Callers)
	if members == nil || err != nil {
		return nil
	}
	for _, m := range members.Members() {
		host, _, err := net.SplitHostPort(m.PeerAddr)
		if err != nil || m.Status != membership.Alive || m.Leaving {
			continue
		}
		out = append(out, relay.Node{ID: m.Node, Zone: m.Zone, Addr: net.JoinHostPort(host, port)})
	}
	return out
}

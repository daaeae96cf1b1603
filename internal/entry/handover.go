package entry

import (
	"context"
	"net"

	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/reach"
	"github.com/fennelcourse/fennelcourse/internal/relay"
)

// enableHandOver has calls go to another node while this one reaches no backend server.
func (n *Core) enableHandOver(o *relay.Options, opts CoreOptions) {
	accepts := func(ctx context.Context, p conns.Peer) bool { return o.Backend.Accepts(ctx, p) }
	n.reach = reach.NewDetector(reach.Options{Servers: n.listedServers, Accepts: accepts, OnLost: n.onServersLost, Log: n.log})
	if n.platform.NodeClient == nil || opts.Nodes == nil {
		return
	}
	o.Reach, o.Nodes, o.NodeClient = n.reach, opts.Nodes, n.platform.NodeClient(n.nodePool)
}

// onServersLost moves the calls that can be repeated to other nodes.
func (n *Core) onServersLost() {
	n.log.Warn("calls move to other nodes", "count", n.relay.LostServers())
}

// listedServers returns the processes of the servers that may be used.
func (n *Core) listedServers() (out []conns.Peer) {
	list, _ := n.currentList()
	for _, s := range list.Servers {
		if !s.Draining && !list.IsEvacuated(s.Zone) {
			out = append(out, conns.Peer{Server: s.ID, Addr: s.Addr, StartedUnixMs: s.StartedAt.UnixMilli()})
		}
	}
	return out
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
		out = append(out, relay.Node{ID: m.Node, Addr: net.JoinHostPort(host, port)})
	}
	return out
}

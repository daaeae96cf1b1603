package daemon

import (
	"context"
	"net"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
)

// listedEngines returns the engines of the listed VMs, in this node's zone and in others.
func (n *Node) listedEngines() (local, others []conns.Peer) {
	for _, vm := range n.vms.List().VMs {
		if vm.Service != "" || vm.State != cluster.VMLive {
			continue
		}
		peer := conns.Peer{Server: vm.ID, Addr: vm.Addr}
		if vm.Zone == n.cfg.Zone {
			local = append(local, peer)
		} else {
			others = append(others, peer)
		}
	}
	return local, others
}

// acceptsConnection reports whether an engine accepts a connection before ctx ends.
func acceptsConnection(ctx context.Context, p conns.Peer) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}

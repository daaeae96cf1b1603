package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/vmlist"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// vmListReadersPerZone is how many nodes of a zone read the platform's VM list.
const vmListReadersPerZone = 2

// newVMFetcher returns the source of this node's VM list: the platform or its peers.
func (n *Node) newVMFetcher() *vmlist.SharedFetcher {
	p := n.cfg.Platform
	return &vmlist.SharedFetcher{Platform: vmlist.NewClient(p.VMList, p.Timeout), Peers: peerFetcher{n}, Interval: p.VMListEvery,
		IsReader: func() bool { return n.members.Responsible("read-vms", vmListReadersPerZone) }}
}

// FetchVMs implements vmlist.PeerFetcher. Each call asks one live node, of its own zone if
// there is one.
func (f peerFetcher) FetchVMs(ctx context.Context) (cluster.VMList, error) {
	var list cluster.VMList
	addr := f.nextPeerAddr(f.n.cfg.Zone)
	if addr == "" {
		addr = f.nextPeerAddr("")
	}
	if addr == "" {
		return list, fennelerr.New(fennelerr.NotFound, "no peer is known")
	}
	have := f.n.vms.List()
	sum, _, err := vmlist.Checksum(have.VMs)
	if err != nil {
		return list, err
	}
	resp, err := f.n.peers.FetchVMs(ctx, addr, sum)
	if err != nil || resp.AsOfUnixNs == 0 {
		return list, err
	}
	list.AsOf = time.Unix(0, resp.AsOfUnixNs)
	if resp.Sum == sum {
		list.VMs = have.VMs
		return list, nil
	}
	return list, json.Unmarshal(resp.VmsJson, &list.VMs)
}

// FetchVMs implements peer.VMSource.
func (s peerSource) FetchVMs(_ context.Context, haveSum uint64) (*wirepb.FetchVMsResponse, error) {
	list := s.n.vms.List()
	if list.AsOf.IsZero() {
		return &wirepb.FetchVMsResponse{}, nil
	}
	sum, doc, err := vmlist.Checksum(list.VMs)
	if err != nil {
		return nil, err
	}
	resp := &wirepb.FetchVMsResponse{AsOfUnixNs: list.AsOf.UnixNano(), Sum: sum}
	if sum != haveSum || sum == 0 {
		resp.VmsJson = doc
	}
	return resp, nil
}

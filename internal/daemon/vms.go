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

// vmListReaders is how many nodes of a zone read the platform's VM list.
const vmListReaders = 2

// sharedVMs is where this node takes the VM list from.
func (n *Node) sharedVMs() *vmlist.Shared {
	p := n.set.Platform
	return &vmlist.Shared{Platform: vmlist.NewClient(p.VMList, p.Timeout), Peers: peerFetcher{n}, Interval: p.VMListEvery,
		Duty: func() bool { return n.members.Responsible("read-vms", vmListReaders) }}
}

// FetchVMs implements vmlist.PeerLists. It asks one live node at a time, one of
// its own zone if there is any.
func (f peerFetcher) FetchVMs(ctx context.Context) (cluster.VMList, error) {
	var list cluster.VMList
	addr := f.nextPeer(f.n.set.Zone)
	if addr == "" {
		addr = f.nextPeer("")
	}
	if addr == "" {
		return list, fennelerr.New(fennelerr.NotFound, "no peer is known")
	}
	have := f.n.vms.List()
	sum, _, err := vmlist.Sum(have.VMs)
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
	sum, doc, err := vmlist.Sum(list.VMs)
	if err != nil {
		return nil, err
	}
	resp := &wirepb.FetchVMsResponse{AsOfUnixNs: list.AsOf.UnixNano(), Sum: sum}
	if sum != haveSum || sum == 0 {
		resp.VmsJson = doc
	}
	return resp, nil
}

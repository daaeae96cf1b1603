package daemon

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/ledger"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/operator"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// operatorAPI serves fennelctl from the node's state.
type operatorAPI struct{ n *Node }

// NodeRevisions implements operator.NodeSource. It omits nodes that are shutting down
// gracefully, and includes dead ones until membership drops them.
func (o operatorAPI) NodeRevisions() []operator.NodeRevision {
	out := []operator.NodeRevision{{Node: o.n.cfg.Node, Zone: o.n.cfg.Zone, Revision: o.n.rules.Revision(), Heard: true}}
	for _, m := range o.n.members.Members() {
		if m.Leaving {
			continue
		}
		out = append(out, operator.NodeRevision{Node: m.Node, Zone: m.Zone, Revision: m.RulesRevision, HeardAgo: m.HeardAgo,
			Heard: m.HeardAgo >= 0 && m.Status != membership.Dead})
	}
	return out
}

// Status implements operator.StatusSource.
func (o operatorAPI) Status(ctx context.Context) (*wirepb.StatusResponse, error) {
	n, now := o.n, time.Now()
	reason := n.notReadyReason()
	resp := &wirepb.StatusResponse{Node: string(n.cfg.Node), Zone: string(n.cfg.Zone), Version: n.version, Ready: reason == "",
		NotReadyReason: reason, RulesRevision: n.rules.Revision(), StoreReachable: n.storeReachable(ctx)}
	for _, r := range o.NodeRevisions() {
		resp.Nodes = append(resp.Nodes, &wirepb.NodeRules{Node: string(r.Node), Zone: string(r.Zone), Revision: r.Revision,
			HeardAgoMs: r.HeardAgo.Milliseconds(), Heard: r.Heard})
	}
	for _, s := range n.health.Status() {
		report := &wirepb.ReplicaReport{Replica: string(s.Replica.ID), Group: string(s.Replica.Group), Zone: string(s.Replica.Zone),
			Generation: s.Replica.Generation, Whole: s.Healthy, Reason: s.Reason, Running: int32(s.Load.Running), Waiting: int32(s.Load.Waiting), ConfirmedAgoMs: neverConfirmed}
		if !s.ConfirmedAt.IsZero() {
			report.ConfirmedAgoMs = now.Sub(s.ConfirmedAt).Milliseconds()
		}
		resp.Replicas = append(resp.Replicas, report)
	}
	for _, t := range n.admission.Statuses() {
		resp.Teams = append(resp.Teams, &wirepb.TeamReport{Team: string(t.Team), Running: int32(t.Running), Waiting: int32(t.Waiting),
			Refused: n.gateway.RefusedRequests(t.Team)})
	}
	return resp, nil
}

// statusProbeTimeout bounds the status call's probe of the store.
const statusProbeTimeout = time.Second

func (n *Node) storeReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, statusProbeTimeout)
	defer cancel()
	_, err := n.store.Range(ctx, store.RulesKey, store.RangeOptions{Limit: 1, KeysOnly: true})
	return err == nil
}

// Explain implements operator.Explainer.
func (o operatorAPI) Explain(_ context.Context, req rules.Request) (*wirepb.ExplainResponse, error) {
	set := o.n.rules.Current()
	if set == nil {
		return nil, fennelerr.New(fennelerr.NotReady, "no rules are known on this node yet")
	}
	resp := operator.ExplainRule(set, req)
	route := set.Match(req)
	if route == nil || route.Group == "" {
		return resp, nil
	}
	choice, ok := o.n.routing.Peek(routing.Request{Group: route.Group, Prefer: route.Prefer})
	if !ok {
		resp.Reason = resp.Reason + "; no healthy replica of " + string(route.Group) + " is known here"
		return resp, nil
	}
	resp.Replica = string(choice.Replica.ID)
	resp.Reason = fmt.Sprintf("%s; replica by %s, of %d compared", resp.Reason, choice.Reason, choice.Considered)
	return resp, nil
}

// Outages implements operator.OutageSource. Unobserved time is reported as separate
// intervals, so that it cannot be mistaken for uptime.
func (o operatorAPI) Outages(ctx context.Context, from, to time.Time, zone cluster.ZoneID) (*wirepb.OutagesResponse, error) {
	out := &wirepb.OutagesResponse{}
	for _, z := range o.zones(zone) {
		windows, corrections, err := ledger.Load(ctx, o.n.store, z, from, to)
		if err != nil {
			return nil, err
		}
		report := ledger.BuildReport(z, from, to, windows, corrections)
		operator.AddReport(out, z, &report)
	}
	return out, nil
}

// zones returns the zones to report on: the requested one, or all known zones.
func (o operatorAPI) zones(requested cluster.ZoneID) []cluster.ZoneID {
	if requested != "" {
		return []cluster.ZoneID{requested}
	}
	zones := []cluster.ZoneID{o.n.cfg.Zone}
	for _, vm := range o.n.vms.List().VMs {
		if !slices.Contains(zones, vm.Zone) {
			zones = append(zones, vm.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

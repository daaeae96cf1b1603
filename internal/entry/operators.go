package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/operator"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/rulestore"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// operatorAPI serves fennelctl from the node's state. Rules are read-only here: the
// platform's operator writes them into the store.
type operatorAPI struct{ n *Node }

// parts returns the parts of the operator service that this kind of node implements.
func (o operatorAPI) parts() operator.Dependencies {
	return operator.Dependencies{Rules: o, Nodes: o, Status: o, Explain: o, Outages: o}
}

// Get implements operator.RulesAdmin; the node knows only the version in force.
func (o operatorAPI) Get(_ context.Context, revision int64) (rulestore.File, error) {
	inForce := o.n.currentRules()
	set := inForce.Set
	if set == nil {
		return rulestore.File{}, fennelerr.New(fennelerr.NotReady, "no configuration is known on this node yet")
	}
	if revision != 0 && revision != set.Revision {
		return rulestore.File{}, fennelerr.New(fennelerr.NotFound, "this node knows version %d only", set.Revision)
	}
	return rulestore.File{Revision: set.Revision, Text: set.Format(rulesAuthor(set)), FromMemory: !inForce.Fresh}, nil
}

func rulesAuthor(set *rules.Set) string {
	return fmt.Sprintf("the platform's operator, version %d", set.Revision)
}

// Apply implements operator.RulesAdmin; it always refuses.
func (operatorAPI) Apply(context.Context, rulestore.ApplyRequest) (rulestore.ApplyResult, error) {
	return rulestore.ApplyResult{}, fennelerr.New(fennelerr.PermissionDenied, "on this platform the operator's configuration is changed in the platform's store")
}

// History implements operator.RulesAdmin; this kind of node keeps no history.
func (operatorAPI) History(context.Context, int) ([]rulestore.Version, error) { return nil, nil }

// NodeRevisions implements operator.NodeSource. On this platform nodes do not exchange
// their rules revisions, so each node reports only itself.
func (o operatorAPI) NodeRevisions() []operator.NodeRevision {
	revision := int64(0)
	if set := o.n.rules.Load(); set != nil {
		revision = set.Revision
	}
	return []operator.NodeRevision{{Node: o.n.cfg.Node, Zone: o.n.cfg.Zone, Revision: revision, Heard: true}}
}

// Status implements operator.StatusSource.
func (o operatorAPI) Status(context.Context) (*wirepb.StatusResponse, error) {
	n, now := o.n, time.Now()
	reason := n.notReadyReason()
	resp := &wirepb.StatusResponse{Node: string(n.cfg.Node), Zone: string(n.cfg.Zone), Ready: reason == "", NotReadyReason: reason, StoreReachable: n.currentRules().Fresh}
	for _, r := range o.NodeRevisions() {
		resp.RulesRevision = r.Revision
		resp.Nodes = append(resp.Nodes, &wirepb.NodeRules{Node: string(r.Node), Zone: string(r.Zone), Revision: r.Revision, Heard: r.Heard})
	}
	list, _ := n.currentList()
	for _, s := range n.table.Statuses(now) {
		resp.Replicas = append(resp.Replicas, &wirepb.ReplicaReport{Replica: string(s.Replica.ID), Group: string(s.Replica.Group), Zone: string(s.Replica.Zone),
			Generation: s.Replica.Generation, Whole: s.Healthy, Running: int32(s.Load.Running), Waiting: int32(s.Load.Waiting), ConfirmedAgoMs: now.Sub(list.ReadAt).Milliseconds()})
	}
	return resp, nil
}

// Explain implements operator.Explainer. The path begins with its host, as in
// "a.example/advice/1".
func (o operatorAPI) Explain(_ context.Context, req rules.Request) (*wirepb.ExplainResponse, error) {
	set := o.n.rules.Load()
	if set == nil {
		return nil, fennelerr.New(fennelerr.NotReady, "no configuration is known on this node yet")
	}
	host, path, found := strings.Cut(strings.TrimPrefix(req.Path, "/"), "/")
	route := set.MatchHost(host, "/"+path)
	if !found || route == nil {
		return &wirepb.ExplainResponse{Reason: fmt.Sprintf("no route serves host %q and path %q; give both, as in a.example/advice/1", host, "/"+path)}, nil
	}
	resp := &wirepb.ExplainResponse{Rule: route.Verbatim, Reason: "the longest prefix of the path among the host's routes: " + route.Policy.Name}
	for _, w := range route.Policy.Split {
		resp.Target = strings.TrimPrefix(fmt.Sprintf("%s, service %s (weight %d)", resp.Target, w.Service, w.Weight), ", ")
	}
	group, _ := set.TargetGroup(route.Policy.Split[0].Service, req.Model)
	choice, ok := o.n.table.Peek(routing.Request{Group: group, Prefer: route.Prefer})
	if !ok {
		resp.Reason += "; no replica may take the call"
		return resp, nil
	}
	resp.Replica = string(choice.Replica.ID)
	resp.Reason += fmt.Sprintf("; replica by %s, of %d compared", choice.Reason, choice.Considered)
	return resp, nil
}

package entry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/operator"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/rulestore"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// operators answers fennelctl from what the node knows. The rules can be read and
// not changed here: the platform's operator writes them into the store.
type operators struct{ n *Node }

// parts are those of the operators' service that this form of a node serves.
func (o operators) parts() operator.Parts {
	return operator.Parts{Rules: o, Nodes: o, Status: o, Explain: o, Outages: o}
}

// Get implements operator.RulesAdmin; only the version in force is known.
func (o operators) Get(_ context.Context, revision int64) (rulestore.File, error) {
	set, fresh := o.n.currentRules()
	if set == nil {
		return rulestore.File{}, fennelerr.New(fennelerr.NotReady, "no configuration is known on this node yet")
	}
	if revision != 0 && revision != set.Revision {
		return rulestore.File{}, fennelerr.New(fennelerr.NotFound, "this node knows version %d only", set.Revision)
	}
	return rulestore.File{Revision: set.Revision, Text: set.Format(askedBy(set)), FromMemory: !fresh}, nil
}

func askedBy(set *rules.Set) string {
	return fmt.Sprintf("the platform's operator, version %d", set.Revision)
}

// Apply implements operator.RulesAdmin; it refuses.
func (operators) Apply(context.Context, rulestore.ApplyRequest) (rulestore.ApplyResult, error) {
	return rulestore.ApplyResult{}, fennelerr.New(fennelerr.PermissionDenied, "on this platform the operator's configuration is changed in the platform's store")
}

// History implements operator.RulesAdmin; this node keeps none.
func (operators) History(context.Context, int) ([]rulestore.Version, error) { return nil, nil }

// NodeRevisions implements operator.NodeSource. Nodes do not hear each other on
// this platform: each answers for itself.
func (o operators) NodeRevisions() []operator.NodeRevision {
	revision := int64(0)
	if set := o.n.rules.Load(); set != nil {
		revision = set.Revision
	}
	return []operator.NodeRevision{{Node: o.n.set.Node, Zone: o.n.set.Zone, Revision: revision, Heard: true}}
}

// Status implements operator.StatusSource.
func (o operators) Status(context.Context) (*wirepb.StatusResponse, error) {
	n, now := o.n, time.Now()
	reason := n.notReady()
	_, fresh := n.currentRules()
	resp := &wirepb.StatusResponse{Node: string(n.set.Node), Zone: string(n.set.Zone), Ready: reason == "", NotReadyReason: reason, StoreReachable: fresh}
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

// Explain implements operator.Explainer. The path is given with its host, as in
// "a.example/advice/1".
func (o operators) Explain(_ context.Context, req rules.Request) (*wirepb.ExplainResponse, error) {
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
	choice, ok := o.n.table.Peek(routing.Request{Group: relay.GroupOf(route.Policy.Split[0].Service, req.Model), Prefer: route.Prefer})
	if !ok {
		resp.Reason += "; no replica may take the call"
		return resp, nil
	}
	resp.Replica = string(choice.Replica.ID)
	resp.Reason += fmt.Sprintf("; replica by %s, of %d compared", choice.Reason, choice.Considered)
	return resp, nil
}

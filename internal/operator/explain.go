package operator

import (
	"fmt"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// ExplainRule reports which rule matches the request and its target. It does not choose a
// replica: the caller knows the replicas' state and adds that.
func ExplainRule(set *rules.Set, req rules.Request) *wirepb.ExplainResponse {
	if set == nil {
		return &wirepb.ExplainResponse{Reason: "no rules are in force on this node yet"}
	}
	route := set.Match(req)
	if route == nil {
		return &wirepb.ExplainResponse{Reason: noRouteReason(set, req)}
	}
	res := &wirepb.ExplainResponse{RuleLine: int32(route.Line), Rule: route.Verbatim}
	if route.Service != "" {
		res.Target = "service " + string(route.Service)
	} else {
		res.Target = "group " + string(route.Group)
	}
	res.Reason = fmt.Sprintf("the first route that matches path %q, model %q and team %q", req.Path, req.Model, req.Team)
	return res
}

// noRouteReason names the first property of the request that no route matches: the path,
// the model or the team.
func noRouteReason(set *rules.Set, req rules.Request) string {
	pathMatched, modelMatched := false, false
	for i := range set.Routes {
		r := set.Routes[i]
		r.Model, r.Team = "*", "*"
		if !r.Matches(req) {
			continue
		}
		pathMatched = true
		r.Model = set.Routes[i].Model
		modelMatched = modelMatched || r.Matches(req)
	}
	switch {
	case !pathMatched:
		return fmt.Sprintf("no route matches path %q", req.Path)
	case !modelMatched:
		return fmt.Sprintf("no route for path %q matches model %q", req.Path, req.Model)
	default:
		return fmt.Sprintf("no route for path %q and model %q matches team %q", req.Path, req.Model, req.Team)
	}
}

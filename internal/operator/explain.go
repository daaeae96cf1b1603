package operator

import (
	"fmt"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// ExplainRule says which rule takes the request and where it leads. The choice of
// a replica is left to the caller, which knows their state.
func ExplainRule(set *rules.Set, req rules.Request) *wirepb.ExplainResponse {
	if set == nil {
		return &wirepb.ExplainResponse{Reason: "no rules are in force on this node yet"}
	}
	route := set.Match(req)
	if route == nil {
		return &wirepb.ExplainResponse{Reason: whyNoRoute(set, req)}
	}
	res := &wirepb.ExplainResponse{RuleLine: int32(route.Line), Rule: route.Verbatim}
	if route.Service != "" {
		res.Target = "service " + string(route.Service)
	} else {
		res.Target = "group " + string(route.Group)
	}
	res.Reason = fmt.Sprintf("the first route that covers path %q, model %q and team %q", req.Path, req.Model, req.Team)
	return res
}

// whyNoRoute names the first property that no route covers.
func whyNoRoute(set *rules.Set, req rules.Request) string {
	pathCovered, modelCovered := false, false
	for i := range set.Routes {
		r := set.Routes[i]
		r.Model, r.Team = "*", "*"
		if !r.Matches(req) {
			continue
		}
		pathCovered = true
		r.Model = set.Routes[i].Model
		modelCovered = modelCovered || r.Matches(req)
	}
	switch {
	case !pathCovered:
		return fmt.Sprintf("no route covers path %q", req.Path)
	case !modelCovered:
		return fmt.Sprintf("no route for path %q covers model %q", req.Path, req.Model)
	default:
		return fmt.Sprintf("no route for path %q and model %q covers team %q", req.Path, req.Model, req.Team)
	}
}

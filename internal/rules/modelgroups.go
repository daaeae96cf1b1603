package rules

import (
	"net/url"
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// PlainGroup returns the group of the servers of a plain service.
func PlainGroup(service cluster.Service) cluster.GroupName {
	return cluster.GroupName("service:" + string(service))
}

// ModelGroupName returns the name of the group of a service's model, which is unique among the groups of
// all services. The escaped service contains neither the separator nor the prefix of a plain group.
func ModelGroupName(service cluster.Service, model string) cluster.GroupName {
	return cluster.GroupName(url.QueryEscape(string(service)) + "/" + model)
}

// ModelGroup returns the group of a service's model, or nil if the service does not have the model.
func ModelGroup(groups []Group, service cluster.Service, model string) *Group {
	for i := range groups {
		if g := &groups[i]; g.Model == model && g.formedBy(service) {
			return g
		}
	}
	return nil
}

func (g *Group) formedBy(service cluster.Service) bool {
	return g.Servers == "" || g.Servers == service
}

// HasModels reports whether the servers of the service form replicas of models.
func (s *Set) HasModels(service cluster.Service) bool {
	if s == nil {
		return false
	}
	for i := range s.Groups {
		if s.Groups[i].formedBy(service) {
			return true
		}
	}
	return false
}

// TargetGroup returns the group of replicas that serves a call to the service. ofModel is false if these
// are the servers of a plain service, which serve calls with and without a model. A service that
// does not have the call's model has no replica in the group.
func (s *Set) TargetGroup(service cluster.Service, model string) (name cluster.GroupName, ofModel bool) {
	if model == "" || !s.HasModels(service) {
		return PlainGroup(service), false
	}
	if g := ModelGroup(s.Groups, service, model); g != nil {
		return g.Name, true
	}
	return ModelGroupName(service, model), true
}

// SharedName returns the name by which nodes, also those of earlier versions, refer to a group among
// each other: the model alone, unless several services have it.
func (s *Set) SharedName(name cluster.GroupName) cluster.GroupName {
	named := func(g Group) bool { return g.Name == name }
	at := slices.IndexFunc(s.Groups, named)
	if at < 0 {
		return name
	}
	model := s.Groups[at].Model
	if slices.ContainsFunc(s.Groups, func(g Group) bool { return g.Model == model && !named(g) }) {
		return name
	}
	return cluster.GroupName(model)
}

// PolicyInForce returns the policy that the set has for a route of an earlier set, or the route's own if the
// set has none of that name and kind.
func (s *Set) PolicyInForce(route *Route) *RoutePolicy {
	for _, r := range s.index.hosts[route.Policy.Host] {
		if p := r.Policy; p.Name == route.Policy.Name && p.Kind == route.Policy.Kind {
			return p
		}
	}
	return route.Policy
}

// MayGoTo reports whether the route's split includes the service.
func (t *RoutePolicy) MayGoTo(service cluster.Service) bool {
	for _, w := range t.Split {
		if w.Service == service && w.Weight > 0 {
			return true
		}
	}
	return false
}

package rules

import (
	"slices"
	"strings"
)

// noRoute is the position returned if no route matches.
const noRoute = -1

// maxLinearRoutes is the number of routes up to which a linear search is faster than
// the index.
const maxLinearRoutes = 8

// routeIndex finds the first route in file order that matches a request without a
// linear search: it looks up the exact path and, for each length of a prefix
// pattern, the request path truncated to that length.
type routeIndex struct {
	exact    map[string]patternRoutes
	prefixes map[string]patternRoutes
	lengths  []int // distinct lengths of the prefixes, ascending
}

// patternRoutes holds the position of the first route for each model and team
// among the routes with the same path pattern.
type patternRoutes map[modelTeam]int

type modelTeam struct{ model, team string }

func newRouteIndex() routeIndex {
	return routeIndex{exact: make(map[string]patternRoutes), prefixes: make(map[string]patternRoutes)}
}

// add adds the route at position i; positions must be added in ascending order.
func (x *routeIndex) add(i int, r *Route) {
	table, path := x.exact, r.Path
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		table, path = x.prefixes, prefix
		if at, found := slices.BinarySearch(x.lengths, len(prefix)); !found {
			x.lengths = slices.Insert(x.lengths, at, len(prefix))
		}
	}
	routes := table[path]
	if routes == nil {
		routes = make(patternRoutes)
		table[path] = routes
	}
	key := modelTeam{r.Model, string(r.Team)}
	if _, ok := routes[key]; !ok {
		routes[key] = i
	}
}

// first returns the position of the first route that matches the request, or noRoute.
func (x *routeIndex) first(path, model, team string) int {
	return x.firstPrefix(path, model, team, x.exact[path].first(model, team, noRoute))
}

// covering returns the position of the first added route that matches every request
// that r matches, or noRoute.
func (x *routeIndex) covering(r *Route) int {
	if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
		return x.firstPrefix(prefix, r.Model, string(r.Team), noRoute)
	}
	return x.first(r.Path, r.Model, string(r.Team))
}

func (x *routeIndex) firstPrefix(path, model, team string, best int) int {
	for _, n := range x.lengths {
		if n > len(path) {
			break
		}
		best = x.prefixes[path[:n]].first(model, team, best)
	}
	return best
}

// first returns the lowest position that matches model and team, or best if that is
// lower.
func (p patternRoutes) first(model, team string, best int) int {
	if p == nil {
		return best
	}
	for _, key := range [...]modelTeam{{model, team}, {model, "*"}, {"*", team}, {"*", "*"}} {
		if i, ok := p[key]; ok && (best == noRoute || i < best) {
			best = i
		}
	}
	return best
}

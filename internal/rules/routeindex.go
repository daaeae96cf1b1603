package rules

import (
	"slices"
	"strings"
)

// noRoute is the position answered when no route matches.
const noRoute = -1

// smallFile is the number of routes up to which trying them in order is faster
// than the index.
const smallFile = 8

// routeIndex finds the first route in file order that covers a request, without
// trying every route: it looks up the exact path and, for each length that some
// prefix pattern has, the request path cut at that length.
type routeIndex struct {
	exact    map[string]patternRoutes
	prefixes map[string]patternRoutes
	lengths  []int // lengths of the prefixes, ascending
}

// patternRoutes holds the positions of the routes that share one path pattern.
type patternRoutes map[modelTeam]int

type modelTeam struct{ model, team string }

func newRouteIndex() routeIndex {
	return routeIndex{exact: make(map[string]patternRoutes), prefixes: make(map[string]patternRoutes)}
}

// add notes the route at position i; positions are added in rising order.
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

// first returns the position of the first route that covers the request.
func (x *routeIndex) first(path, model, team string) int {
	return x.firstPrefix(path, model, team, x.exact[path].first(model, team, noRoute))
}

// covering returns the position of the first added route that takes every
// request the given route would take.
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

// first returns the lowest position that covers model and team, if lower than best.
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

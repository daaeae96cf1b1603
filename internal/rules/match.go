package rules

import (
	"strings"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// index holds the lookups built once by a successful Parse.
type index struct {
	teamByToken map[string]*Team
	limitByTeam map[cluster.TeamID]*Limit
	groupByName map[cluster.GroupName]*Group
	fenceChecks map[string]bool
	routes      routeIndex
	// hosts has the routes with a Policy by normalized host, the longest path first.
	hosts map[string][]*Route
}

func (s *Set) buildIndex(routes routeIndex) {
	s.index = index{
		teamByToken: make(map[string]*Team, len(s.Teams)),
		limitByTeam: make(map[cluster.TeamID]*Limit, len(s.Limits)),
		groupByName: make(map[cluster.GroupName]*Group, len(s.Groups)),
		fenceChecks: make(map[string]bool, len(s.Fences)),
		routes:      routes,
	}
	for _, f := range s.Fences {
		s.index.fenceChecks[f.Servers] = f.Checks
	}
	for i := range s.Teams {
		s.index.teamByToken[s.Teams[i].TokenSHA256] = &s.Teams[i]
		for _, token := range s.Teams[i].MoreTokensSHA256 {
			s.index.teamByToken[token] = &s.Teams[i]
		}
	}
	for i := range s.Limits {
		s.index.limitByTeam[s.Limits[i].Team] = &s.Limits[i]
	}
	for i := range s.Groups {
		s.index.groupByName[s.Groups[i].Name] = &s.Groups[i]
	}
}

// TeamByToken returns the team whose rule holds the token's hash, or nil.
func (s *Set) TeamByToken(token string) *Team {
	return s.index.teamByToken[TokenHash(token)]
}

// LimitOf returns the team's limit rule, or the defaults when it has none.
func (s *Set) LimitOf(team cluster.TeamID) Limit {
	if l := s.index.limitByTeam[team]; l != nil {
		return *l
	}
	return Limit{Team: team, Share: DefaultShare}
}

// GroupByName returns the group's rule, or nil.
func (s *Set) GroupByName(name cluster.GroupName) *Group { return s.index.groupByName[name] }

// ChecksFence reports whether the servers of the group or service reject orders with
// a stale fencing token. Without a fence rule they are assumed to ignore the token,
// which is the safe assumption.
func (s *Set) ChecksFence(servers string) bool { return s.index.fenceChecks[servers] }

// Request is what a route is matched against.
type Request struct {
	Path  string
	Model string // empty when the request has none
	Team  cluster.TeamID
}

// Match returns the first route in file order that matches the request, or nil.
func (s *Set) Match(r Request) *Route {
	if len(s.Routes) <= maxLinearRoutes {
		return s.matchInOrder(r)
	}
	if i := s.index.routes.first(r.Path, r.Model, string(r.Team)); i != noRoute {
		return &s.Routes[i]
	}
	return nil
}

// matchInOrder is a linear search, used for small files and as the reference of the
// index in tests.
func (s *Set) matchInOrder(r Request) *Route {
	for i := range s.Routes {
		if s.Routes[i].Matches(r) {
			return &s.Routes[i]
		}
	}
	return nil
}

// Matches reports whether the route matches the request.
func (r *Route) Matches(req Request) bool {
	return matchPattern(r.Path, req.Path) && matchName(r.Model, req.Model) && matchName(string(r.Team), string(req.Team))
}

func matchPattern(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

func matchName(pattern, name string) bool { return pattern == "*" || pattern == name }

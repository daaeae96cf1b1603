package rules

import (
	"fmt"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// ruleKind is a kind of rule: its keys and the method that parses its line.
type ruleKind struct {
	keys  []string
	parse func(p *parser, f *fields)
}

var kindNames = []string{"team", "service", "group", "route", "limit", "fence"}

func kindOf(name string) (ruleKind, bool) {
	switch name {
	case "team":
		return ruleKind{[]string{"name", "token", "priority"}, (*parser).team}, true
	case "service":
		return ruleKind{[]string{"name"}, (*parser).service}, true
	case "group":
		return ruleKind{[]string{"name", "model", "vms", "domain", "spares", "replicas", "weigh", "version", "adapters"}, (*parser).group}, true
	case "route":
		return ruleKind{[]string{"path", "model", "team", "to", "prefer", "once"}, (*parser).route}, true
	case "limit":
		return ruleKind{[]string{"team", "share", "inflight"}, (*parser).limit}, true
	case "fence":
		return ruleKind{[]string{"servers", "checks"}, (*parser).fence}, true
	}
	return ruleKind{}, false
}

func (p *parser) team(f *fields) {
	name, nameField := f.name("name")
	token, tokenField := f.tokenHash("token")
	p.declare(f, nameField, "team", "another team name")
	p.declare(f, tokenField, "token", "a token of its own for each team")
	p.set.Teams = append(p.set.Teams, Team{
		Origin:      f.origin,
		Name:        cluster.TeamID(name),
		TokenSHA256: token,
		Priority:    f.integer("priority", false, DefaultPriority, 0, maxPriority),
	})
}

func (p *parser) service(f *fields) {
	name, fd := f.name("name")
	p.declare(f, fd, "server", "a name that no other group or service has")
	p.set.Services = append(p.set.Services, ServiceDecl{Origin: f.origin, Name: cluster.Service(name)})
}

func (p *parser) group(f *fields) {
	name, fd := f.name("name")
	p.declare(f, fd, "server", "a name that no other group or service has")
	model, _ := f.validated("model", true, "", wantModel, isModel)
	version, _ := f.validated("version", false, "", wantModel, isModel)
	p.set.Groups = append(p.set.Groups, Group{
		Origin:     f.origin,
		Name:       cluster.GroupName(name),
		Model:      model,
		VMs:        f.integer("vms", true, 1, 1, MaxVMs),
		SameDomain: f.choice("domain", "same", "same", "any") == "same",
		Spares:     f.integer("spares", false, 0, 0, MaxSpares),
		Replicas:   f.integer("replicas", false, 0, 0, MaxReplicas),
		Weigh:      Weigh(f.choice("weigh", string(WeighDowntime), string(WeighDowntime), string(WeighStranded))),
		Version:    version,
		Adapters:   f.names("adapters"),
	})
}

func (p *parser) route(f *fields) {
	before := len(p.errs)
	path, pathField := f.validated("path", true, "", wantPath, isPathPattern)
	model, _ := f.nameOrStar("model", wantModel+orStar, isModel)
	team, teamField := f.nameOrStar("team", wantName+orStar, isName)
	to, toField := f.name("to")
	r := Route{
		Origin: f.origin,
		Path:   path,
		Model:  model,
		Team:   cluster.TeamID(team),
		Prefer: Prefer(f.choice("prefer", string(PreferLocal), string(PreferLocal), string(PreferAny))),
		Once:   Once(f.choice("once", string(OnceAuto), string(OnceRequired), string(OnceAuto), string(OnceNo))),
	}
	i := len(p.set.Routes)
	if team != "*" {
		p.addTeamRef(f, teamField, team)
	}
	p.addServerRef(f, toField, to, func(isGroup bool) {
		if isGroup {
			p.set.Routes[i].Group = cluster.GroupName(to)
		} else {
			p.set.Routes[i].Service = cluster.Service(to)
		}
	})
	p.set.Routes = append(p.set.Routes, r)
	if pathField == nil || f.badKey || len(p.errs) > before {
		return // the requests that a line with errors matches are unknown
	}
	if by := p.routes.covering(&r); by != noRoute {
		f.addError(pathField.offset, ProblemUnreachable, f.origin.Verbatim, fmt.Sprintf(
			"this route before line %d, whose route covers it, or no such route", p.set.Routes[by].Line))
		return
	}
	p.routes.add(i, &r)
}

func (p *parser) limit(f *fields) {
	team, fd := f.name("team")
	p.declare(f, fd, "limit", "one limit rule for each team")
	p.addTeamRef(f, fd, team)
	p.set.Limits = append(p.set.Limits, Limit{
		Origin:   f.origin,
		Team:     cluster.TeamID(team),
		Share:    f.integer("share", false, DefaultShare, 1, MaxShare),
		InFlight: f.integer("inflight", false, 0, 0, MaxInFlight),
	})
}

func (p *parser) fence(f *fields) {
	servers, fd := f.name("servers")
	p.declare(f, fd, "fence", "one fence rule for each group or service")
	p.addServerRef(f, fd, servers, func(bool) {})
	if f.lookup("checks", true, "yes or no") == nil {
		return
	}
	checks := f.choice("checks", "no", "yes", "no")
	p.set.Fences = append(p.set.Fences, FenceRule{Origin: f.origin, Servers: servers, Checks: checks == "yes"})
}

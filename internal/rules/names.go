package rules

import (
	"fmt"
	"slices"
)

// declaration is a name that may be given once; space keeps team names, tokens,
// server names, limits and fences apart.
type declaration struct{ space, name string }

// reference is a name on one line that another line must declare.
type reference struct {
	fields *fields
	offset int
	name   string
	bind   func(isGroup bool)
}

// declare notes a name that may be given once in its space.
func (p *parser) declare(f *fields, fd *field, space, want string) {
	if fd == nil {
		return
	}
	d := declaration{space, fd.value}
	if first, ok := p.declared[d]; ok {
		f.fail(fd.offset+len(fd.key)+1, ProblemDuplicate, fd.value, fmt.Sprintf("%s; line %d has this one", want, first))
		return
	}
	p.declared[d] = f.origin.Line
	if space == "server" {
		p.declared[declaration{f.kind, fd.value}] = f.origin.Line
	}
}

func (p *parser) referTeam(f *fields, fd *field, name string) {
	if fd != nil {
		p.teamRefs = append(p.teamRefs, reference{fields: f, offset: fd.offset + len(fd.key) + 1, name: name})
	}
}

func (p *parser) referServer(f *fields, fd *field, name string, bind func(isGroup bool)) {
	if fd != nil {
		p.serverRefs = append(p.serverRefs, reference{fields: f, offset: fd.offset + len(fd.key) + 1, name: name, bind: bind})
	}
}

// resolve checks the references once all lines are read, since a rule may name
// what a later line declares.
func (p *parser) resolve() {
	for _, ref := range p.teamRefs {
		if _, ok := p.declared[declaration{"team", ref.name}]; !ok {
			ref.fields.fail(ref.offset, ProblemReference, ref.name, "the name of a team rule"+p.near(ref.name, "team"))
		}
	}
	for _, ref := range p.serverRefs {
		if _, ok := p.declared[declaration{"server", ref.name}]; !ok {
			ref.fields.fail(ref.offset, ProblemReference, ref.name, "the name of a group or service rule"+p.near(ref.name, "server"))
			continue
		}
		_, isGroup := p.declared[declaration{"group", ref.name}]
		ref.bind(isGroup)
	}
}

// maxSuggestions bounds the search for close names: a file whose declarations
// were all lost has thousands of faults, each compared with thousands of names.
const maxSuggestions = 20

// near suggests the declared name closest to the one found.
func (p *parser) near(name, space string) string {
	if len(p.errs) > maxSuggestions {
		return ""
	}
	var names []string
	for d := range p.declared {
		if d.space == space {
			names = append(names, d.name)
		}
	}
	slices.Sort(names)
	if n := nearest(name, names); n != "" {
		return fmt.Sprintf(" (did you mean %q?)", n)
	}
	return ""
}

package rules

import (
	"fmt"
	"slices"
)

// declaration is a name that is unique in its namespace; team names, tokens, server
// names, limits and fences each have one.
type declaration struct{ namespace, name string }

// reference is a use of a name that another line must declare.
type reference struct {
	fields *fields
	offset int
	name   string
	bind   func(isGroup bool)
}

// declare records a name, or an error if its namespace already has it.
func (p *parser) declare(f *fields, fd *field, namespace, want string) {
	if fd == nil {
		return
	}
	d := declaration{namespace, fd.value}
	if first, ok := p.declared[d]; ok {
		f.addError(fd.offset+len(fd.key)+1, ProblemDuplicate, fd.value, fmt.Sprintf("%s; line %d has this one", want, first))
		return
	}
	p.declared[d] = f.origin.Line
	if namespace == "server" {
		p.declared[declaration{f.kind, fd.value}] = f.origin.Line
	}
}

func (p *parser) addTeamRef(f *fields, fd *field, name string) {
	if fd != nil {
		p.teamRefs = append(p.teamRefs, reference{fields: f, offset: fd.offset + len(fd.key) + 1, name: name})
	}
}

func (p *parser) addServerRef(f *fields, fd *field, name string, bind func(isGroup bool)) {
	if fd != nil {
		p.serverRefs = append(p.serverRefs, reference{fields: f, offset: fd.offset + len(fd.key) + 1, name: name, bind: bind})
	}
}

// resolve checks the references after all lines are parsed, since a rule may refer
// to a later declaration.
func (p *parser) resolve() {
	for _, ref := range p.teamRefs {
		if _, ok := p.declared[declaration{"team", ref.name}]; !ok {
			ref.fields.addError(ref.offset, ProblemReference, ref.name, "the name of a team rule"+p.suggestion(ref.name, "team"))
		}
	}
	for _, ref := range p.serverRefs {
		if _, ok := p.declared[declaration{"server", ref.name}]; !ok {
			ref.fields.addError(ref.offset, ProblemReference, ref.name, "the name of a group or service rule"+p.suggestion(ref.name, "server"))
			continue
		}
		_, isGroup := p.declared[declaration{"group", ref.name}]
		ref.bind(isGroup)
	}
}

// maxErrorsWithSuggestions is the number of errors up to which close names are searched:
// a file without its declarations has thousands of errors, each of which would be
// compared with thousands of names.
const maxErrorsWithSuggestions = 20

// suggestion returns a hint at the declared name closest to the one found, if one is close.
func (p *parser) suggestion(name, namespace string) string {
	if len(p.errs) > maxErrorsWithSuggestions {
		return ""
	}
	var names []string
	for d := range p.declared {
		if d.namespace == namespace {
			names = append(names, d.name)
		}
	}
	slices.Sort(names)
	if n := closest(name, names); n != "" {
		return fmt.Sprintf(" (did you mean %q?)", n)
	}
	return ""
}

package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// MaxTextBytes bounds a rules file. The store holds values up to a megabyte and
// the file is kept there in one record with its author and write id.
const MaxTextBytes = 900_000

// Bounds of numbers in rules.
const (
	MaxVMs      = 64
	MaxSpares   = 1000
	MaxReplicas = 10_000
	MaxShare    = 1000
	MaxInFlight = 1_000_000
	maxPriority = 9
)

const commentMarker = "asked for by:"

const wantComment = "a comment at the end: # asked for by: NAME"

// ruleKind is one kind of rule: the keys it knows and how its line is read.
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

// parser reads a file line by line; references between lines are checked at the end.
type parser struct {
	set        Set
	errs       Errors
	teamRefs   []reference
	serverRefs []reference
	declared   map[declaration]int // line of the first declaration
	routes     routeIndex
}

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

// Parse reads a whole rules file. It fails with *SizeError or with Errors, which
// holds every fault of the file; then no part of the file is accepted.
func Parse(text string) (*Set, error) {
	if len(text) > MaxTextBytes {
		return nil, &SizeError{Bytes: len(text), Max: MaxTextBytes}
	}
	p := &parser{set: Set{Text: text}, declared: make(map[declaration]int), routes: newRouteIndex()}
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		p.line(number, line)
	}
	p.resolve()
	if len(p.errs) > 0 {
		slices.SortStableFunc(p.errs, func(a, b *LineError) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, p.errs
	}
	p.set.buildIndex(p.routes)
	return &p.set, nil
}

func (p *parser) line(number int, line string) {
	trimmed := strings.TrimSpace(line)
	f := &fields{origin: Origin{Line: number, Verbatim: trimmed}, line: line, errs: &p.errs}
	if offset := badCharacter(line); offset >= 0 {
		f.fail(offset, ProblemText, line[offset:offset+1], "printable UTF-8 text")
		return
	}
	if trimmed == "" || trimmed[0] == '#' {
		return
	}
	body, comment, hasComment := strings.Cut(line, "#")
	f.end = len(strings.TrimRightFunc(body, unicode.IsSpace))
	words := splitWords(body)
	f.kind = words[0].text
	kind, known := kindOf(f.kind)
	if !known {
		f.fail(words[0].offset, ProblemKind, f.kind, oneOf(f.kind, kindNames))
		return
	}
	before := len(p.errs)
	f.origin.AskedBy = askedBy(comment)
	if !hasComment {
		f.fail(f.end, ProblemComment, "", wantComment)
	} else if f.origin.AskedBy == "" {
		f.fail(len(body), ProblemComment, "#"+comment, wantComment)
	}
	f.split(words[1:], kind.keys)
	if len(p.errs) == before || !hasProblem(p.errs[before:], ProblemKey) {
		kind.parse(p, f)
	}
}

func hasProblem(errs Errors, problem Problem) bool {
	return slices.ContainsFunc(errs, func(e *LineError) bool { return e.Problem == problem })
}

// badCharacter returns the byte offset of the first character that doesn't
// belong into a text file, or -1.
func badCharacter(line string) int {
	for i, r := range line {
		if r == utf8.RuneError && !strings.HasPrefix(line[i:], "\uFFFD") {
			return i
		}
		if r == '\r' && i == len(line)-1 {
			continue
		}
		if r != '\t' && unicode.IsControl(r) {
			return i
		}
	}
	return -1
}

func askedBy(comment string) string {
	name, ok := strings.CutPrefix(strings.TrimSpace(comment), commentMarker)
	if !ok {
		return ""
	}
	return strings.TrimSpace(name)
}

type word struct {
	text   string
	offset int
}

func splitWords(body string) []word {
	var words []word
	offset := 0
	for text := range strings.FieldsSeq(body) {
		offset += strings.Index(body[offset:], text)
		words = append(words, word{text, offset})
		offset += len(text)
	}
	return words
}

// split fills the list of fields and reports words that aren't key=value, keys
// the kind doesn't know and keys given twice.
func (f *fields) split(words []word, keys []string) {
	f.list = make([]field, 0, len(words))
	for _, w := range words {
		key, value, ok := strings.Cut(w.text, "=")
		switch {
		case !ok:
			f.fail(w.offset, ProblemKey, w.text, "key=value with a key that is "+oneOf(key, keys))
		case !slices.Contains(keys, key):
			f.fail(w.offset, ProblemKey, key, oneOf(key, keys))
		case slices.ContainsFunc(f.list, func(fd field) bool { return fd.key == key }):
			f.fail(w.offset, ProblemDuplicate, w.text, fmt.Sprintf("%s= only once on a line", key))
		default:
			f.list = append(f.list, field{key: key, value: value, offset: w.offset})
		}
	}
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
	model, _ := f.checked("model", true, "", wantModel, isModel)
	version, _ := f.checked("version", false, "", wantModel, isModel)
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
	path, pathField := f.checked("path", true, "", wantPath, isPathPattern)
	model, _ := f.nameOrStar("model", wantModel, isModel)
	team, teamField := f.nameOrStar("team", wantName, isName)
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
		p.referTeam(f, teamField, team)
	}
	p.referServer(f, toField, to, func(isGroup bool) {
		if isGroup {
			p.set.Routes[i].Group = cluster.GroupName(to)
		} else {
			p.set.Routes[i].Service = cluster.Service(to)
		}
	})
	p.set.Routes = append(p.set.Routes, r)
	if pathField == nil || len(p.errs) > before {
		return // what a bad line would cover is not known
	}
	if by := p.routes.covering(&r); by != noRoute {
		f.fail(pathField.offset, ProblemUnreachable, f.origin.Verbatim, fmt.Sprintf(
			"this route before line %d, whose route covers it, or no such route", p.set.Routes[by].Line))
		return
	}
	p.routes.add(i, &r)
}

func (p *parser) limit(f *fields) {
	team, fd := f.name("team")
	p.declare(f, fd, "limit", "one limit rule for each team")
	p.referTeam(f, fd, team)
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
	p.referServer(f, fd, servers, func(bool) {})
	if f.take("checks", true, "yes or no") == nil {
		return
	}
	checks := f.choice("checks", "no", "yes", "no")
	p.set.Fences = append(p.set.Fences, FenceRule{Origin: f.origin, Servers: servers, Checks: checks == "yes"})
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

package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxTextBytes bounds a rules file. The store's values are limited to a megabyte,
// and the file is stored in one record with its author and write id.
const MaxTextBytes = 900_000

// Limits of numbers in rules.
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

// parser parses a file line by line; resolve checks references between lines at the end.
type parser struct {
	set        Set
	errs       Errors
	teamRefs   []reference
	serverRefs []reference
	declared   map[declaration]int // line of the first declaration
	routes     routeIndex
}

// Parse parses a rules file. It fails with *SizeError or with Errors, which holds
// every error in the file.
func Parse(text string) (*Set, error) {
	if len(text) > MaxTextBytes {
		return nil, &SizeError{Bytes: len(text), Max: MaxTextBytes}
	}
	p := &parser{set: Set{Text: text}, declared: make(map[declaration]int), routes: newRouteIndex()}
	number := 0
	for line := range strings.SplitSeq(text, "\n") {
		number++
		p.parseLine(number, line)
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

func (p *parser) parseLine(number int, line string) {
	trimmed := strings.TrimSpace(line)
	f := &fields{origin: Origin{Line: number, Verbatim: trimmed}, line: line, errs: &p.errs}
	if offset := badCharacter(line); offset >= 0 {
		f.addError(offset, ProblemText, line[offset:offset+1], "printable UTF-8 text")
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
		f.addError(words[0].offset, ProblemKind, f.kind, oneOf(f.kind, kindNames))
		return
	}
	f.origin.AskedBy = askedBy(comment)
	if !hasComment {
		f.addError(f.end, ProblemComment, "", wantComment)
	} else if f.origin.AskedBy == "" {
		f.addError(len(body), ProblemComment, "#"+comment, wantComment)
	}
	f.parseFields(words[1:], kind.keys)
	kind.parse(p, f)
}

// badCharacter returns the byte offset of the first invalid UTF-8 sequence or control
// character, or -1. Tabs and a carriage return at the end of the line are allowed.
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

// parseFields fills the list of fields and reports words that aren't key=value pairs,
// keys unknown to the kind and duplicate keys.
func (f *fields) parseFields(words []word, keys []string) {
	f.list = make([]field, 0, len(words))
	for _, w := range words {
		key, value, ok := strings.Cut(w.text, "=")
		switch {
		case !ok:
			f.badKey = true
			f.addError(w.offset, ProblemKey, w.text, "key=value with a key that is "+oneOf(key, keys))
		case !slices.Contains(keys, key):
			f.badKey = true
			f.addError(w.offset, ProblemKey, key, oneOf(key, keys))
		case slices.ContainsFunc(f.list, func(fd field) bool { return fd.key == key }):
			f.addError(w.offset, ProblemDuplicate, w.text, fmt.Sprintf("%s= only once on a line", key))
		default:
			f.list = append(f.list, field{key: key, value: value, offset: w.offset})
		}
	}
}

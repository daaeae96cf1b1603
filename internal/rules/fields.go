package rules

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// maxNameLen bounds the length in bytes of names, models and versions.
const maxNameLen = 128

// field is one key=value pair of a line; offset is the byte offset of its key.
type field struct {
	key, value string
	offset     int
	used       bool
}

// fields gives typed access to the key=value pairs of one line and collects the
// errors in them.
type fields struct {
	origin Origin
	line   string // as in the file, to compute columns
	kind   string
	end    int // byte offset after the last word before the comment
	list   []field
	// badKey is set if a word of the line is not a known key=value pair. Missing keys
	// are then not reported, since the word is most likely the missing key, misspelt.
	badKey bool
	errs   *Errors
}

// addError records an error at a byte offset of the line.
func (f *fields) addError(offset int, problem Problem, found, want string) {
	*f.errs = append(*f.errs, &LineError{
		Line: f.origin.Line, Column: column(f.line, offset), Problem: problem, Found: found, Want: want,
	})
}

func column(line string, offset int) int { return utf8.RuneCountInString(line[:offset]) + 1 }

// lookup returns the field with the key, or nil. A missing required key is an error.
func (f *fields) lookup(key string, required bool, want string) *field {
	for i := range f.list {
		if f.list[i].key == key {
			f.list[i].used = true
			return &f.list[i]
		}
	}
	if required && !f.badKey {
		f.addError(f.end, ProblemMissing, "", fmt.Sprintf("%s=%s on a %s rule", key, want, f.kind))
	}
	return nil
}

func (f *fields) badValue(fd *field, want string) {
	f.addError(fd.offset+len(fd.key)+1, ProblemValue, fd.value, want)
}

// validated returns the value if ok accepts it. Otherwise it records an error, unless
// an optional key is absent, and returns the fallback.
func (f *fields) validated(key string, required bool, fallback, want string, ok func(string) bool) (string, *field) {
	fd := f.lookup(key, required, want)
	if fd == nil {
		return fallback, nil
	}
	if !ok(fd.value) {
		f.badValue(fd, want)
		return fallback, nil
	}
	return fd.value, fd
}

const (
	orStar    = ", or * for all"
	wantName  = "a name of letters, digits, '.', '_', '-'"
	wantModel = "a model name of letters, digits, '.', '_', '-', ':', '/'"
	wantPath  = "a path that starts with '/', with '*' only as its last character"
	wantToken = "sha256: and 64 lower-case hex digits, the hash of the bearer token"
)

func (f *fields) name(key string) (string, *field) {
	return f.validated(key, true, "", wantName, isName)
}

// nameOrStar returns the value, which may be "*", or "*" if the key is absent.
func (f *fields) nameOrStar(key, want string, ok func(string) bool) (string, *field) {
	return f.validated(key, false, "*", want, func(v string) bool { return v == "*" || ok(v) })
}

func (f *fields) choice(key, fallback string, choices ...string) string {
	fd := f.lookup(key, false, "")
	if fd == nil {
		return fallback
	}
	if !slices.Contains(choices, fd.value) {
		f.badValue(fd, oneOf(fd.value, choices))
		return fallback
	}
	return fd.value
}

func (f *fields) integer(key string, required bool, fallback, low, high int) int {
	fd := f.lookup(key, required, "a whole number")
	if fd == nil {
		return fallback
	}
	n, err := strconv.Atoi(fd.value)
	if err != nil || n < low || n > high {
		f.badValue(fd, fmt.Sprintf("a whole number from %d to %d", low, high))
		return fallback
	}
	return n
}

func (f *fields) names(key string) []string {
	fd := f.lookup(key, false, "")
	if fd == nil {
		return nil
	}
	list := strings.Split(fd.value, ",")
	for _, n := range list {
		if !isModel(n) {
			f.badValue(fd, "names with ',' between them")
			return nil
		}
	}
	return list
}

func (f *fields) tokenHash(key string) (string, *field) {
	value, fd := f.validated(key, true, "", wantToken, isTokenHash)
	return strings.TrimPrefix(value, tokenPrefix), fd
}

const tokenPrefix = "sha256:"

func isTokenHash(v string) bool {
	digits, ok := strings.CutPrefix(v, tokenPrefix)
	sum, err := hex.DecodeString(digits)
	return ok && err == nil && len(sum) == 32 && digits == strings.ToLower(digits)
}

func isName(v string) bool { return isWord(v, ".-_") }

func isModel(v string) bool { return isWord(v, ".-_:/") }

func isWord(v, punctuation string) bool {
	if v == "" || len(v) > maxNameLen {
		return false
	}
	for i := range len(v) {
		if !isAlphanumeric(v[i]) && (i == 0 || strings.IndexByte(punctuation, v[i]) < 0) {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

func isPathPattern(v string) bool {
	star := strings.IndexByte(v, '*')
	return strings.HasPrefix(v, "/") && (star < 0 || star == len(v)-1)
}

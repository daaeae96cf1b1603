package rules

import (
	"fmt"
	"strings"
)

// Problem classifies an error in a line.
type Problem string

// Problems that Parse reports.
const (
	ProblemText        Problem = "bad-text"
	ProblemKind        Problem = "unknown-kind"
	ProblemKey         Problem = "unknown-key"
	ProblemDuplicate   Problem = "duplicate"
	ProblemMissing     Problem = "missing-key"
	ProblemValue       Problem = "bad-value"
	ProblemComment     Problem = "missing-comment"
	ProblemReference   Problem = "unknown-name"
	ProblemUnreachable Problem = "unreachable"
)

// LineError is one error in a rules file.
type LineError struct {
	// Line and Column count from 1; Column counts characters, not bytes.
	Line, Column int
	Problem      Problem
	// Found is the text at that place; empty if something is missing.
	Found string
	// Want describes what is expected there.
	Want string
}

// Error implements error.
func (e *LineError) Error() string {
	found := "nothing"
	if e.Found != "" {
		found = fmt.Sprintf("%q", e.Found)
	}
	return fmt.Sprintf("line %d, column %d: %s: found %s, want %s", e.Line, e.Column, e.Problem, found, e.Want)
}

// Errors holds all errors of a rules file, in file order.
type Errors []*LineError

// Error implements error, with one line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, le := range e {
		lines[i] = le.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find the single errors.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, le := range e {
		errs[i] = le
	}
	return errs
}

// SizeError rejects a file that is too large to be stored as one value.
type SizeError struct {
	Bytes, Max int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("rules file has %d bytes, want at most %d: the store keeps the file as one value", e.Bytes, e.Max)
}

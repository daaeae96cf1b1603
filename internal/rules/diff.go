package rules

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
)

// Edit replaces Removed lines from line At (counted from 0) by Added. In a list
// of edits, each counts lines in the text that the edits before it have made.
type Edit struct {
	At      int      `json:"at"`
	Removed int      `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
}

// EditError is an edit that does not fit the text it is applied to.
type EditError struct {
	Edit  Edit
	Lines int // lines of the text at that point
}

// Error implements error.
func (e *EditError) Error() string {
	return fmt.Sprintf("edit at line %d removing %d lines does not fit a text of %d lines", e.Edit.At, e.Edit.Removed, e.Lines)
}

// Checksum identifies a whole text.
func Checksum(text string) [sha256.Size]byte { return sha256.Sum256([]byte(text)) }

// Diff returns edits that turn old into changed, fewest lines first as far as the
// texts differ in few places.
func Diff(old, changed string) []Edit {
	if old == changed {
		return nil
	}
	a, b := strings.Split(old, "\n"), strings.Split(changed, "\n")
	prefix := commonPrefix(a, b)
	a, b = a[prefix:], b[prefix:]
	suffix := commonSuffix(a, b)
	a, b = a[:len(a)-suffix], b[:len(b)-suffix]
	return diffMiddle(a, b, prefix)
}

func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// maxDistance bounds the search for the shortest edit; texts further apart are
// replaced as one block, since the search costs the square of the distance.
const maxDistance = 512

// diffMiddle is the greedy algorithm of Myers: frontier[k] is the furthest line
// of a reached on diagonal k with d single-line edits, and the frontiers of all
// d are kept to walk the shortest path back.
func diffMiddle(a, b []string, offset int) []Edit {
	var history [][]int
	frontier := make([]int, 2*maxDistance+3)
	center := maxDistance + 1
	for d := 0; d <= maxDistance; d++ {
		history = append(history, slices.Clone(frontier[center-d:center+d+1]))
		for k := -d; k <= d; k += 2 {
			x := startOf(k, d, func(k int) int { return frontier[center+k] })
			y := x - k
			for x < len(a) && y < len(b) && a[x] == b[y] {
				x++
				y++
			}
			frontier[center+k] = x
			if x >= len(a) && y >= len(b) {
				return editsAlong(history, a, b, offset)
			}
		}
	}
	return []Edit{{At: offset, Removed: len(a), Added: slices.Clone(b)}}
}

// startOf is where d edits begin on diagonal k: one line down from diagonal k+1
// (a line added) or one to the right from k-1 (a line removed).
func startOf(k, d int, frontier func(int) int) int {
	if d == 0 {
		return 0
	}
	if k == -d || (k != d && frontier(k-1) < frontier(k+1)) {
		return frontier(k + 1)
	}
	return frontier(k-1) + 1
}

// step is one single-line edit of the path.
type step struct {
	x, y  int // lines of a and b before the step
	added bool
}

// editsAlong walks the path back from the end and joins neighbouring steps.
func editsAlong(history [][]int, a, b []string, offset int) []Edit {
	steps := make([]step, 0, len(history))
	x, y := len(a), len(b)
	for d := len(history) - 1; d > 0; d-- {
		frontier := func(k int) int { return history[d][k+d] }
		k := x - y
		start := startOf(k, d, frontier)
		startY := start - k
		s := step{x: start - 1, y: startY}
		if k == -d || (k != d && frontier(k-1) < frontier(k+1)) {
			s = step{x: start, y: startY - 1, added: true}
		}
		steps = append(steps, s)
		x, y = s.x, s.y
	}
	slices.Reverse(steps)
	return joinSteps(steps, b, offset)
}

func joinSteps(steps []step, b []string, offset int) []Edit {
	var edits []Edit
	endX, endY := -1, -1
	for _, s := range steps {
		if s.x != endX || s.y != endY {
			edits = append(edits, Edit{At: offset + s.y})
		}
		last := &edits[len(edits)-1]
		endX, endY = s.x, s.y
		if s.added {
			last.Added = append(last.Added, b[s.y])
			endY++
		} else {
			last.Removed++
			endX++
		}
	}
	return edits
}

// ApplyEdits returns the text after the edits, or *EditError. Runs of edits that
// go down the text are applied in one pass.
func ApplyEdits(text string, edits []Edit) (string, error) {
	lines := strings.Split(text, "\n")
	for len(edits) > 0 {
		next, rest, err := applyDownward(lines, edits)
		if err != nil {
			return "", err
		}
		lines, edits = next, rest
	}
	return strings.Join(lines, "\n"), nil
}

// applyDownward applies edits until one lies above the place reached.
func applyDownward(lines []string, edits []Edit) (result []string, rest []Edit, err error) {
	result = make([]string, 0, len(lines))
	for i, e := range edits {
		if i > 0 && e.At < len(result) {
			return append(result, lines...), edits[i:], nil
		}
		keep := e.At - len(result)
		if keep < 0 || e.Removed < 0 || keep > len(lines) || e.Removed > len(lines)-keep {
			return nil, nil, &EditError{Edit: e, Lines: len(result) + len(lines)}
		}
		result = append(result, lines[:keep]...)
		result = append(result, e.Added...)
		lines = lines[keep+e.Removed:]
	}
	return append(result, lines...), nil, nil
}

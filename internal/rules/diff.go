package rules

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
)

// Edit replaces Removed lines from line At (counted from 0) by Added. In a list of
// edits, the lines of each are counted in the text that the previous edits produce.
type Edit struct {
	At      int      `json:"at"`
	Removed int      `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
}

// EditError reports an edit whose range is outside the text it is applied to.
type EditError struct {
	Edit  Edit
	Lines int // lines of the text at that point
}

// Error implements error.
func (e *EditError) Error() string {
	return fmt.Sprintf("edit at line %d removing %d lines does not fit a text of %d lines", e.Edit.At, e.Edit.Removed, e.Lines)
}

// Checksum returns the SHA-256 of a text.
func Checksum(text string) [sha256.Size]byte { return sha256.Sum256([]byte(text)) }

// Diff returns edits that turn old into changed. They add and remove the fewest lines
// possible if that is at most maxDistance lines in all; otherwise one edit replaces
// everything between the common prefix and the common suffix.
func Diff(old, changed string) []Edit {
	if old == changed {
		return nil
	}
	a, b := strings.Split(old, "\n"), strings.Split(changed, "\n")
	prefix := commonPrefix(a, b)
	a, b = a[prefix:], b[prefix:]
	suffix := commonSuffix(a, b)
	a, b = a[:len(a)-suffix], b[:len(b)-suffix]
	return myersDiff(a, b, prefix)
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

// maxDistance bounds the search for the shortest edit script; texts further apart are
// replaced as one block, since the search takes time quadratic in the distance.
const maxDistance = 512

// myersDiff is Myers' greedy diff algorithm: frontier[k] is the furthest line of a
// reached on diagonal k with d single-line edits. The frontiers of all d are kept
// to backtrack along the shortest path.
func myersDiff(a, b []string, offset int) []Edit {
	var history [][]int
	frontier := make([]int, 2*maxDistance+3)
	center := maxDistance + 1
	for d := 0; d <= maxDistance; d++ {
		history = append(history, slices.Clone(frontier[center-d:center+d+1]))
		for k := -d; k <= d; k += 2 {
			x := diagonalStart(k, d, func(k int) int { return frontier[center+k] })
			y := x - k
			for x < len(a) && y < len(b) && a[x] == b[y] {
				x++
				y++
			}
			frontier[center+k] = x
			if x >= len(a) && y >= len(b) {
				return backtrack(history, a, b, offset)
			}
		}
	}
	return []Edit{{At: offset, Removed: len(a), Added: slices.Clone(b)}}
}

// diagonalStart returns where a path of d edits enters diagonal k: one line down from
// diagonal k+1 (a line added) or one to the right from k-1 (a line removed).
func diagonalStart(k, d int, frontier func(int) int) int {
	if d == 0 {
		return 0
	}
	if k == -d || (k != d && frontier(k-1) < frontier(k+1)) {
		return frontier(k + 1)
	}
	return frontier(k-1) + 1
}

// step is a single-line edit on the path.
type step struct {
	x, y  int // lines of a and b before the step
	added bool
}

// backtrack walks the path from the end and merges adjacent steps into edits.
func backtrack(history [][]int, a, b []string, offset int) []Edit {
	steps := make([]step, 0, len(history))
	x, y := len(a), len(b)
	for d := len(history) - 1; d > 0; d-- {
		frontier := func(k int) int { return history[d][k+d] }
		k := x - y
		start := diagonalStart(k, d, frontier)
		startY := start - k
		s := step{x: start - 1, y: startY}
		if k == -d || (k != d && frontier(k-1) < frontier(k+1)) {
			s = step{x: start, y: startY - 1, added: true}
		}
		steps = append(steps, s)
		x, y = s.x, s.y
	}
	slices.Reverse(steps)
	return mergeSteps(steps, b, offset)
}

func mergeSteps(steps []step, b []string, offset int) []Edit {
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

// ApplyEdits returns the text after the edits, or fails with *EditError. A run of
// edits in ascending order of lines is applied in one pass.
func ApplyEdits(text string, edits []Edit) (string, error) {
	lines := strings.Split(text, "\n")
	for len(edits) > 0 {
		next, rest, err := applyAscending(lines, edits)
		if err != nil {
			return "", err
		}
		lines, edits = next, rest
	}
	return strings.Join(lines, "\n"), nil
}

// applyAscending applies edits up to the first that is before the end of the previous
// one, and returns the remaining edits.
func applyAscending(lines []string, edits []Edit) (result []string, rest []Edit, err error) {
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

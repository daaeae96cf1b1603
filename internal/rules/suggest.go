package rules

import (
	"fmt"
	"strings"
)

// oneOf lists the choices and suggests one that is close to found.
func oneOf(found string, choices []string) string {
	list := "one of " + strings.Join(choices, ", ")
	if near := closest(found, choices); near != "" {
		return fmt.Sprintf("%s (did you mean %q?)", list, near)
	}
	return list
}

// closest returns the choice with the smallest edit distance to found, or "" if none is
// within 2 edits.
func closest(found string, choices []string) string {
	best, bestDistance := "", 3
	for _, c := range choices {
		if abs(len(c)-len(found)) >= bestDistance {
			continue
		}
		if d := editDistance(found, c); d < bestDistance && d < len(c) {
			best, bestDistance = c, d
		}
	}
	return best
}

// editDistance is the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}

// Command fennel-capacity prints the tables of docs/CAPACITY.md as Markdown.
package main

import (
	"fmt"
	"os"

	"github.com/fennelcourse/fennelcourse/internal/capacity"
)

func main() {
	for _, s := range capacity.Sections() {
		if err := s.Write(os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "fennel-capacity:", err)
			os.Exit(1)
		}
		fmt.Println()
	}
}

package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// printf writes to the terminal or a pipe. Errors are ignored: if the output is closed,
// there is nowhere to report them.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printProto prints a message as JSON with the field names of the .proto file.
func (a *app) printProto(m proto.Message) error {
	raw, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	// protojson randomizes its whitespace on purpose, so indent it here.
	var b bytes.Buffer
	if err := json.Indent(&b, raw, "", "  "); err != nil {
		return err
	}
	printf(a.out, "%s\n", b.String())
	return nil
}

// table prints rows in aligned columns. The first row is the header.
func (a *app) table(rows [][]string) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		printf(w, "%s\n", strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// printDiff prints the lines that differ between two texts, with the line numbers of the
// old one.
func printDiff(w io.Writer, before, after string) {
	lines := strings.Split(before, "\n")
	shift := 0 // net number of lines added by the previous edits
	for _, e := range rules.Diff(before, after) {
		at := e.At - shift
		printf(w, "@@ line %d\n", at+1)
		for _, line := range lines[at : at+e.Removed] {
			printf(w, "- %s\n", line)
		}
		for _, line := range e.Added {
			printf(w, "+ %s\n", line)
		}
		shift += len(e.Added) - e.Removed
	}
}

func timestamp(unixMs int64) string {
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

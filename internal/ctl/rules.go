package ctl

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

func (a *app) rulesCommand() *ff.Command {
	return &ff.Command{
		Name:      "rules",
		Usage:     "fennelctl rules COMMAND [FLAGS]",
		ShortHelp: "check, change and track the rules file",
		Flags:     a.subFlags("rules"),
		Subcommands: []*ff.Command{
			a.checkCommand(),
			a.diffCommand(),
			a.applyCommand(),
			a.showCommand(),
			a.historyCommand(),
			a.waitCommand(),
		},
	}
}

// rulesFile is a local rules file.
type rulesFile struct {
	// text is the content without the revision line.
	text string
	// base is the revision in the first line, or noBase.
	base int64
}

const (
	revisionMarker = "# revision: "
	noBase         = -1
)

// readRules reads a file, with or without the revision line that `rules show` writes.
func readRules(args []string) (rulesFile, error) {
	if len(args) != 1 {
		return rulesFile{}, usageError("found %d arguments, want one FILE", len(args))
	}
	raw, err := os.ReadFile(args[0])
	if err != nil {
		return rulesFile{}, &exitError{code: ExitFailed, message: err.Error()}
	}
	file := rulesFile{text: string(raw), base: noBase}
	first, rest, _ := strings.Cut(file.text, "\n")
	number, marked := strings.CutPrefix(strings.TrimSpace(first), revisionMarker)
	if !marked {
		return file, nil
	}
	file.base, err = strconv.ParseInt(strings.TrimSpace(number), 10, 64)
	if err != nil || file.base < 0 {
		return rulesFile{}, &exitError{code: ExitFailed, message: fmt.Sprintf("%s: line 1: found %q, want %sNUMBER", args[0], first, revisionMarker)}
	}
	file.text = rest
	return file, nil
}

// checkJSON is the output of `rules check --json`.
type checkJSON struct {
	OK     bool            `json:"ok"`
	Errors []ruleErrorJSON `json:"errors,omitempty"`
}

type ruleErrorJSON struct {
	Line    int           `json:"line,omitempty"`
	Column  int           `json:"column,omitempty"`
	Problem rules.Problem `json:"problem"`
	Found   string        `json:"found,omitempty"`
	Want    string        `json:"want"`
}

// parse parses the file as a node does. Line numbers in errors include the revision line,
// so that they match the operator's editor.
func (a *app) parse(name string, file rulesFile) (*rules.Set, error) {
	set, err := rules.Parse(file.text)
	if err == nil {
		return set, nil
	}
	result := checkJSON{}
	ruleErrs, ok := errors.Into[rules.Errors](err)
	if !ok {
		result.Errors = append(result.Errors, ruleErrorJSON{Problem: "file", Want: err.Error()})
		printf(a.log, "%s: %v\n", name, err)
	}
	for _, e := range ruleErrs {
		if file.base != noBase {
			e.Line++
		}
		result.Errors = append(result.Errors, ruleErrorJSON{e.Line, e.Column, e.Problem, e.Found, e.Want})
		printf(a.log, "%s: %v\n", name, e)
	}
	if a.json {
		if err := a.printJSON(result); err != nil {
			return nil, err
		}
	}
	return nil, &exitError{code: ExitFailed, message: fmt.Sprintf("%s has %d errors; nothing was changed", name, len(result.Errors))}
}

func (a *app) checkCommand() *ff.Command {
	return &ff.Command{
		Name:      "check",
		Usage:     "fennelctl rules check FILE",
		ShortHelp: "check a file locally, without contacting a node",
		LongHelp:  "EXAMPLES\n  fennelctl rules check rules.txt\n  fennelctl rules check --json rules.txt",
		Flags:     a.subFlags("check"),
		Exec: func(_ context.Context, args []string) error {
			file, err := readRules(args)
			if err != nil {
				return err
			}
			set, err := a.parse(args[0], file)
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(checkJSON{OK: true})
			}
			printf(a.out, "%s: ok: %d teams, %d groups, %d services, %d routes, %d limits, %d fences\n", args[0],
				len(set.Teams), len(set.Groups), len(set.Services), len(set.Routes), len(set.Limits), len(set.Fences))
			return nil
		},
	}
}

func getRules(ctx context.Context, all nodes, revision int64) (*wirepb.GetRulesResponse, error) {
	return call(ctx, all, wirepbconnect.OperatorServiceClient.GetRules, &wirepb.GetRulesRequest{Revision: revision})
}

func (a *app) diffCommand() *ff.Command {
	fs := a.subFlags("diff")
	against := fs.Int(0, "against", 0, "REVISION to compare with; 0 means the newest")
	return &ff.Command{
		Name:      "diff",
		Usage:     "fennelctl rules diff FILE [--against REVISION]",
		ShortHelp: "show what a file would change",
		LongHelp:  "EXAMPLES\n  fennelctl rules diff rules.txt\n  fennelctl rules diff rules.txt --against 1042",
		Flags:     fs,
		Exec: func(ctx context.Context, args []string) error {
			file, err := readRules(args)
			if err != nil {
				return err
			}
			all, err := a.newClients()
			if err != nil {
				return err
			}
			current, err := getRules(ctx, all, int64(*against))
			if err != nil {
				return err
			}
			if a.json {
				return a.printJSON(diffJSON{current.GetRevision(), rules.Diff(current.GetText(), file.text)})
			}
			printf(a.log, "against revision %d:\n", current.GetRevision())
			printDiff(a.out, current.GetText(), file.text)
			return nil
		},
	}
}

type diffJSON struct {
	Against int64        `json:"against"`
	Edits   []rules.Edit `json:"edits"`
}

func (a *app) showCommand() *ff.Command {
	return &ff.Command{
		Name:      "show",
		Usage:     "fennelctl rules show [REVISION]",
		ShortHelp: "print the newest accepted file, or an earlier one",
		LongHelp: `The first line contains the revision, by which "rules apply" detects whether
another operator has changed the rules since.

EXAMPLES
  fennelctl rules show > rules.txt
  fennelctl rules show 1042`,
		Flags: a.subFlags("show"),
		Exec: func(ctx context.Context, args []string) error {
			revision, err := optionalRevision(args)
			if err != nil {
				return err
			}
			all, err := a.newClients()
			if err != nil {
				return err
			}
			file, err := getRules(ctx, all, revision)
			if err != nil {
				return err
			}
			if file.GetFromMemory() {
				printf(a.log, "fennelctl: the store is not reachable; these are the rules in force on the node\n")
			}
			if a.json {
				return a.printJSON(showJSON{file.GetRevision(), file.GetFromMemory(), file.GetText()})
			}
			printf(a.out, "%s%d\n%s", revisionMarker, file.GetRevision(), file.GetText())
			return nil
		},
	}
}

type showJSON struct {
	Revision   int64  `json:"revision"`
	FromMemory bool   `json:"from_memory"`
	Text       string `json:"text"`
}

func optionalRevision(args []string) (int64, error) {
	switch len(args) {
	case 0:
		return 0, nil
	case 1:
		return parseRevision(args[0])
	default:
		return 0, usageError("found %d arguments, want at most one REVISION", len(args))
	}
}

func parseRevision(arg string) (int64, error) {
	revision, err := strconv.ParseInt(arg, 10, 64)
	if err != nil || revision <= 0 {
		return 0, usageError("found %q, want a rules REVISION, a number above 0", arg)
	}
	return revision, nil
}

func (a *app) historyCommand() *ff.Command {
	fs := a.subFlags("history")
	limit := fs.Int('n', "limit", 20, "show at most this many changes; 0 shows all that are stored")
	return &ff.Command{
		Name:      "history",
		Usage:     "fennelctl rules history [--limit N]",
		ShortHelp: "list accepted changes, newest first",
		LongHelp:  "EXAMPLES\n  fennelctl rules history --limit 5",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			all, err := a.newClients()
			if err != nil {
				return err
			}
			res, err := call(ctx, all, wirepbconnect.OperatorServiceClient.RulesHistory, &wirepb.RulesHistoryRequest{Limit: int32(*limit)})
			if err != nil {
				return err
			}
			return a.printHistory(res.GetVersions())
		},
	}
}

type versionJSON struct {
	Revision     int64  `json:"revision"`
	Author       string `json:"author"`
	At           string `json:"at"`
	LinesAdded   int32  `json:"lines_added"`
	LinesRemoved int32  `json:"lines_removed"`
}

func (a *app) printHistory(versions []*wirepb.RulesVersion) error {
	list := make([]versionJSON, 0, len(versions))
	rows := [][]string{{"REVISION", "AT", "AUTHOR", "LINES"}}
	for _, v := range versions {
		list = append(list, versionJSON{v.GetRevision(), v.GetAuthor(), timestamp(v.GetUnixMs()), v.GetLinesAdded(), v.GetLinesRemoved()})
		rows = append(rows, []string{
			strconv.FormatInt(v.GetRevision(), 10), timestamp(v.GetUnixMs()), v.GetAuthor(),
			fmt.Sprintf("+%d -%d", v.GetLinesAdded(), v.GetLinesRemoved()),
		})
	}
	if a.json {
		return a.printJSON(list)
	}
	a.table(rows)
	return nil
}

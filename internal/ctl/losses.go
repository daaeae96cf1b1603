package ctl

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/fennelcourse/fennelcourse/internal/losses"
)

const lossesHelp = `Reads nodes' logs, one file a node, and gives every call that was late, refused
or failed one cause: that of its first attempt that went wrong. It talks to no node. The
windows show what was lost when, and what the VMs did meanwhile, if the log of the node
that placed them is among the files.

EXAMPLES
  fennelctl losses front-*.log
  fennelctl losses --every 10s --plot losses.svg front-*.log`

// defaultEvery is the length of a window: faults and their repair take seconds.
const defaultEvery = 2 * time.Second

// shownCauses is how many causes a window's row names.
const shownCauses = 3

func (a *app) lossesCommand() *ff.Command {
	fs := a.subFlags("losses")
	every := fs.Duration(0, "every", defaultEvery, "length of a window")
	picture := fs.String(0, "plot", "", "FILE to write an SVG picture to")
	return &ff.Command{
		Name:      "losses",
		Usage:     "fennelctl losses [--every DURATION] [--plot FILE] LOG...",
		ShortHelp: "tell from nodes' logs why calls were late, refused or failed",
		LongHelp:  lossesHelp,
		Flags:     fs,
		Exec: func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return usageError("no log named")
			}
			if *every <= 0 {
				return usageError("--every %v: want more than 0s", *every)
			}
			log, err := a.readLogs(files)
			if err != nil {
				return err
			}
			return a.printLosses(log.Report(*every), *picture)
		},
	}
}

func (a *app) readLogs(files []string) (*losses.Log, error) {
	log := &losses.Log{}
	for _, name := range files {
		torn := len(log.SkippedLines)
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = log.Read(f)
		_ = f.Close() // read only
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		if more := log.SkippedLines[torn:]; len(more) > 0 {
			printf(a.log, "fennelctl: %s: %d lines can't be read and are passed over, the first: %v\n", name, len(more), more[0])
		}
	}
	return log, nil
}

func (a *app) printLosses(report *losses.Report, picture string) error {
	if picture != "" {
		if err := writePlot(report, picture); err != nil {
			return err
		}
	}
	if a.json {
		return a.printJSON(report)
	}
	a.printCounts("group", report.Groups)
	printf(a.out, "\n")
	a.printCounts("zone", report.Zones)
	printf(a.out, "\n")
	a.printWindows(report)
	return nil
}

func writePlot(report *losses.Report, name string) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := report.Plot(f); err != nil {
		_ = f.Close() // the first error counts
		return err
	}
	return f.Close()
}

// printCounts prints a row for each name, and one for each cause below it.
func (a *app) printCounts(what string, by map[string]*losses.Counts) {
	rows := [][]string{{what, "calls", "on time", "late", "refused", "failed"}}
	for _, name := range slices.Sorted(maps.Keys(by)) {
		c := by[name]
		row := []string{orUnknown(name), fmt.Sprint(c.Calls)}
		for _, o := range []losses.Outcome{losses.OnTime, losses.Late, losses.Refused, losses.Failed} {
			row = append(row, fmt.Sprint(c.Outcomes[o]))
		}
		rows = append(rows, row)
		for _, cause := range c.CausesByCount() {
			rows = append(rows, []string{"  " + string(cause), fmt.Sprint(c.Causes[cause])})
		}
	}
	a.table(rows)
}

func orUnknown(name string) string {
	if name == "" {
		return "unknown"
	}
	return name
}

func (a *app) printWindows(report *losses.Report) {
	rows := [][]string{{"from", "calls", "on time", "VMs held", "free", "cold", "loading", "largest causes"}}
	for _, w := range report.Windows {
		row := []string{w.From.UTC().Format("15:04:05"), fmt.Sprint(w.Calls), fmt.Sprint(w.Outcomes[losses.OnTime])}
		if w.Inventory == nil {
			row = append(row, "-", "-", "-", "-")
		} else {
			row = append(row, fmt.Sprint(w.Inventory.Held), fmt.Sprint(w.Inventory.Free), fmt.Sprint(w.Inventory.Cold), fmt.Sprint(w.Inventory.Loading))
		}
		var named []string
		for _, cause := range w.CausesByCount()[:min(shownCauses, len(w.CausesByCount()))] {
			named = append(named, fmt.Sprintf("%s %d", cause, w.Causes[cause]))
		}
		rows = append(rows, append(row, strings.Join(named, ", ")))
	}
	a.table(rows)
}

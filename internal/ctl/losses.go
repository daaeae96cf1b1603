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

const lossesHelp = `Reads nodes' logs, one file per node, and assigns one cause to every call that was
late, refused or failed: that of its first failed attempt. It contacts no node. The
windows show the losses over time and the states of the VMs, if the log of the node
that was the placement leader is among the files.

EXAMPLES
  fennelctl losses front-*.log
  fennelctl losses --every 10s --plot losses.svg front-*.log`

// defaultWindow is the default length of a window: failures and their recovery take seconds.
const defaultWindow = 2 * time.Second

// maxCausesPerWindow is the number of causes shown for a window.
const maxCausesPerWindow = 3

func (a *app) lossesCommand() *ff.Command {
	fs := a.subFlags("losses")
	every := fs.Duration(0, "every", defaultWindow, "length of a window")
	plotFile := fs.String(0, "plot", "", "FILE to write an SVG plot to")
	return &ff.Command{
		Name:      "losses",
		Usage:     "fennelctl losses [--every DURATION] [--plot FILE] LOG...",
		ShortHelp: "show from nodes' logs why calls were late, refused or failed",
		LongHelp:  lossesHelp,
		Flags:     fs,
		Exec: func(_ context.Context, files []string) error {
			if len(files) == 0 {
				return usageError("found no arguments, want at least one LOG file")
			}
			if *every <= 0 {
				return usageError("--every %v: want more than 0s", *every)
			}
			log, err := a.readLogs(files)
			if err != nil {
				return err
			}
			return a.printLosses(log.Report(*every), *plotFile)
		},
	}
}

func (a *app) readLogs(files []string) (*losses.Log, error) {
	log := &losses.Log{}
	for _, name := range files {
		skipped := len(log.SkippedLines)
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = log.Read(f)
		_ = f.Close() // the file was only read
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		if lines := log.SkippedLines[skipped:]; len(lines) > 0 {
			printf(a.log, "fennelctl: %s: skipped %d lines that could not be parsed, the first: %v\n", name, len(lines), lines[0])
		}
	}
	return log, nil
}

func (a *app) printLosses(report *losses.Report, plotFile string) error {
	if plotFile != "" {
		if err := writePlot(report, plotFile); err != nil {
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
		_ = f.Close() // the plot's error takes precedence
		return err
	}
	return f.Close()
}

// printCounts prints a row for each name, followed by a row for each of its causes.
func (a *app) printCounts(heading string, byName map[string]*losses.Counts) {
	rows := [][]string{{heading, "calls", "on time", "late", "refused", "failed"}}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		c := byName[name]
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
		var causes []string
		for _, cause := range w.CausesByCount()[:min(maxCausesPerWindow, len(w.CausesByCount()))] {
			causes = append(causes, fmt.Sprintf("%s %d", cause, w.Causes[cause]))
		}
		rows = append(rows, append(row, strings.Join(causes, ", ")))
	}
	a.table(rows)
}

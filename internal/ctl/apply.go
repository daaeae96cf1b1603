package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/peterbourgon/ff/v4"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

const applyHelp = `The change is accepted only if the rules have not changed since the revision that
the file is based on: --base if given, otherwise the revision in the file's first
line as written by "rules show", otherwise the newest. If they have changed, nothing
is applied and the other change is shown (exit code 3).

EXAMPLES
  fennelctl rules apply rules.txt
  fennelctl rules apply rules.txt --wait --timeout 30s
  fennelctl rules apply rules.txt --base 1042 --author "Ana Souza"`

// applyFlags holds the flags of `rules apply`.
type applyFlags struct {
	base    int
	author  string
	writeID string
	wait    bool
}

func (a *app) applyCommand() *ff.Command {
	opts := &applyFlags{}
	fs := a.subFlags("apply")
	fs.IntVar(&opts.base, 0, "base", noBase, "REVISION that the file is based on; -1 takes it from the file's first line, or else the newest")
	fs.StringVar(&opts.author, 0, "author", os.Getenv("USER"), "NAME of the operator who makes the change; $USER if not given")
	fs.StringVar(&opts.writeID, 0, "write-id", "", "ID of an earlier apply whose outcome is unknown, to repeat it safely")
	fs.BoolVar(&opts.wait, 'w', "wait", "wait until the change is in force on all nodes")
	return &ff.Command{
		Name:      "apply",
		Usage:     "fennelctl rules apply FILE [FLAGS]",
		ShortHelp: "apply a file as the rules of the whole system",
		LongHelp:  applyHelp,
		Flags:     fs,
		Exec:      func(ctx context.Context, args []string) error { return a.apply(ctx, opts, args) },
	}
}

func (a *app) apply(ctx context.Context, opts *applyFlags, args []string) error {
	if opts.author == "" {
		return usageError("--author: want the name of the operator who makes the change (or set USER)")
	}
	file, err := readRules(args)
	if err != nil {
		return err
	}
	if _, err := a.parse(args[0], file); err != nil {
		return err
	}
	all, err := a.newClients()
	if err != nil {
		return err
	}
	if err := a.resolveBase(ctx, all, opts, &file); err != nil {
		return err
	}
	if opts.writeID == "" {
		opts.writeID = rand.Text()
	}
	res, err := a.sendApply(ctx, all, &wirepb.ApplyRulesRequest{BaseRevision: file.base, Text: file.text, Author: opts.author, WriteId: opts.writeID})
	if err != nil {
		return err
	}
	if res.GetConflict() {
		return a.reportConflict(ctx, all, file, res)
	}
	if a.json && !opts.wait {
		return a.printJSON(appliedJSON{Revision: res.GetRevision()})
	}
	if !a.json {
		printf(a.out, "accepted as revision %d\n", res.GetRevision())
	}
	if opts.wait {
		return a.wait(ctx, all, res.GetRevision())
	}
	return nil
}

// resolveBase sets the revision that the file is based on. If the operator gave none, it is
// the newest one, and the difference from it is shown.
func (a *app) resolveBase(ctx context.Context, all nodes, opts *applyFlags, file *rulesFile) error {
	if opts.base != noBase {
		file.base = int64(opts.base)
	}
	if file.base != noBase {
		return nil
	}
	newest, err := getRules(ctx, all, 0)
	if connect.CodeOf(err) == connect.CodeNotFound {
		file.base = 0 // there are no rules yet
		return nil
	}
	if err != nil {
		return err
	}
	file.base = newest.GetRevision()
	printf(a.log, "no base revision given; changes from the newest revision, %d:\n", file.base)
	printDiff(a.log, newest.GetText(), file.text)
	return nil
}

const (
	applyAttempts   = 3
	applyRetryDelay = 300 * time.Millisecond
)

// sendApply sends the change and, if the outcome is unknown or may differ on another try,
// sends it again with the same write id, by which nodes recognize a repeat.
func (a *app) sendApply(ctx context.Context, all nodes, req *wirepb.ApplyRulesRequest) (*wirepb.ApplyRulesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	var lastErr error
	outcomeUnknown := false
	for attempt := range applyAttempts {
		if attempt > 0 && !clock.Pause(ctx, applyRetryDelay) {
			break
		}
		res, err := call(ctx, all, wirepbconnect.OperatorServiceClient.ApplyRules, req)
		if err == nil {
			return res, nil
		}
		lastErr = err
		callErr, ok := errors.Into[*callError](err)
		outcomeUnknown = outcomeUnknown || !ok || callErr.outcomeUnknown
		if !retryable(err) {
			break
		}
	}
	if !outcomeUnknown {
		return nil, &exitError{code: ExitFailed, message: fmt.Sprintf("%v\nNothing was changed.", lastErr)}
	}
	return nil, &exitError{code: ExitFailed, message: fmt.Sprintf(
		"%v\nIt is not known whether the change was accepted. To find out, run the same command again with --base %d --write-id %s", lastErr, req.GetBaseRevision(), req.GetWriteId())}
}

type appliedJSON struct {
	Revision int64 `json:"revision"`
}

type conflictJSON struct {
	Conflict        bool   `json:"conflict"`
	BaseRevision    int64  `json:"base_revision"`
	CurrentRevision int64  `json:"current_revision"`
	CurrentAuthor   string `json:"current_author"`
	CurrentText     string `json:"current_text"`
}

// reportConflict shows what the other operator changed since the file's base revision.
func (a *app) reportConflict(ctx context.Context, all nodes, file rulesFile, res *wirepb.ApplyRulesResponse) error {
	if a.json {
		if err := a.printJSON(conflictJSON{true, file.base, res.GetCurrentRevision(), res.GetCurrentAuthor(), res.GetCurrentText()}); err != nil {
			return err
		}
		return &exitError{code: ExitConflict}
	}
	if res.GetCurrentRevision() == 0 {
		return &exitError{code: ExitConflict, message: "conflict: the store has no rules; use --base 0 to apply the first file"}
	}
	printf(a.log, "conflict: %s changed the rules to revision %d; your file is based on revision %d. Nothing was applied.\n",
		res.GetCurrentAuthor(), res.GetCurrentRevision(), file.base)
	base, err := getRules(ctx, all, file.base)
	if err == nil {
		printf(a.log, "changed since revision %d:\n", file.base)
		printDiff(a.log, base.GetText(), res.GetCurrentText())
	} else {
		printf(a.log, "differences from your file to revision %d:\n", res.GetCurrentRevision())
		printDiff(a.log, file.text, res.GetCurrentText())
	}
	printf(a.log, "To continue: fennelctl rules show > NEW, make your change in NEW, fennelctl rules apply NEW\n")
	return &exitError{code: ExitConflict}
}

package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/fennelcourse/fennelcourse/internal/clock"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

const pollInterval = 500 * time.Millisecond

func (a *app) waitCommand() *ff.Command {
	return &ff.Command{
		Name:      "wait",
		Usage:     "fennelctl rules wait REVISION [--timeout 30s]",
		ShortHelp: "wait until a revision is in force on all nodes",
		LongHelp: `Shows on how many nodes the revision, or a later one, is in force, and lists the
nodes that are behind or not heard from (exit code 4 on timeout).

EXAMPLES
  fennelctl rules wait 1043 --timeout 30s`,
		Flags: a.subFlags("wait"),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("found %d arguments, want one REVISION", len(args))
			}
			revision, err := parseRevision(args[0])
			if err != nil {
				return err
			}
			all, err := a.newClients()
			if err != nil {
				return err
			}
			return a.wait(ctx, all, revision)
		},
	}
}

// inForceJSON is the output of `rules wait --json`.
type inForceJSON struct {
	Revision int64    `json:"revision"`
	InForce  int32    `json:"in_force"`
	Nodes    int32    `json:"nodes"`
	Behind   []string `json:"behind,omitempty"`
	Unheard  []string `json:"unheard,omitempty"`
}

func (a *app) wait(ctx context.Context, all nodes, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	var last *wirepb.RulesInForceResponse
	var lastErr error
	printed := ""
	for {
		res, err := call(ctx, all, wirepbconnect.OperatorServiceClient.RulesInForce, &wirepb.RulesInForceRequest{Revision: revision})
		switch {
		case err == nil:
			last = res
		case !retryable(err):
			return err
		case ctx.Err() == nil:
			lastErr = err
		}
		if last != nil && last.GetNodes() > 0 && last.GetInForce() == last.GetNodes() {
			return a.reportWait(revision, last, true)
		}
		if line := progress(revision, last, lastErr); line != printed {
			printf(a.log, "%s\n", line)
			printed = line
		}
		if clock.Pause(ctx, pollInterval) {
			continue
		}
		if last == nil {
			return a.noAnswerError(revision, lastErr)
		}
		return a.reportWait(revision, last, false)
	}
}

// noAnswerError returns the error of a wait during which no node answered. Reporting "0 of 0
// nodes" would suggest that there are no nodes.
func (a *app) noAnswerError(revision int64, err error) error {
	message := fmt.Sprintf("no node answered within %s; the state of revision %d is not known", a.timeout, revision)
	if err != nil {
		message += ": " + err.Error()
	}
	return &exitError{code: ExitNotInForce, message: message}
}

func progress(revision int64, res *wirepb.RulesInForceResponse, err error) string {
	if res == nil {
		return fmt.Sprintf("waiting for revision %d: %v", revision, err)
	}
	line := fmt.Sprintf("waiting for revision %d: in force on %d of %d nodes", revision, res.GetInForce(), res.GetNodes())
	behind, unheard := lagging(revision, res)
	if len(behind) > 0 {
		line += "; behind: " + strings.Join(behind, ", ")
	}
	if len(unheard) > 0 {
		line += "; not heard from: " + strings.Join(unheard, ", ")
	}
	return line
}

// lagging returns the nodes with an older revision and those not heard from.
func lagging(revision int64, res *wirepb.RulesInForceResponse) (behind, unheard []string) {
	for _, n := range res.GetDetail() {
		name := fmt.Sprintf("%s (%s)", n.GetNode(), n.GetZone())
		if !n.GetHeard() {
			unheard = append(unheard, name)
		} else if n.GetRevision() < revision {
			behind = append(behind, fmt.Sprintf("%s at %d", name, n.GetRevision()))
		}
	}
	return behind, unheard
}

func (a *app) reportWait(revision int64, res *wirepb.RulesInForceResponse, done bool) error {
	report := inForceJSON{Revision: revision, InForce: res.GetInForce(), Nodes: res.GetNodes()}
	report.Behind, report.Unheard = lagging(revision, res)
	if a.json {
		if err := a.printJSON(report); err != nil {
			return err
		}
	} else {
		a.printWait(report)
	}
	if done {
		return nil
	}
	return &exitError{code: ExitNotInForce, message: fmt.Sprintf("revision %d is not in force on all nodes after %s", revision, a.timeout)}
}

func (a *app) printWait(report inForceJSON) {
	printf(a.out, "revision %d is in force on %d of %d nodes\n", report.Revision, report.InForce, report.Nodes)
	if len(report.Behind) > 0 {
		printf(a.out, "behind: %s\n", strings.Join(report.Behind, ", "))
	}
	if len(report.Unheard) > 0 {
		printf(a.out, "not heard from: %s\n", strings.Join(report.Unheard, ", "))
	}
}

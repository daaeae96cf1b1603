package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

func (a *app) statusCommand() *ff.Command {
	return &ff.Command{
		Name:      "status",
		Usage:     "fennelctl status",
		ShortHelp: "show nodes, rules in force, replicas and teams as one node sees them",
		LongHelp:  "EXAMPLES\n  fennelctl status\n  fennelctl status --json | jq '.replicas[] | select(.whole | not)'",
		Flags:     a.subFlags("status"),
		Exec: func(ctx context.Context, _ []string) error {
			all, err := a.newClients()
			if err != nil {
				return err
			}
			res, err := call(ctx, all, wirepbconnect.OperatorServiceClient.Status, &wirepb.StatusRequest{})
			if err != nil {
				return err
			}
			if a.json {
				return a.printProto(res)
			}
			a.printStatus(res)
			return nil
		},
	}
}

func (a *app) printStatus(s *wirepb.StatusResponse) {
	state := "ready"
	if !s.GetReady() {
		state = "not ready: " + s.GetNotReadyReason()
	}
	store := "reachable"
	if !s.GetStoreReachable() {
		store = "not reachable"
	}
	printf(a.out, "node %s in %s, version %s, %s; rules revision %d in force; store %s\n",
		s.GetNode(), s.GetZone(), s.GetVersion(), state, s.GetRulesRevision(), store)

	rows := [][]string{{"NODE", "ZONE", "RULES", "HEARD"}}
	for _, n := range s.GetNodes() {
		heard := "no"
		if n.GetHeard() {
			heard = formatAge(n.GetHeardAgoMs())
		}
		rows = append(rows, []string{n.GetNode(), n.GetZone(), strconv.FormatInt(n.GetRevision(), 10), heard})
	}
	a.section(rows)

	rows = [][]string{{"REPLICA", "GROUP", "ZONE", "WHOLE", "RUNNING", "WAITING", "CONFIRMED"}}
	for _, r := range byGroup(s.GetReplicas()) {
		healthy := "yes"
		if !r.GetWhole() {
			healthy = "no: " + r.GetReason()
		}
		rows = append(rows, []string{r.GetReplica(), r.GetGroup(), r.GetZone(), healthy, fmt.Sprint(r.GetRunning()), fmt.Sprint(r.GetWaiting()), formatAge(r.GetConfirmedAgoMs())})
	}
	a.section(rows)

	rows = [][]string{{"TEAM", "RUNNING", "WAITING", "REFUSED"}}
	for _, t := range s.GetTeams() {
		rows = append(rows, []string{t.GetTeam(), fmt.Sprint(t.GetRunning()), fmt.Sprint(t.GetWaiting()), fmt.Sprint(t.GetRefused())})
	}
	a.section(rows)
}

// section prints a blank line and the table, unless it has only a header.
func (a *app) section(rows [][]string) {
	if len(rows) > 1 {
		printf(a.out, "\n")
		a.table(rows)
	}
}

func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

func (a *app) explainCommand() *ff.Command {
	req := &wirepb.ExplainRequest{}
	fs := a.subFlags("explain")
	fs.StringVar(&req.Path, 0, "path", "/v1/chat/completions", "PATH of the request")
	fs.StringVar(&req.Model, 0, "model", "", "MODEL named in the request")
	fs.StringVar(&req.Team, 0, "team", "", "TEAM of the caller")
	return &ff.Command{
		Name:      "explain",
		Usage:     "fennelctl explain [--path PATH] [--model MODEL] [--team TEAM]",
		ShortHelp: "show which rule and replica would be used for a request, and why",
		LongHelp:  "EXAMPLES\n  fennelctl explain --model poradce --team eshop\n  fennelctl explain --path /platby/nova --team pokladna",
		Flags:     fs,
		Exec: func(ctx context.Context, _ []string) error {
			all, err := a.newClients()
			if err != nil {
				return err
			}
			res, err := call(ctx, all, wirepbconnect.OperatorServiceClient.Explain, req)
			if err != nil {
				return err
			}
			if a.json {
				return a.printProto(res)
			}
			if res.GetRule() == "" {
				printf(a.out, "no rule: %s\n", res.GetReason())
				return nil
			}
			printf(a.out, "line %d: %s\nto: %s\n", res.GetRuleLine(), res.GetRule(), res.GetTarget())
			if res.GetReplica() != "" {
				printf(a.out, "replica: %s\n", res.GetReplica())
			}
			printf(a.out, "why: %s\n", res.GetReason())
			return nil
		},
	}
}

// byGroup returns the replicas sorted by group and name, so that the order does not change
// between calls.
func byGroup(replicas []*wirepb.ReplicaReport) []*wirepb.ReplicaReport {
	sorted := slices.Clone(replicas)
	slices.SortFunc(sorted, func(a, b *wirepb.ReplicaReport) int {
		return cmp.Or(cmp.Compare(a.GetGroup(), b.GetGroup()), cmp.Compare(a.GetReplica(), b.GetReplica()))
	})
	return sorted
}

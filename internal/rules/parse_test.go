package rules

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

const by = "  # asked for by: Ana"

func file(lines ...string) string {
	return strings.Join(lines, by+"\n") + by + "\n"
}

var (
	tokenA = "sha256:" + strings.Repeat("a", 64)
	tokenB = "sha256:" + strings.Repeat("b", 64)
)

func TestParseKindsAndDefaults(t *testing.T) {
	set, err := Parse("# the whole file\n\n" + file(
		"route path=/v1/* model=fit team=school-a to=fit prefer=any",
		"route path=/deposits/* to=caixa once=required",
		"team name=school-a token="+tokenA+" priority=7",
		"team name=school-b token="+tokenB,
		"service name=caixa",
		"group name=fit model=org/fit:2 vms=4 domain=any spares=2 replicas=50 weigh=stranded version=v2 adapters=liner,shell",
		"group name=balcao model=balcao vms=1",
		"limit team=school-a share=20 inflight=64",
		"fence servers=fit checks=yes"))
	require.NoError(t, err)
	require.Equal(t, Origin{Line: 3, AskedBy: "Ana", Verbatim: "route path=/v1/* model=fit team=school-a to=fit prefer=any" + by}, set.Routes[0].Origin)
	require.Equal(t, cluster.GroupName("fit"), set.Routes[0].Group)
	require.Equal(t, PreferAny, set.Routes[0].Prefer)
	require.Equal(t, OnceAuto, set.Routes[0].Once)
	require.Equal(t, Route{Origin: set.Routes[1].Origin, Path: "/deposits/*", Model: "*", Team: "*", Service: "caixa", Prefer: PreferLocal, Once: OnceRequired}, set.Routes[1])
	require.Equal(t, 7, set.Teams[0].Priority)
	require.Equal(t, DefaultPriority, set.Teams[1].Priority)
	require.Equal(t, Group{Origin: set.Groups[0].Origin, Name: "fit", Model: "org/fit:2", VMs: 4, Spares: 2, Replicas: 50, Weigh: WeighStranded, Version: "v2", Adapters: []string{"liner", "shell"}}, set.Groups[0])
	require.Equal(t, Group{Origin: set.Groups[1].Origin, Name: "balcao", Model: "balcao", VMs: 1, SameDomain: true, Weigh: WeighDowntime}, set.Groups[1])
	require.Equal(t, 64, set.LimitOf("school-a").InFlight)
	require.Equal(t, DefaultShare, set.LimitOf("school-b").Share)
	require.True(t, set.ChecksFence("fit"))
	require.False(t, set.ChecksFence("balcao"))
}

func TestParseErrorDetails(t *testing.T) {
	const service = "service name=caixa" + by + "\n"
	for name, c := range map[string]struct {
		text         string
		line, column int
		problem      Problem
		found, want  string
	}{
		"unknown kind":         {"\n  rout path=/x to=caixa" + by, 2, 3, ProblemKind, "rout", `did you mean "route"?`},
		"unknown key":          {service + "route path=/x too=caixa" + by, 2, 15, ProblemKey, "too", `did you mean "to"?`},
		"key of a declaration": {file("group name=g model=m vms=4 spars=2", "route path=/x to=g"), 1, 28, ProblemKey, "spars", `did you mean "spares"?`},
		"no equals sign":       {"service caixa" + by, 1, 9, ProblemKey, "caixa", "key=value"},
		"key twice":            {"service name=caixa name=x" + by, 1, 20, ProblemDuplicate, "name=x", "only once"},
		"no comment":           {"service name=caixa", 1, 19, ProblemComment, "", "# asked for by: NAME"},
		"comment names none":   {"service name=caixa # asked for by:  ", 1, 20, ProblemComment, "# asked for by:  ", "NAME"},
		"other comment":        {"service name=caixa # for Ana", 1, 20, ProblemComment, "# for Ana", "NAME"},
		"missing key":          {"service" + by, 1, 8, ProblemMissing, "", "name="},
		"bad name":             {"service name=caixa!" + by, 1, 14, ProblemValue, "caixa!", "a name of letters"},
		"characters count":     {"service name=ção" + by, 1, 14, ProblemValue, "ção", "a name"},
		"no VMs":               {"group name=g model=m vms=0" + by, 1, 26, ProblemValue, "0", "from 1 to 64"},
		"too many VMs":         {"group name=g model=m vms=65" + by, 1, 26, ProblemValue, "65", "from 1 to 64"},
		"negative spares":      {"group name=g model=m vms=1 spares=-1" + by, 1, 35, ProblemValue, "-1", "from 0 to"},
		"bad choice":           {"group name=g model=m vms=1 weigh=strandet" + by, 1, 34, ProblemValue, "strandet", `did you mean "stranded"?`},
		"bad adapters":         {"group name=g model=m vms=1 adapters=a,,b" + by, 1, 37, ProblemValue, "a,,b", "','"},
		"token not hashed":     {"team name=a token=secret" + by, 1, 19, ProblemValue, "secret", "sha256:"},
		"token upper case":     {"team name=a token=sha256:" + strings.Repeat("A", 64) + by, 1, 19, ProblemValue, "sha256:" + strings.Repeat("A", 64), "lower-case"},
		"token twice":          {file("team name=a token="+tokenA, "team name=b token="+tokenA), 2, 19, ProblemDuplicate, tokenA, "line 1 has this one"},
		"team twice":           {file("team name=a token="+tokenA, "team name=a token="+tokenB), 2, 11, ProblemDuplicate, "a", "line 1"},
		"group as service":     {service + "group name=caixa model=m vms=1" + by, 2, 12, ProblemDuplicate, "caixa", "line 1"},
		"unknown server":       {service + "route path=/x to=caxa" + by, 2, 18, ProblemReference, "caxa", `did you mean "caixa"?`},
		"unknown team":         {service + "route path=/x team=no to=caixa" + by, 2, 20, ProblemReference, "no", "team rule"},
		"limit unknown team":   {"limit team=no share=3" + by, 1, 12, ProblemReference, "no", "team rule"},
		"limit twice":          {file("team name=a token="+tokenA, "limit team=a", "limit team=a"), 3, 12, ProblemDuplicate, "a", "line 2"},
		"share zero":           {file("team name=a token="+tokenA, "limit team=a share=0"), 2, 20, ProblemValue, "0", "from 1 to 1000"},
		"inflight word":        {file("team name=a token="+tokenA, "limit team=a inflight=many"), 2, 23, ProblemValue, "many", "whole number"},
		"fence unknown":        {"fence servers=no checks=no" + by, 1, 15, ProblemReference, "no", "group or service"},
		"fence without":        {service + "fence servers=caixa" + by, 2, 20, ProblemMissing, "", "yes or no"},
		"relative path":        {service + "route path=x to=caixa" + by, 2, 12, ProblemValue, "x", "starts with '/'"},
		"star inside":          {service + "route path=/*/x to=caixa" + by, 2, 12, ProblemValue, "/*/x", "last character"},
		"control character":    {"service name=caixa\x01" + by, 1, 19, ProblemText, "\x01", "printable"},
		"not UTF-8":            {"service name=caixa" + by + "\xff", 1, 40, ProblemText, "\xff", "UTF-8"},
		"route covered":        {service + file("route path=/v1/* to=caixa", "route path=/v1/chat/* model=fit to=caixa"), 3, 7, ProblemUnreachable, "route path=/v1/chat/* model=fit to=caixa" + by, "before line 2"},
		"same route again":     {service + file("route path=/x to=caixa", "route path=/x to=caixa"), 3, 7, ProblemUnreachable, "route path=/x to=caixa" + by, "before line 2"},
	} {
		t.Run(name, func(t *testing.T) {
			set, err := Parse(c.text)
			require.Nil(t, set)
			var errs Errors
			require.ErrorAs(t, err, &errs)
			require.Len(t, errs, 1, "%v", err)
			got := *errs[0]
			require.Contains(t, got.Want, c.want)
			got.Want = ""
			require.Equal(t, LineError{Line: c.line, Column: c.column, Problem: c.problem, Found: c.found}, got)
		})
	}
}

func TestParseReportsAllErrorsInOrder(t *testing.T) {
	_, err := Parse(file("route path=/x to=nowhere", "rout", "group name=g model=m vms=0 spares=-1"))
	var errs Errors
	require.ErrorAs(t, err, &errs)
	var lines []int
	for _, e := range errs {
		lines = append(lines, e.Line)
	}
	require.Equal(t, []int{1, 2, 3, 3}, lines)
	var first *LineError
	require.True(t, errors.As(err, &first))
}

func TestParseRejectsOversizedFile(t *testing.T) {
	_, err := Parse(strings.Repeat("#", MaxTextBytes+1))
	var size *SizeError
	require.ErrorAs(t, err, &size)
	require.Equal(t, SizeError{Bytes: MaxTextBytes + 1, Max: MaxTextBytes}, *size)
	_, err = Parse(strings.Repeat("#", MaxTextBytes))
	require.NoError(t, err)
}

// TestMatchFollowsFileOrder compares the index with a linear search, and the check for
// unreachable routes with a comparison of every pair.
func TestMatchFollowsFileOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		paths := rapid.SampledFrom([]string{"/*", "/a", "/a*", "/a/*", "/a/b", "/a/b/*", "/c", "/c/*"})
		names := rapid.SampledFrom([]string{"*", "m", "n"})
		lines := []string{"service name=s"}
		var accepted []Route
		for range rapid.IntRange(0, 25).Draw(t, "routes") {
			r := Route{Path: paths.Draw(t, "path"), Model: names.Draw(t, "model"), Team: cluster.TeamID(names.Draw(t, "team"))}
			line := fmt.Sprintf("route path=%s model=%s team=%s to=s", r.Path, r.Model, r.Team)
			_, err := Parse(file(append([]string{"team name=m token=" + tokenA, "team name=n token=" + tokenB}, append(lines, line)...)...))
			covered := false
			for i := range accepted {
				covered = covered || covers(&accepted[i], &r)
			}
			require.Equal(t, covered, err != nil, "%s after %q: %v", line, lines, err)
			if err == nil {
				lines, accepted = append(lines, line), append(accepted, r)
			}
		}
		set, err := Parse(file(append([]string{"team name=m token=" + tokenA, "team name=n token=" + tokenB}, lines...)...))
		require.NoError(t, err)
		for range 20 {
			req := Request{
				Path:  rapid.SampledFrom([]string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/c", "/c/d", "/x", ""}).Draw(t, "request path"),
				Model: rapid.SampledFrom([]string{"", "m", "n", "o"}).Draw(t, "request model"),
				Team:  cluster.TeamID(rapid.SampledFrom([]string{"m", "n", "o"}).Draw(t, "request team")),
			}
			want := set.matchInOrder(req)
			require.Same(t, want, set.Match(req))
			if i := set.index.routes.first(req.Path, req.Model, string(req.Team)); want == nil {
				require.Equal(t, noRoute, i)
			} else {
				require.Same(t, want, &set.Routes[i])
			}
		}
	})
}

// covers reports whether a matches every request that b matches.
func covers(a, b *Route) bool {
	prefix, isPrefix := strings.CutSuffix(a.Path, "*")
	path := a.Path == b.Path || isPrefix && strings.HasPrefix(strings.TrimSuffix(b.Path, "*"), prefix)
	return path && (a.Model == "*" || a.Model == b.Model) && (a.Team == "*" || a.Team == b.Team)
}

func FuzzParse(f *testing.F) {
	f.Add(file("team name=a token="+tokenA, "group name=g model=m vms=4", "route path=/v1/* to=g", "limit team=a share=3", "fence servers=g checks=no"))
	f.Add("route path=/x to=y\r\n\t# note\nservice name=\xff")
	f.Fuzz(func(t *testing.T, text string) {
		set, err := Parse(text)
		if err != nil {
			require.Nil(t, set)
			return
		}
		again, err := Parse(set.Text)
		require.NoError(t, err)
		require.Equal(t, set, again)
	})
}

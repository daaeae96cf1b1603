package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/rulestore"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

const rulesText = "service name=caixa # asked for by: Ana\n"

type nodeList []NodeRevision

func (n nodeList) NodeRevisions() []NodeRevision { return n }

func serve(t *testing.T, deps Dependencies) wirepbconnect.OperatorServiceClient {
	mux := http.NewServeMux()
	mux.Handle(wirepbconnect.NewOperatorServiceHandler(New(deps)))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return wirepbconnect.NewOperatorServiceClient(srv.Client(), srv.URL)
}

func TestNilDependenciesAreUnimplemented(t *testing.T) {
	c := serve(t, Dependencies{})
	ctx := t.Context()
	_, rulesErr := c.GetRules(ctx, connect.NewRequest(&wirepb.GetRulesRequest{}))
	_, applyErr := c.ApplyRules(ctx, connect.NewRequest(&wirepb.ApplyRulesRequest{}))
	_, historyErr := c.RulesHistory(ctx, connect.NewRequest(&wirepb.RulesHistoryRequest{}))
	_, inForceErr := c.RulesInForce(ctx, connect.NewRequest(&wirepb.RulesInForceRequest{}))
	_, statusErr := c.Status(ctx, connect.NewRequest(&wirepb.StatusRequest{}))
	_, explainErr := c.Explain(ctx, connect.NewRequest(&wirepb.ExplainRequest{}))
	_, outagesErr := c.Outages(ctx, connect.NewRequest(&wirepb.OutagesRequest{}))
	for _, err := range []error{rulesErr, applyErr, historyErr, inForceErr, statusErr, explainErr, outagesErr} {
		require.Equal(t, connect.CodeUnimplemented, connect.CodeOf(err))
		require.ErrorContains(t, err, "does not offer")
	}
}

func TestRulesRoundTrip(t *testing.T) {
	s := memstore.New(memstore.Options{})
	c := serve(t, Dependencies{
		Rules: rulestore.New(rulestore.Options{Store: s}),
		Nodes: nodeList{{Node: "a", Zone: "z", Revision: 7, Heard: true}, {Node: "b", Zone: "z", Revision: 6, Heard: true}, {Node: "c", Zone: "z", Revision: 9, HeardAgo: time.Minute}},
	})
	ctx := t.Context()
	apply := func(base int64, text, id string) (*wirepb.ApplyRulesResponse, error) {
		res, err := c.ApplyRules(ctx, connect.NewRequest(&wirepb.ApplyRulesRequest{BaseRevision: base, Text: text, Author: "Ana", WriteId: id}))
		if err != nil {
			return nil, err
		}
		return res.Msg, nil
	}
	_, err := c.GetRules(ctx, connect.NewRequest(&wirepb.GetRulesRequest{}))
	require.Equal(t, connect.CodeNotFound, connect.CodeOf(err))
	_, err = apply(0, "servce", "1")
	require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err))
	require.ErrorContains(t, err, "line 1, column 1")
	first, err := apply(0, rulesText, "2")
	require.NoError(t, err)
	conflict, err := apply(0, rulesText+rulesText, "3")
	require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err), "%v", conflict)
	conflict, err = apply(0, rulesText+"# more\n", "4")
	require.NoError(t, err)
	require.True(t, conflict.Conflict)
	require.Equal(t, rulesText, conflict.CurrentText)
	require.Equal(t, first.Revision, conflict.CurrentRevision)

	history, err := c.RulesHistory(ctx, connect.NewRequest(&wirepb.RulesHistoryRequest{}))
	require.NoError(t, err)
	require.Len(t, history.Msg.Versions, 1)
	require.Equal(t, "Ana", history.Msg.Versions[0].Author)

	inForce, err := c.RulesInForce(ctx, connect.NewRequest(&wirepb.RulesInForceRequest{Revision: 7}))
	require.NoError(t, err)
	require.Equal(t, int32(1), inForce.Msg.InForce, "a node that is not heard from does not count")
	require.Equal(t, int32(3), inForce.Msg.Nodes)

	s.SetFaults(memstore.Faults{Down: true})
	_, err = apply(first.Revision, rulesText+"# more\n", "5")
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(err), "nothing was changed")
	s.SetFaults(memstore.Faults{Down: true, DownUnknown: true})
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	var unknown *rulestore.OutcomeUnknownError
	_, err = New(Dependencies{Rules: rulestore.New(rulestore.Options{Store: s})}).ApplyRules(short, connect.NewRequest(&wirepb.ApplyRulesRequest{Text: rulesText, Author: "Ana", WriteId: "7"}))
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, connect.CodeUnknown, connect.CodeOf(err))
}

func TestExplainRule(t *testing.T) {
	set, err := rules.Parse(rulesText + `team name=a token=sha256:0000000000000000000000000000000000000000000000000000000000000000 # asked for by: Ana
group name=fit model=m vms=4 # asked for by: Ana
route path=/v1/* model=m team=a to=fit # asked for by: Ana
route path=/d to=caixa # asked for by: Ana
`)
	require.NoError(t, err)
	for _, c := range []struct {
		req            rules.Request
		target, reason string
	}{
		{rules.Request{Path: "/v1/x", Model: "m", Team: "a"}, "group fit", "first route"},
		{rules.Request{Path: "/d"}, "service caixa", "first route"},
		{rules.Request{Path: "/x", Model: "m", Team: "a"}, "", `no route matches path "/x"`},
		{rules.Request{Path: "/v1/x", Model: "n", Team: "a"}, "", `matches model "n"`},
		{rules.Request{Path: "/v1/x", Model: "m", Team: "b"}, "", `matches team "b"`},
	} {
		res := ExplainRule(set, c.req)
		require.Equal(t, c.target, res.Target)
		require.Contains(t, res.Reason, c.reason)
	}
	require.Contains(t, ExplainRule(nil, rules.Request{}).Reason, "no rules")
}

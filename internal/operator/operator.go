// Package operator is the service that fennelctl calls on any node: rules, status,
// explanations and the outage ledger. It holds no state of its own; the daemon
// hands it the parts that do, and serves it on the node's control address.
package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/rulestore"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

// RulesAdmin reads and changes the rules; it is a *rulestore.Holder.
type RulesAdmin interface {
	Apply(ctx context.Context, req rulestore.ApplyRequest) (rulestore.ApplyResult, error)
	Get(ctx context.Context, revision int64) (rulestore.File, error)
	History(ctx context.Context, limit int) ([]rulestore.Version, error)
}

// NodeRevision is the rules revision in force on one node, as last heard.
type NodeRevision struct {
	Node     cluster.NodeID
	Zone     cluster.ZoneID
	Revision int64
	HeardAgo time.Duration
	// Heard is false for a node that should be there and is silent.
	Heard bool
}

// NodeSource knows the nodes of the whole system, this one included.
type NodeSource interface {
	NodeRevisions() []NodeRevision
}

// StatusSource tells what the node knows of the system.
type StatusSource interface {
	Status(ctx context.Context) (*wirepb.StatusResponse, error)
}

// Explainer says which rule and replica a request would take, and why.
type Explainer interface {
	Explain(ctx context.Context, req rules.Request) (*wirepb.ExplainResponse, error)
}

// OutageSource reads the outage ledger; an empty zone is all zones.
type OutageSource interface {
	Outages(ctx context.Context, from, to time.Time, zone cluster.ZoneID) (*wirepb.OutagesResponse, error)
}

// Dependencies are what the service is put together from. A nil part answers its calls
// with CodeUnimplemented.
type Dependencies struct {
	Rules   RulesAdmin
	Nodes   NodeSource
	Status  StatusSource
	Explain Explainer
	Outages OutageSource
}

// Service implements the operators' service.
type Service struct {
	parts Dependencies
}

var _ wirepbconnect.OperatorServiceHandler = (*Service)(nil)

// New returns a Service over the parts.
func New(parts Dependencies) *Service { return &Service{parts: parts} }

func missing(what string) error {
	return connect.NewError(connect.CodeUnimplemented, &UnsupportedError{Feature: what})
}

// UnsupportedError says that the node does not serve a part of the operators' service.
type UnsupportedError struct {
	Feature string
}

// Error implements error.
func (e *UnsupportedError) Error() string { return "this node does not serve " + e.Feature }

// GetRules returns a revision of the rules file.
func (s *Service) GetRules(ctx context.Context, req *connect.Request[wirepb.GetRulesRequest]) (*connect.Response[wirepb.GetRulesResponse], error) {
	if s.parts.Rules == nil {
		return nil, missing("rules")
	}
	file, err := s.parts.Rules.Get(ctx, req.Msg.GetRevision())
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&wirepb.GetRulesResponse{Revision: file.Revision, Text: file.Text, FromMemory: file.FromMemory}), nil
}

// ApplyRules accepts a file. A lost race is an answer, not an error, since it
// carries the file that won.
func (s *Service) ApplyRules(ctx context.Context, req *connect.Request[wirepb.ApplyRulesRequest]) (*connect.Response[wirepb.ApplyRulesResponse], error) {
	if s.parts.Rules == nil {
		return nil, missing("rules")
	}
	res, err := s.parts.Rules.Apply(ctx, rulestore.ApplyRequest{
		BaseRevision: req.Msg.GetBaseRevision(),
		Text:         req.Msg.GetText(),
		Author:       req.Msg.GetAuthor(),
		WriteID:      req.Msg.GetWriteId(),
	})
	if conflict, ok := errors.Into[*rulestore.ConflictError](err); ok {
		return connect.NewResponse(&wirepb.ApplyRulesResponse{
			Conflict:        true,
			CurrentRevision: conflict.Revision,
			CurrentText:     conflict.Text,
			CurrentAuthor:   conflict.Author,
		}), nil
	}
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&wirepb.ApplyRulesResponse{Revision: res.Revision}), nil
}

// RulesHistory lists accepted changes, newest first.
func (s *Service) RulesHistory(ctx context.Context, req *connect.Request[wirepb.RulesHistoryRequest]) (*connect.Response[wirepb.RulesHistoryResponse], error) {
	if s.parts.Rules == nil {
		return nil, missing("rules")
	}
	versions, err := s.parts.Rules.History(ctx, int(req.Msg.GetLimit()))
	if err != nil {
		return nil, toConnect(err)
	}
	res := &wirepb.RulesHistoryResponse{}
	for _, v := range versions {
		res.Versions = append(res.Versions, &wirepb.RulesVersion{
			Revision:     v.Revision,
			Author:       v.Author,
			UnixMs:       v.At.UnixMilli(),
			LinesAdded:   int32(v.LinesAdded),
			LinesRemoved: int32(v.LinesRemoved),
		})
	}
	return connect.NewResponse(res), nil
}

// RulesInForce counts the nodes that have the revision, or a later one, in force.
// A node that isn't heard counts among the nodes and not among those in force.
func (s *Service) RulesInForce(_ context.Context, req *connect.Request[wirepb.RulesInForceRequest]) (*connect.Response[wirepb.RulesInForceResponse], error) {
	if s.parts.Nodes == nil {
		return nil, missing("the list of nodes")
	}
	res := &wirepb.RulesInForceResponse{}
	for _, n := range s.parts.Nodes.NodeRevisions() {
		res.Nodes++
		if n.Heard && n.Revision >= req.Msg.GetRevision() {
			res.InForce++
		}
		res.Detail = append(res.Detail, &wirepb.NodeRules{
			Node:       string(n.Node),
			Zone:       string(n.Zone),
			Revision:   n.Revision,
			HeardAgoMs: n.HeardAgo.Milliseconds(),
			Heard:      n.Heard,
		})
	}
	return connect.NewResponse(res), nil
}

// Status tells what the node knows of the system.
func (s *Service) Status(ctx context.Context, _ *connect.Request[wirepb.StatusRequest]) (*connect.Response[wirepb.StatusResponse], error) {
	if s.parts.Status == nil {
		return nil, missing("its status")
	}
	res, err := s.parts.Status.Status(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(res), nil
}

// Explain says which rule and replica a request would take.
func (s *Service) Explain(ctx context.Context, req *connect.Request[wirepb.ExplainRequest]) (*connect.Response[wirepb.ExplainResponse], error) {
	if s.parts.Explain == nil {
		return nil, missing("explanations")
	}
	res, err := s.parts.Explain.Explain(ctx, rules.Request{
		Path:  req.Msg.GetPath(),
		Model: req.Msg.GetModel(),
		Team:  cluster.TeamID(req.Msg.GetTeam()),
	})
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(res), nil
}

// Outages reads the outage ledger.
func (s *Service) Outages(ctx context.Context, req *connect.Request[wirepb.OutagesRequest]) (*connect.Response[wirepb.OutagesResponse], error) {
	if s.parts.Outages == nil {
		return nil, missing("the outage ledger")
	}
	from, to := time.UnixMilli(req.Msg.GetFromUnixMs()), time.UnixMilli(req.Msg.GetToUnixMs())
	resp, err := s.parts.Outages.Outages(ctx, from, to, cluster.ZoneID(req.Msg.GetZone()))
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(resp), nil
}

// toConnect gives a failure the code that tells fennelctl what it may do next:
// Unavailable means that nothing was changed, Unknown that it may have been.
func toConnect(err error) error {
	return connect.NewError(codeOf(err), err)
}

func codeOf(err error) connect.Code {
	var (
		lines    rules.Errors
		size     *rules.SizeError
		request  *rulestore.RequestError
		revision *rulestore.RevisionError
		unknown  *rulestore.OutcomeUnknownError
		behind   *rulestore.StoreBehindError
		failure  *store.Error
		ready    *fennelerr.Error
	)
	switch {
	case errors.As(err, &lines), errors.As(err, &size), errors.As(err, &request):
		return connect.CodeInvalidArgument
	case errors.As(err, &behind):
		return connect.CodeFailedPrecondition
	case errors.As(err, &revision):
		return connect.CodeNotFound
	case errors.As(err, &unknown):
		return connect.CodeUnknown
	case errors.As(err, &failure):
		return connect.CodeUnavailable
	case errors.As(err, &ready) && ready.Code == fennelerr.NotReady:
		return connect.CodeUnavailable
	case errors.As(err, &ready) && ready.Code == fennelerr.PermissionDenied:
		return connect.CodePermissionDenied
	case errors.As(err, &ready) && ready.Code == fennelerr.NotFound:
		return connect.CodeNotFound
	case errors.Is(err, context.DeadlineExceeded):
		return connect.CodeDeadlineExceeded
	case errors.Is(err, context.Canceled):
		return connect.CodeCanceled
	default:
		return connect.CodeInternal
	}
}

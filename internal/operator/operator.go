// Package operator implements the service that fennelctl calls on any node: rules, status,
// explanations and the outage ledger. It has no state; the daemon passes in the components
// that do and serves it on the node's control address.
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

// RulesAdmin reads and changes the rules. *rulestore.Holder implements it.
type RulesAdmin interface {
	Apply(ctx context.Context, req rulestore.ApplyRequest) (rulestore.ApplyResult, error)
	Get(ctx context.Context, revision int64) (rulestore.File, error)
	History(ctx context.Context, limit int) ([]rulestore.Version, error)
}

// NodeRevision is the rules revision in force on one node, as last reported by it.
type NodeRevision struct {
	Node     cluster.NodeID
	Zone     cluster.ZoneID
	Revision int64
	HeardAgo time.Duration
	// Heard is false for a node that is expected but not heard from.
	Heard bool
}

// NodeSource lists the nodes of the whole system, including this one.
type NodeSource interface {
	NodeRevisions() []NodeRevision
}

// StatusSource reports the state of the system as this node sees it.
type StatusSource interface {
	Status(ctx context.Context) (*wirepb.StatusResponse, error)
}

// Explainer reports which rule and replica would be used for a request, and why.
type Explainer interface {
	Explain(ctx context.Context, req rules.Request) (*wirepb.ExplainResponse, error)
}

// OutageSource reads the outage ledger; an empty zone selects all zones.
type OutageSource interface {
	Outages(ctx context.Context, from, to time.Time, zone cluster.ZoneID) (*wirepb.OutagesResponse, error)
}

// Dependencies are the components that the service calls. The methods of a nil component
// return CodeUnimplemented.
type Dependencies struct {
	Rules   RulesAdmin
	Nodes   NodeSource
	Status  StatusSource
	Explain Explainer
	Outages OutageSource
}

// Service implements the operators' API.
type Service struct {
	deps Dependencies
}

var _ wirepbconnect.OperatorServiceHandler = (*Service)(nil)

// New returns a Service that uses deps.
func New(deps Dependencies) *Service { return &Service{deps: deps} }

func unsupported(feature string) error {
	return connect.NewError(connect.CodeUnimplemented, &UnsupportedError{Feature: feature})
}

// UnsupportedError reports that the node does not offer a feature of the operators' API.
type UnsupportedError struct {
	Feature string
}

// Error implements error.
func (e *UnsupportedError) Error() string { return "this node does not offer " + e.Feature }

// GetRules returns one revision of the rules file.
func (s *Service) GetRules(ctx context.Context, req *connect.Request[wirepb.GetRulesRequest]) (*connect.Response[wirepb.GetRulesResponse], error) {
	if s.deps.Rules == nil {
		return nil, unsupported("rules")
	}
	file, err := s.deps.Rules.Get(ctx, req.Msg.GetRevision())
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&wirepb.GetRulesResponse{Revision: file.Revision, Text: file.Text, FromMemory: file.FromMemory}), nil
}

// ApplyRules applies a new rules file. A conflict with an earlier change is a response, not
// an error, because it carries the current file.
func (s *Service) ApplyRules(ctx context.Context, req *connect.Request[wirepb.ApplyRulesRequest]) (*connect.Response[wirepb.ApplyRulesResponse], error) {
	if s.deps.Rules == nil {
		return nil, unsupported("rules")
	}
	res, err := s.deps.Rules.Apply(ctx, rulestore.ApplyRequest{
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
	if s.deps.Rules == nil {
		return nil, unsupported("rules")
	}
	versions, err := s.deps.Rules.History(ctx, int(req.Msg.GetLimit()))
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

// RulesInForce counts the nodes on which the revision, or a later one, is in force. A node
// that is not heard from counts as a node but not as one with the revision in force.
func (s *Service) RulesInForce(_ context.Context, req *connect.Request[wirepb.RulesInForceRequest]) (*connect.Response[wirepb.RulesInForceResponse], error) {
	if s.deps.Nodes == nil {
		return nil, unsupported("the list of nodes")
	}
	res := &wirepb.RulesInForceResponse{}
	for _, n := range s.deps.Nodes.NodeRevisions() {
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

// Status reports the state of the system as this node sees it.
func (s *Service) Status(ctx context.Context, _ *connect.Request[wirepb.StatusRequest]) (*connect.Response[wirepb.StatusResponse], error) {
	if s.deps.Status == nil {
		return nil, unsupported("a status report")
	}
	res, err := s.deps.Status.Status(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(res), nil
}

// Explain reports which rule and replica would be used for a request.
func (s *Service) Explain(ctx context.Context, req *connect.Request[wirepb.ExplainRequest]) (*connect.Response[wirepb.ExplainResponse], error) {
	if s.deps.Explain == nil {
		return nil, unsupported("explanations")
	}
	res, err := s.deps.Explain.Explain(ctx, rules.Request{
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
	if s.deps.Outages == nil {
		return nil, unsupported("the outage ledger")
	}
	from, to := time.UnixMilli(req.Msg.GetFromUnixMs()), time.UnixMilli(req.Msg.GetToUnixMs())
	resp, err := s.deps.Outages.Outages(ctx, from, to, cluster.ZoneID(req.Msg.GetZone()))
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(resp), nil
}

// toConnect wraps an error with the code by which fennelctl decides what to do next:
// Unavailable means that nothing was changed, Unknown that something may have been.
func toConnect(err error) error {
	return connect.NewError(codeOf(err), err)
}

func codeOf(err error) connect.Code {
	var (
		invalid  rules.Errors
		size     *rules.SizeError
		request  *rulestore.RequestError
		revision *rulestore.RevisionError
		unknown  *rulestore.OutcomeUnknownError
		behind   *rulestore.StoreBehindError
		storeErr *store.Error
		coded    *fennelerr.Error
	)
	switch {
	case errors.As(err, &invalid), errors.As(err, &size), errors.As(err, &request):
		return connect.CodeInvalidArgument
	case errors.As(err, &behind):
		return connect.CodeFailedPrecondition
	case errors.As(err, &revision):
		return connect.CodeNotFound
	case errors.As(err, &unknown):
		return connect.CodeUnknown
	case errors.As(err, &storeErr):
		return connect.CodeUnavailable
	case errors.As(err, &coded) && coded.Code == fennelerr.NotReady:
		return connect.CodeUnavailable
	case errors.As(err, &coded) && coded.Code == fennelerr.PermissionDenied:
		return connect.CodePermissionDenied
	case errors.As(err, &coded) && coded.Code == fennelerr.NotFound:
		return connect.CodeNotFound
	case errors.Is(err, context.DeadlineExceeded):
		return connect.CodeDeadlineExceeded
	case errors.Is(err, context.Canceled):
		return connect.CodeCanceled
	default:
		return connect.CodeInternal
	}
}

// Package peer implements the RPCs between fenneld nodes, over connect-go. They transfer
// data that is too large for datagrams: the rules in force, the newest grouping of a zone
// and the VM list. The daemon provides the data sources, mounts the handler and chooses
// which peers to call.
package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

// RulesSource returns the rules in force on this node, as a delta from haveRevision if
// possible.
type RulesSource interface {
	FetchRules(ctx context.Context, haveRevision int64) (*wirepb.FetchRulesResponse, error)
}

// GroupingSource returns the newest committed grouping of a zone that this node knows.
type GroupingSource interface {
	FetchGrouping(ctx context.Context, zone cluster.ZoneID, haveRevision int64) (*wirepb.FetchGroupingResponse, error)
}

// VMSource returns the newest VM list that this node knows.
type VMSource interface {
	FetchVMs(ctx context.Context, haveSum uint64) (*wirepb.FetchVMsResponse, error)
}

// maxRequest is the largest request body accepted, in bytes. Requests only contain names and
// numbers.
const maxRequest = 4 << 10

// NewHandler returns the path and handler of the PeerService, to be mounted on the node's
// control listener.
func NewHandler(rules RulesSource, groupings GroupingSource, vms VMSource) (string, http.Handler) {
	s := &server{rules: rules, groupings: groupings, vms: vms}
	return wirepbconnect.NewPeerServiceHandler(s, connect.WithReadMaxBytes(maxRequest))
}

type server struct {
	rules     RulesSource
	groupings GroupingSource
	vms       VMSource
}

// FetchRules implements wirepbconnect.PeerServiceHandler.
func (s *server) FetchRules(ctx context.Context, req *connect.Request[wirepb.FetchRulesRequest]) (*connect.Response[wirepb.FetchRulesResponse], error) {
	resp, err := s.rules.FetchRules(ctx, req.Msg.HaveRevision)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(resp), nil
}

// FetchGrouping implements wirepbconnect.PeerServiceHandler.
func (s *server) FetchGrouping(ctx context.Context, req *connect.Request[wirepb.FetchGroupingRequest]) (*connect.Response[wirepb.FetchGroupingResponse], error) {
	if req.Msg.Zone == "" {
		return nil, toConnect(fennelerr.New(fennelerr.InvalidRequest, "zone is required").WithField("zone"))
	}
	resp, err := s.groupings.FetchGrouping(ctx, cluster.ZoneID(req.Msg.Zone), req.Msg.HaveRevision)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(resp), nil
}

// FetchVMs implements wirepbconnect.PeerServiceHandler.
func (s *server) FetchVMs(ctx context.Context, req *connect.Request[wirepb.FetchVMsRequest]) (*connect.Response[wirepb.FetchVMsResponse], error) {
	resp, err := s.vms.FetchVMs(ctx, req.Msg.HaveSum)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(resp), nil
}

// connectCodes maps the error codes that callers distinguish; all others become CodeInternal.
var connectCodes = map[fennelerr.Code]connect.Code{
	fennelerr.InvalidRequest: connect.CodeInvalidArgument,
	fennelerr.NotFound:       connect.CodeNotFound,
	fennelerr.NotReady:       connect.CodeUnavailable,
	fennelerr.Timeout:        connect.CodeDeadlineExceeded,
	fennelerr.Canceled:       connect.CodeCanceled,
}

// toConnect converts err to a connect error. The caller's deadline also applies on this side
// and may expire here first. Returned as CodeInternal, that would look to the caller as if
// the peer were not ready.
func toConnect(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	code, known := connectCodes[fennelerr.CodeOf(err)]
	if !known {
		code = connect.CodeInternal
	}
	return connect.NewError(code, err)
}

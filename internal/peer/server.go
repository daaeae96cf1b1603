// Package peer is what one fenneld asks of another by connect-go: the rules in
// force and the newest grouping of a zone, which are too large for datagrams.
// Both sides take plain interfaces; the daemon mounts the server and decides
// whom to ask.
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

// RulesSource answers with the rules in force here, as a delta when it can.
type RulesSource interface {
	FetchRules(ctx context.Context, haveRevision int64) (*wirepb.FetchRulesResponse, error)
}

// GroupingSource answers with the newest committed grouping known here of a zone.
type GroupingSource interface {
	FetchGrouping(ctx context.Context, zone cluster.ZoneID, have int64) (*wirepb.FetchGroupingResponse, error)
}

// VMSource answers with the newest VM list known here.
type VMSource interface {
	FetchVMs(ctx context.Context, haveSum uint64) (*wirepb.FetchVMsResponse, error)
}

// maxRequest bounds a request's body, in bytes; requests only carry a name or a number.
const maxRequest = 4 << 10

// NewHandler returns the path and handler of the PeerService, to be mounted on
// the node's inner listener.
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
		return nil, toConnect(fennelerr.New(fennelerr.InvalidRequest, "no zone given").WithField("zone"))
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

// connectCodes maps the codes that peers act on; the others are CodeInternal.
var connectCodes = map[fennelerr.Code]connect.Code{
	fennelerr.InvalidRequest: connect.CodeInvalidArgument,
	fennelerr.NotFound:       connect.CodeNotFound,
	fennelerr.NotReady:       connect.CodeUnavailable,
	fennelerr.Timeout:        connect.CodeDeadlineExceeded,
	fennelerr.Canceled:       connect.CodeCanceled,
}

// toConnect gives an error the code that the caller acts on. The caller's own deadline
// ends the work here, too, sometimes before it ends the call there: told as an internal
// error, it would look as if the peer were not ready.
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

package peer

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
	"github.com/fennelcourse/fennelcourse/internal/wire"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

// DefaultTimeout is the default timeout of one call to a peer.
const DefaultTimeout = 2 * time.Second

// maxResponse is the largest response that is read, in bytes: twice the platform's largest value.
const maxResponse = 2 << 20

// ClientOptions configures a Client.
type ClientOptions struct {
	// TLS holds the node's certificate for mutual TLS. It is required unless Plaintext is set.
	TLS *wire.TLSConfig
	// ServerName is the name expected in peers' certificates; empty means their IP address.
	ServerName string
	// Plaintext allows calls without TLS if TLS is nil.
	Plaintext bool
	// Timeout limits each call; zero means DefaultTimeout.
	Timeout time.Duration
}

// Client calls the PeerService of other nodes. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	scheme  string
	timeout time.Duration
}

// NewClient returns a client, or an InvalidRequest error when neither TLS nor Plain is set.
func NewClient(opts ClientOptions) (*Client, error) {
	c := &Client{timeout: opts.Timeout}
	if c.timeout <= 0 {
		c.timeout = DefaultTimeout
	}
	switch {
	case opts.TLS != nil:
		c.scheme = "https://"
		c.http = &http.Client{Transport: opts.TLS.HTTPTransport(opts.ServerName)}
	case opts.Plaintext:
		c.scheme = "http://"
		c.http = &http.Client{Transport: httpbounds.New(&http.Transport{IdleConnTimeout: time.Minute})}
	default:
		return nil, fennelerr.New(fennelerr.InvalidRequest, "calls to peers require TLS unless plaintext is allowed").WithField("peer.tls")
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// FetchRules requests the rules in force from the peer at addr, an ip:port.
func (c *Client) FetchRules(ctx context.Context, addr string, haveRevision int64) (*wirepb.FetchRulesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req := connect.NewRequest(&wirepb.FetchRulesRequest{HaveRevision: haveRevision})
	resp, err := c.service(addr).FetchRules(ctx, req)
	if err != nil {
		return nil, fromConnect(err, "peer.fetch_rules", addr)
	}
	return resp.Msg, nil
}

// FetchGrouping requests the newest grouping of a zone that the peer at addr, an ip:port,
// knows. The response has no grouping if the peer has none newer than haveRevision.
func (c *Client) FetchGrouping(ctx context.Context, addr string, zone cluster.ZoneID, haveRevision int64) (*wirepb.FetchGroupingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req := connect.NewRequest(&wirepb.FetchGroupingRequest{Zone: string(zone), HaveRevision: haveRevision})
	resp, err := c.service(addr).FetchGrouping(ctx, req)
	if err != nil {
		return nil, fromConnect(err, "peer.fetch_grouping", addr)
	}
	return resp.Msg, nil
}

// FetchVMs requests the newest VM list that the peer at addr, an ip:port, knows. The
// response has no VMs if the checksum of the peer's list equals haveSum.
func (c *Client) FetchVMs(ctx context.Context, addr string, haveSum uint64) (*wirepb.FetchVMsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.service(addr).FetchVMs(ctx, connect.NewRequest(&wirepb.FetchVMsRequest{HaveSum: haveSum}))
	if err != nil {
		return nil, fromConnect(err, "peer.fetch_vms", addr)
	}
	return resp.Msg, nil
}

// ReceivesHeartbeatsFrom reports whether the peer at addr, an ip:port, currently receives
// the node's heartbeats.
func (c *Client) ReceivesHeartbeatsFrom(ctx context.Context, addr string, node cluster.NodeID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	operator := wirepbconnect.NewOperatorServiceClient(c.http, c.scheme+addr, connect.WithReadMaxBytes(maxResponse))
	resp, err := operator.RulesInForce(ctx, connect.NewRequest(&wirepb.RulesInForceRequest{}))
	if err != nil {
		return false, fromConnect(err, "peer.rules_in_force", addr)
	}
	receives := func(n *wirepb.NodeRules) bool { return n.GetNode() == string(node) && n.GetHeard() }
	return slices.ContainsFunc(resp.Msg.GetDetail(), receives), nil
}

func (c *Client) service(addr string) wirepbconnect.PeerServiceClient {
	return wirepbconnect.NewPeerServiceClient(c.http, c.scheme+addr, connect.WithReadMaxBytes(maxResponse))
}

// fennelCodes is the inverse of connectCodes, without NotReady. Any other connect code means
// that the peer is unreachable or failed, and maps to NotReady.
var fennelCodes = map[connect.Code]fennelerr.Code{
	connect.CodeInvalidArgument:  fennelerr.InvalidRequest,
	connect.CodeNotFound:         fennelerr.NotFound,
	connect.CodeDeadlineExceeded: fennelerr.Timeout,
	connect.CodeCanceled:         fennelerr.Canceled,
}

func fromConnect(err error, op, addr string) error {
	code, known := fennelCodes[connect.CodeOf(err)]
	if !known {
		code = fennelerr.NotReady
	}
	return fennelerr.Wrap(err, code, "peer %s", addr).WithOp(op)
}

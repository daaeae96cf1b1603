package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/httpbounds"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

const (
	callTimeout = 15 * time.Second
	httpScheme  = "http://"
	httpsScheme = "https://"
)

// nodes holds a client for each given address, in order.
type nodes []node

type node struct {
	addr   string
	client wirepbconnect.OperatorServiceClient
}

// newClients creates the clients. Connections are opened by the first call.
func (a *app) newClients() (nodes, error) {
	servers := a.servers
	if len(servers) == 0 {
		servers = []string{os.Getenv(envServer)}
	}
	var addrs []string
	for _, s := range servers {
		for addr := range strings.SplitSeq(s, ",") {
			if addr = strings.TrimSpace(addr); addr != "" {
				addrs = append(addrs, addr)
			}
		}
	}
	if len(addrs) == 0 {
		return nil, usageError("--server: want the control address of a node, such as 10.1.0.4:8444 (or set FENNELCTL_SERVER)")
	}
	config, err := a.tlsConfig()
	if err != nil {
		return nil, err
	}
	httpClient := &http.Client{Transport: httpbounds.New(&http.Transport{TLSClientConfig: config})}
	var all nodes
	for _, addr := range addrs {
		url := addr
		if !strings.HasPrefix(addr, httpScheme) && !strings.HasPrefix(addr, httpsScheme) {
			url = httpsScheme + addr
		}
		all = append(all, node{addr: addr, client: wirepbconnect.NewOperatorServiceClient(httpClient, strings.TrimSuffix(url, "/"))})
	}
	return all, nil
}

func (a *app) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if a.ca != "" {
		pem, err := os.ReadFile(a.ca)
		if err != nil {
			return nil, usageError("--ca: %v", err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(pem) {
			return nil, usageError("--ca: found no certificate in %s, want a PEM file", a.ca)
		}
	}
	if (a.cert == "") != (a.key == "") {
		return nil, usageError("--cert and --key: want both or neither")
	}
	if a.cert != "" {
		pair, err := tls.LoadX509KeyPair(a.cert, a.key)
		if err != nil {
			return nil, usageError("--cert, --key: %v", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// method is a method of the operators' API.
type method[Req, Res any] func(wirepbconnect.OperatorServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// call tries the nodes in turn until one answers. All calls are safe to repeat: those that
// change something carry a write id.
func call[Req, Res any](ctx context.Context, all nodes, m method[Req, Res], req *Req) (*Res, error) {
	lastErr := &callError{}
	for _, n := range all {
		res, err := callOne(ctx, n, m, req)
		if err == nil {
			return res, nil
		}
		lastErr = &callError{addr: n.addr, err: err, outcomeUnknown: lastErr.outcomeUnknown || !definitelyNotExecuted(err)}
		if !retryable(err) || ctx.Err() != nil {
			break
		}
	}
	return nil, lastErr
}

func callOne[Req, Res any](ctx context.Context, n node, m method[Req, Res], req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := m(n.client, ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// callError reports a call that failed on all nodes tried. It has the last node's address
// and error.
type callError struct {
	addr string
	err  error
	// outcomeUnknown is true if any of the nodes may have executed the call.
	outcomeUnknown bool
}

func (e *callError) Error() string { return e.addr + ": " + e.err.Error() + e.hint() }

// hint suggests a fix for wrong connection flags; empty if the error is not recognized.
func (e *callError) hint() string {
	text, code := e.err.Error(), connect.CodeOf(e.err)
	// An HTTP status without a Connect error: another kind of server listens there.
	notOperatorAPI := !connect.IsWireError(e.err) && (code == connect.CodeUnauthenticated || code == connect.CodeUnimplemented || text == code.String())
	switch {
	case strings.Contains(text, "server gave HTTP response to HTTPS client"):
		return "; the node serves without TLS: give http://" + strings.TrimPrefix(e.addr, httpsScheme)
	case strings.Contains(text, "certificate required"), strings.Contains(text, "bad certificate"):
		return "; the node requires an operator's certificate signed by its CA: give --cert and --key"
	case strings.Contains(text, "certificate signed by unknown authority"):
		return "; give --ca with the authority that signed the nodes' certificates"
	case notOperatorAPI:
		return "; the operators' API is not served at this address: is it the control address (listen.control)?"
	}
	return ""
}

func (e *callError) Unwrap() error { return e.err }

// definitelyNotExecuted reports whether the node was not reached or itself reported that it
// changed nothing. A connection that broke during a call shows neither.
func definitelyNotExecuted(err error) bool {
	if connect.IsWireError(err) {
		return connect.CodeOf(err) != connect.CodeUnknown && connect.CodeOf(err) != connect.CodeInternal
	}
	opErr, ok := errors.Into[*net.OpError](err)
	return ok && opErr.Op == "dial"
}

// retryable reports whether the call may succeed on another node or on another try.
func retryable(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeUnknown, connect.CodeDeadlineExceeded, connect.CodeUnimplemented, connect.CodeInternal:
		return true
	default:
		return false
	}
}

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

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

const (
	callTimeout = 15 * time.Second
	plainScheme = "http://"
	tlsScheme   = "https://"
)

// nodes are the clients of the addresses given, in order.
type nodes []node

type node struct {
	addr   string
	client wirepbconnect.OperatorServiceClient
}

// dial makes the clients; connections are opened by the first call.
func (a *app) dial() (nodes, error) {
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
	httpClient := &http.Client{Transport: &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}}
	var all nodes
	for _, addr := range addrs {
		url := addr
		if !strings.HasPrefix(addr, plainScheme) && !strings.HasPrefix(addr, tlsScheme) {
			url = tlsScheme + addr
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

// method is one call of the operators' service.
type method[Req, Res any] func(wirepbconnect.OperatorServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// call asks the nodes in turn until one answers. All calls may be repeated: those
// that change something carry a write id.
func call[Req, Res any](ctx context.Context, all nodes, m method[Req, Res], req *Req) (*Res, error) {
	last := &callError{}
	for _, n := range all {
		res, err := callOne(ctx, n, m, req)
		if err == nil {
			return res, nil
		}
		last = &callError{addr: n.addr, err: err, unsettled: last.unsettled || !certainlyNotDone(err)}
		if !tryNext(err) || ctx.Err() != nil {
			break
		}
	}
	return nil, last
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

// callError names the node that a call failed on last.
type callError struct {
	addr string
	err  error
	// unsettled is true when some node may have done what was asked.
	unsettled bool
}

func (e *callError) Error() string { return e.addr + ": " + e.err.Error() + e.hint() }

// hint says what most likely mends a wrong --server; empty when nothing is known.
func (e *callError) hint() string {
	text, code := e.err.Error(), connect.CodeOf(e.err)
	// An HTTP status that carries no answer of connect: something else listens there.
	foreign := !connect.IsWireError(e.err) && (code == connect.CodeUnauthenticated || code == connect.CodeUnimplemented || text == code.String())
	switch {
	case strings.Contains(text, "server gave HTTP response to HTTPS client"):
		return "; the node serves without TLS: give http://" + strings.TrimPrefix(e.addr, tlsScheme)
	case strings.Contains(text, "certificate required"), strings.Contains(text, "bad certificate"):
		return "; the node wants an operator's certificate that its CA signed: give --cert and --key"
	case strings.Contains(text, "certificate signed by unknown authority"):
		return "; give --ca with the authority that signed the nodes' certificates"
	case foreign:
		return "; no operators' service is there: is it the control address (listen.control)?"
	}
	return ""
}

func (e *callError) Unwrap() error { return e.err }

// certainlyNotDone reports whether the node was not reached or said itself that it
// changed nothing. A connection that broke in the middle of a call proves nothing.
func certainlyNotDone(err error) bool {
	if connect.IsWireError(err) {
		return connect.CodeOf(err) != connect.CodeUnknown && connect.CodeOf(err) != connect.CodeInternal
	}
	dial, ok := errors.Into[*net.OpError](err)
	return ok && dial.Op == "dial"
}

// tryNext reports whether another node may do better.
func tryNext(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeUnknown, connect.CodeDeadlineExceeded, connect.CodeUnimplemented, connect.CodeInternal:
		return true
	default:
		return false
	}
}

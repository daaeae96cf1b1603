// Package httpbounds keeps HTTP clients from taking for a response what is none, and bounds what a server can
// make them do before and without a response.
package httpbounds

import (
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/fennelcourse/fennelcourse/internal/sockets"
)

// MaxHeaderBytes limits the head of a response, together with the informational responses before it.
// Go's default is 10 MiB, which many connections at once would multiply.
const MaxHeaderBytes = 64 << 10

var (
	rejectedTotal           = metrics.NewCounter("fennel_http_rejected_statuses_total")
	rejectedFieldNamesTotal = metrics.NewCounter("fennel_http_rejected_field_names_total")
)

// Transport is an http.Transport that fails requests whose response has no final status (200 to 599) or has a
// field whose name is no token, and reads of a body that is cut off by a reset or has such a field in its
// trailer. The body of a response that switches protocols would outlast the request's context.
type Transport struct{ *http.Transport }

// New bounds a transport, which must not be used by itself afterwards. A DialTLSContext of the transport has to
// apply sockets.CheckEnd below TLS by itself.
func New(t *http.Transport) *Transport {
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	if t.DialContext == nil {
		t.DialContext = (&net.Dialer{}).DialContext
		t.ForceAttemptHTTP2 = true // http.Transport speaks HTTP/2 by default only with its own dialer
	}
	t.DialContext = sockets.DetectResets(t.DialContext)
	return &Transport{t}
}

// StatusError reports a response without a final status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %03d is not that of a response", e.Status)
}

// FieldNameError reports a response with a field whose name is no token. net/http accepts blanks in a name,
// and ignores the field: a Content-Length that is followed by a blank gives the body no length.
type FieldNameError struct{ Name string }

// Error implements error.
func (e *FieldNameError) Error() string { return fmt.Sprintf("%q is not the name of a field", e.Name) }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()    // closes the connection unless the body is empty
		t.CloseIdleConnections() // closes it in that case
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 { // only chunks have a trailer
		resp.Body = &trailerChecker{ReadCloser: resp.Body, resp: resp, transport: t}
	}
	return resp, nil
}

func checkHead(resp *http.Response) error {
	if !IsFinal(resp.StatusCode) {
		rejectedTotal.Inc()
		return &StatusError{Status: resp.StatusCode}
	}
	return checkFieldNames(resp.Header)
}

func checkFieldNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			rejectedFieldNamesTotal.Inc()
			return &FieldNameError{Name: name}
		}
	}
	return nil
}

// trailerChecker is the body of a response. Its end fails if the trailer has a field whose name is no token.
type trailerChecker struct {
	io.ReadCloser
	resp      *http.Response
	transport *Transport
}

// Read implements io.Reader.
func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if invalid := checkFieldNames(c.resp.Trailer); invalid != nil {
		c.transport.CloseIdleConnections() // the transport keeps a connection whose response has been read to its end
		return n, invalid
	}
	return n, err
}

// IsFinal reports whether a status is that of a response which completes a request. net/http accepts
// any three digits.
func IsFinal(status int) bool { return status >= http.StatusOK && status < 600 }

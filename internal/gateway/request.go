package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/httpserver"
)

// readBody reads a request body of at most Options.MaxBody bytes.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := g.opts.MaxBody
	cancelEnd := httpserver.EndReadWith(g.opts.Uploads, w)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if cancelEnd() {
		return nil, fennelerr.New(fennelerr.NotReady, "the node is stopping").WithRun(fennelerr.NotRun).WithRetryAfter(time.Second)
	}
	if _, tooLarge := errors.Into[*http.MaxBytesError](err); tooLarge {
		return nil, fennelerr.New(fennelerr.TooLarge, "the body is larger than %d bytes", limit).WithRun(fennelerr.NotRun)
	}
	if err != nil {
		return nil, fennelerr.Wrap(err, fennelerr.InvalidRequest, "reading the request body failed").WithRun(fennelerr.NotRun)
	}
	return body, nil
}

// firstTokenDeadline returns when the caller stops waiting for the first token. fallback is
// the time from now if the caller sets no limit.
func firstTokenDeadline(r *http.Request, now time.Time, fallback time.Duration) (time.Time, error) {
	text := r.Header.Get(HeaderTimeoutMs)
	if text == "" {
		return now.Add(fallback), nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms < 1 {
		return time.Time{}, fennelerr.Invalid(HeaderTimeoutMs, "%q is not a whole number of milliseconds above zero", text)
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

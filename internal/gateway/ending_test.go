package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/engine"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// lastLine returns the last line.
func (l *lockedBuffer) lastLine() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(l.buf.String()), "\n")
	return lines[len(lines)-1]
}

// goneCaller is a ResponseWriter whose caller takes nothing.
type goneCaller struct{ *httptest.ResponseRecorder }

func (goneCaller) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// panickingServices is a Services that fails.
type panickingServices struct{}

func (panickingServices) ServiceAddrs(cluster.Service) []string { panic("no list") }

// Guards against calls that end without a whole answer and without a line that names them.
func TestEveryCallWithoutAWholeAnswerIsLogged(t *testing.T) {
	const note, deposit = "/notes/1", "/deposits/1"
	frozen := func(b *fixture) { b.engines[0].SetFaults(standinengine.Faults{Freeze: true}) }
	half := func(b *fixture) {
		b.addService(func(w http.ResponseWriter) { answerHalf(w); panic(http.ErrAbortHandler) })
	}
	slow := func(b *fixture) { b.addService(func(http.ResponseWriter) { time.Sleep(600 * time.Millisecond) }) }
	whole := func(b *fixture) { b.addService(func(w http.ResponseWriter) { answerHalf(w) }) }
	for name, c := range map[string]struct {
		setUp              func(*fixture)
		method, path, body string
		disconnect, gone   bool
		want               []string
	}{
		"refused":                {nil, "POST", engine.ChatPath, "{", false, false, []string{"msg=refuse", "code=invalid_request"}},
		"no replica":             {func(b *fixture) { b.router.choices = nil }, "POST", engine.ChatPath, chatBody, false, false, []string{"msg=refuse", "code=no_whole_replica", "held=", "left="}},
		"silent replica":         {frozen, "POST", engine.ChatPath, chatBody, false, false, []string{"msg=refuse", "code=timeout", "left=-", "silent=", "silent_replica=r0"}},
		"replica lost":           {func(b *fixture) { b.engines[0].SetFaults(standinengine.Faults{AbortAfter: 3}) }, "POST", engine.ChatPath, chatStreamBody, false, false, []string{`msg="answer aborted"`, "code=backend_failed", "held="}},
		"caller gone":            {frozen, "POST", engine.ChatPath, chatBody, true, false, []string{`msg="caller gone"`, "left=", "silent=", "silent_replica=r0"}},
		"silent service":         {slow, "GET", note, "", false, false, []string{"msg=refuse", "code=timeout", "left=-", "silent=", "silent_addr=127"}},
		"service, caller gone":   {slow, "GET", note, "", true, false, []string{`msg="caller gone"`, "left=", "silent=", "silent_addr=127"}},
		"service breaks off":     {half, "GET", note, "", false, false, []string{`msg="answer aborted"`, "code=backend_failed", "held=", "left="}},
		"service, nobody reads":  {whole, "GET", note, "", false, true, []string{`msg="caller gone"`, "held=", "left="}},
		"recorded, nobody reads": {whole, "POST", deposit, "x", false, true, []string{`msg="caller gone"`, "held=", "left="}},
		"panic":                  {func(b *fixture) { b.opts.Services = panickingServices{} }, "GET", note, "", false, false, []string{`msg=panic`, `err="no list"`}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log := &lockedBuffer{}
			b := newFixture(t, 1, standinengine.Options{TokenInterval: time.Millisecond}, nil)
			b.opts.Log, b.opts.CallTimeout, b.opts.AnswerBuffer, b.opts.MaxAttempts = slog.New(slog.NewTextHandler(log, nil)), 400*time.Millisecond, 1, 2
			if c.setUp != nil {
				c.setUp(b)
			}
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			if c.disconnect {
				time.AfterFunc(300*time.Millisecond, disconnect)
			}
			req := httptest.NewRequestWithContext(ctx, c.method, c.path, strings.NewReader(c.body))
			req.Header.Set("Authorization", "Bearer "+testToken)
			req.Header.Set(HeaderTimeoutMs, "400")
			req.Header.Set(HeaderIdempotencyKey, "k1")
			var w http.ResponseWriter = httptest.NewRecorder()
			if c.gone {
				w = goneCaller{httptest.NewRecorder()}
			}
			g := New(b.opts)
			serveRecovered(g, w, req)
			last := log.lastLine()
			for _, part := range append(c.want, "request=req-1") {
				require.Contains(t, last, part)
			}
			g.Wait()
		})
	}
}

// serveRecovered serves a request as net/http does, which recovers panics.
func serveRecovered(h http.Handler, w http.ResponseWriter, r *http.Request) {
	defer func() { _ = recover() }()
	h.ServeHTTP(w, r)
}

func answerHalf(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
}

// addService starts a plain service that answers every call with respond.
func (b *fixture) addService(respond func(http.ResponseWriter)) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { respond(w) }))
	b.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	b.opts.Services = fakeServices{strings.TrimPrefix(srv.URL, "http://")}
}

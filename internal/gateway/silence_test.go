package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	standinengine "github.com/fennelcourse/fennelcourse/internal/standin/engine"
)

// unansweredProbe is a Prober that no replica answers. It calls asked on the first query.
type unansweredProbe struct {
	Prober
	asked func()
	once  sync.Once
}

func (p *unansweredProbe) State(ctx context.Context, _ string) (engine.State, error) {
	p.once.Do(p.asked)
	<-ctx.Done()
	return engine.State{}, ctx.Err()
}

// Guards against a crash on the record of a request that ended while its replica was queried.
func TestRequestEndedDuringProbeIsNoCrash(t *testing.T) {
	for name, c := range map[string]struct {
		timeoutMs  string
		disconnect bool
		status     int
	}{
		"caller gone":          {"60000", true, http.StatusOK},
		"first token deadline": {"200", false, fennelerr.Timeout.HTTPStatus()},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			b := newFixture(t, 1, standinengine.Options{}, func(b *fixture) {
				b.opts.ProbeTimeout, b.opts.Streamer = time.Hour, engine.NewStreamer(b.opts.Pools, 50*time.Millisecond)
				b.opts.Prober = &unansweredProbe{Prober: b.opts.Prober, asked: func() {
					if c.disconnect {
						disconnect()
					}
				}}
			})
			b.engines[0].SetFaults(standinengine.Faults{Freeze: true})
			req := httptest.NewRequestWithContext(ctx, http.MethodPost, engine.ChatPath, strings.NewReader(chatBody))
			req.Header.Set("Authorization", "Bearer "+testToken)
			req.Header.Set(HeaderTimeoutMs, c.timeoutMs)
			answer := httptest.NewRecorder()
			b.gateway.ServeHTTP(answer, req)
			require.Equal(t, c.status, answer.Code, answer.Body)
			require.Zero(t, b.quarantine.crashes.Load())
			require.Len(t, b.router.ended, 1)
			require.True(t, b.router.ended[0].Canceled)
		})
	}
}

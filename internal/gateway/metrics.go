package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

var (
	answersComplete   = metrics.NewCounter(`fennel_gateway_answers_total{end="whole"}`)
	answersAborted    = metrics.NewCounter(`fennel_gateway_answers_total{end="aborted"}`)
	callersGone       = metrics.NewCounter(`fennel_gateway_answers_total{end="caller_gone"}`)
	resumesSame       = metrics.NewCounter(`fennel_gateway_resumes_total{on="same_replica"}`)
	resumesOther      = metrics.NewCounter(`fennel_gateway_resumes_total{on="other_replica"}`)
	restarts          = metrics.NewCounter(`fennel_gateway_restarts_total`)
	mismatches        = metrics.NewCounter(`fennel_gateway_mismatches_total`)
	silentStreams     = metrics.NewCounter(`fennel_gateway_silent_total`)
	replicaCrashes    = metrics.NewCounter(`fennel_gateway_replica_crashes_total`)
	claimReplays      = metrics.NewCounter(`fennel_gateway_claim_replays_total`)
	firstTokenSeconds = metrics.NewHistogram(`fennel_gateway_first_token_seconds`)
)

func countRefusal(e *fennelerr.Error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_gateway_refusals_total{code=%q,run=%q}`, e.Code, e.Run)).Inc()
}

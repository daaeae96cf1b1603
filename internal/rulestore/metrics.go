package rulestore

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countStoreCall counts a call to the platform's store by what it was for.
func countStoreCall(purpose string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_rulestore_store_calls_total{purpose=%q}`, purpose)).Inc()
}

// countAdopted counts a revision that came into force and shows it.
func countAdopted(source string, revision int64) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_rulestore_adopted_total{source=%q}`, source)).Inc()
	metrics.GetOrCreateGauge("fennel_rulestore_revision", nil).Set(float64(revision))
}

// countFetch counts a fetch from a peer by how it ended: current, delta, text or failed.
func countFetch(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_rulestore_fetches_total{kind=%q}`, kind)).Inc()
}

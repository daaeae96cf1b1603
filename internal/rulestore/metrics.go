package rulestore

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countStoreCall counts a call to the platform's store by purpose.
func countStoreCall(purpose string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_rulestore_store_calls_total{purpose=%q}`, purpose)).Inc()
}

// countAdopted counts a revision that came into force, by source, and sets the
// gauge of the revision in force.
func countAdopted(source string, revision int64) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_rulestore_adopted_total{source=%q}`, source)).Inc()
	metrics.GetOrCreateGauge("fennel_rulestore_revision", nil).Set(float64(revision))
}

// countFetch counts a fetch from a peer by result: current, delta, text or failed.
func countFetch(kind string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`fennel_rulestore_fetches_total{kind=%q}`, kind)).Inc()
}

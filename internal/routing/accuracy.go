package routing

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Bounds of the correction of a model's predictions: false engine figures are corrected, a
// disturbance that delays everything is not taken for them.
const (
	minCorrection = 0.5
	maxCorrection = 2
	// maxObservedRatio bounds a single observation.
	maxObservedRatio = 4
	// correctionWeight is the weight of an observation in the moving average.
	correctionWeight = 0.02
)

// accuracy compares the predicted first pieces of a model with those observed.
type accuracy struct {
	// late and early hold the errors of first pieces after and before the predicted time.
	late, early *metrics.Histogram

	mu     sync.Mutex
	factor float64
}

func newAccuracy(group cluster.GroupName) *accuracy {
	histogram := func(sign string) *metrics.Histogram {
		return metrics.GetOrCreateHistogram(fmt.Sprintf(`fennel_routing_prediction_error_seconds{group=%q,sign=%q}`, string(group), sign))
	}
	return &accuracy{factor: 1, late: histogram("late"), early: histogram("early")}
}

// correction returns the factor by which predictions from the engine figures are multiplied.
func (a *accuracy) correction() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.factor
}

// record records a first piece. predicted includes the correction at that time.
func (a *accuracy) record(predicted, took time.Duration) {
	if a == nil {
		return
	}
	if took >= predicted {
		a.late.Update((took - predicted).Seconds())
	} else {
		a.early.Update((predicted - took).Seconds())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	ratio := min(max(float64(took)/float64(predicted), 1./maxObservedRatio), maxObservedRatio)
	a.factor = min(max(a.factor*(1+correctionWeight*(ratio-1)), minCorrection), maxCorrection)
}

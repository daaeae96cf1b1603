package rules

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// ZoneDelay is the one-way delay between two zones, the same in both directions.
type ZoneDelay struct {
	A, B  cluster.ZoneID
	Delay time.Duration
}

// ZoneDelays lists the known delays between zones.
type ZoneDelays []ZoneDelay

// Between returns the one-way delay between two zones, and false if it is not known.
func (d ZoneDelays) Between(a, b cluster.ZoneID) (time.Duration, bool) {
	for _, pair := range d {
		if pair.A == a && pair.B == b || pair.A == b && pair.B == a {
			return pair.Delay, true
		}
	}
	return 0, false
}

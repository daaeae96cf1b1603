package entry

import (
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// setEngineFigures sets the published engine figures of each replica of a model that has them.
func setEngineFigures(entries []routing.Entry, set *rules.Set) {
	for i := range entries {
		at := slices.IndexFunc(set.Groups, func(g rules.Group) bool { return g.Name == entries[i].Replica.Group })
		if at >= 0 && set.Groups[at].Engine.IsSet() {
			entries[i].Engine = &set.Groups[at].Engine
		}
	}
}

// zoneDelay returns the one-way delay to a zone, and false if the configuration names none.
func (n *Core) zoneDelay(zone cluster.ZoneID) (time.Duration, bool) {
	set := n.rules.Load()
	if set == nil {
		return 0, false
	}
	return set.Delays.Between(n.cfg.Zone, zone)
}

package entry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// evacuationsChanged adopts the changes of the evacuated zones: nothing may be sent to their
// servers. The operator's entry of an evacuation is named by its zone.
func (n *Core) evacuationsChanged(c fleet.Change) {
	if len(c.Written)+len(c.Removed) == 0 {
		return
	}
	zoneOf := func(key string) cluster.ZoneID {
		return cluster.ZoneID(strings.TrimPrefix(key, n.platform.EvacuationsPrefix))
	}
	n.servingMu.Lock()
	zones := slices.Clone(n.evacuated)
	for _, key := range c.Removed {
		zones = slices.DeleteFunc(zones, func(zone cluster.ZoneID) bool { return zone == zoneOf(key) })
		n.reopenedAt[zoneOf(key)] = time.Now()
	}
	for _, kv := range c.Written {
		if zone := zoneOf(kv.Key); !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	n.evacuated = zones
	n.servingMu.Unlock()
	n.log.Info("evacuated zones", "zones", zones, "revision", c.Revision)
	if n.serverList.Load() != nil {
		n.publishList(c.Revision, true)
		n.updateRoutes()
	}
}

// currentEvacuated returns the evacuated zones.
func (n *Core) currentEvacuated() []cluster.ZoneID {
	n.servingMu.Lock()
	defer n.servingMu.Unlock()
	return n.evacuated
}

// limitCold sets until when each replica is cold, and the rate that it takes until then. The
// servers of a zone whose evacuation has ended may be cold before their entries say so. The
// caller holds n.servingMu.
func (n *Core) limitCold(entries []routing.Entry, list fleet.List, set *rules.Set) {
	now := time.Now()
	maps.DeleteFunc(n.reopenedAt, func(zone cluster.ZoneID, at time.Time) bool { return now.Sub(at) > maxColdTime })
	for i := range entries {
		e := &entries[i]
		s := list.Find(e.Replica.Serving)
		if s == nil {
			continue
		}
		service := set.Service(s.Service)
		if service == nil || service.ColdRate <= 0 {
			continue
		}
		e.ColdUntil, e.ColdRate = s.ColdUntil, service.ColdRate
		if at, reopened := n.reopenedAt[s.Zone]; reopened {
			e.ColdUntil = later(e.ColdUntil, at.Add(service.ColdTime))
		}
	}
}

// maxColdTime is how long the end of an evacuation is remembered; no server stays cold for longer.
const maxColdTime = time.Minute

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Failure rates and durations. The rates are the users' figures for fleetSize
// accelerators: 48 VM failures and 1,200 restarts or replacements a day, a rack or
// switch failure each week and a zone failure a few times a year. They do not say how
// many of the 1,200 are announced replacements; a quarter is assumed. The durations are
// assumptions too, see docs/placement.md.
const (
	fleetSize        = 4500
	failuresPerDay   = 48
	restartsPerDay   = 900
	leavesPerDay     = 300
	racksPerWeek     = 1
	zonesPerYear     = 3
	day              = 24 * time.Hour
	leaveNotice      = 2 * time.Minute
	leaveDown        = 10 * time.Minute
	shortestRestart  = 30 * time.Second
	longestRestart   = 3 * time.Minute
	shortestFailure  = time.Hour
	longestFailure   = 7 * time.Hour
	shortestRackLoss = time.Hour
	longestRackLoss  = 4 * time.Hour
	shortestZoneLoss = 30 * time.Minute
	longestZoneLoss  = 2 * time.Hour
)

// Layout is the number of VMs in each fabric domain of a zone.
type Layout []int

// Generate returns a trace of the given length for a zone with the users' failure rates
// per VM. The same seed gives the same trace.
func Generate(seed uint64, layout Layout, length time.Duration) Trace {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0)), trace: Trace{Length: length}}
	for d, size := range layout {
		for i := range size {
			g.trace.VMs = append(g.trace.VMs, cluster.VM{
				ID:     cluster.VMID(fmt.Sprintf("d%02d-%03d", d, i)),
				Domain: cluster.DomainID(fmt.Sprintf("d%02d", d)),
			})
		}
	}
	fleetFraction := float64(len(g.trace.VMs)) / fleetSize
	days := length.Hours() / 24
	g.poisson(fleetFraction*failuresPerDay*days, func() { g.addSingle(Fail, 0, shortestFailure, longestFailure) })
	g.poisson(fleetFraction*restartsPerDay*days, func() { g.addSingle(Restart, 0, shortestRestart, longestRestart) })
	g.poisson(fleetFraction*leavesPerDay*days, func() { g.addSingle(Leave, leaveNotice, leaveDown, leaveDown) })
	g.poisson(fleetFraction*racksPerWeek*days/7, g.failRack)
	g.poisson(zonesPerYear*days/365, g.failZone)
	slices.SortStableFunc(g.trace.Events, func(a, b Event) int { return int(a.At - b.At) })
	return g.trace
}

type generator struct {
	rng   *rand.Rand
	trace Trace
}

// poisson calls fn for each event of a Poisson process with the expected number of
// events.
func (g *generator) poisson(expected float64, fn func()) {
	for t := g.rng.ExpFloat64(); t < expected; t += g.rng.ExpFloat64() {
		fn()
	}
}

func (g *generator) randomTime() time.Duration { return g.between(0, g.trace.Length) }

func (g *generator) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return (low + time.Duration(g.rng.Int64N(int64(high-low)))).Truncate(time.Second)
}

func (g *generator) addSingle(kind Kind, notice, low, high time.Duration) {
	vm := g.trace.VMs[g.rng.IntN(len(g.trace.VMs))]
	g.add(Event{At: g.randomTime(), Kind: kind, VM: vm.ID, Down: g.between(low, high), Notice: notice})
}

func (g *generator) add(e Event) { g.trace.Events = append(g.trace.Events, e) }

// failRack takes a whole fabric domain down.
func (g *generator) failRack() {
	domain := g.trace.VMs[g.rng.IntN(len(g.trace.VMs))].Domain
	g.addCorrelated(g.between(shortestRackLoss, longestRackLoss), func(vm cluster.VM) bool { return vm.Domain == domain })
}

func (g *generator) failZone() {
	g.addCorrelated(g.between(shortestZoneLoss, longestZoneLoss), func(cluster.VM) bool { return true })
}

func (g *generator) addCorrelated(down time.Duration, affected func(cluster.VM) bool) {
	at := g.randomTime()
	for _, vm := range g.trace.VMs {
		if affected(vm) {
			g.add(Event{At: at, Kind: Fail, VM: vm.ID, Down: down})
		}
	}
}

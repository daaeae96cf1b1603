package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Rates are the letter's: over fleetSize accelerators 48 VM failures and 1,200
// restarts or replacements a day, a rack or switch each week, a zone a few times
// a year. A quarter of the 1,200 are taken to be announced replacements; the
// letter does not say. Durations are assumptions too: see docs/placement.md.
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

// Generate makes a trace of the given length for a zone with the letter's rates
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
	share := float64(len(g.trace.VMs)) / fleetSize
	days := length.Hours() / 24
	g.each(share*failuresPerDay*days, func() { g.one(Fail, 0, shortestFailure, longestFailure) })
	g.each(share*restartsPerDay*days, func() { g.one(Restart, 0, shortestRestart, longestRestart) })
	g.each(share*leavesPerDay*days, func() { g.one(Leave, leaveNotice, leaveDown, leaveDown) })
	g.each(share*racksPerWeek*days/7, g.rack)
	g.each(zonesPerYear*days/365, g.zone)
	slices.SortStableFunc(g.trace.Events, func(a, b Event) int { return int(a.At - b.At) })
	return g.trace
}

type generator struct {
	rng   *rand.Rand
	trace Trace
}

// each calls fn as often as a Poisson process does that is expected to n times.
func (g *generator) each(n float64, fn func()) {
	for t := g.rng.ExpFloat64(); t < n; t += g.rng.ExpFloat64() {
		fn()
	}
}

func (g *generator) when() time.Duration { return g.between(0, g.trace.Length) }

func (g *generator) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return (low + time.Duration(g.rng.Int64N(int64(high-low)))).Truncate(time.Second)
}

func (g *generator) one(kind Kind, notice, low, high time.Duration) {
	vm := g.trace.VMs[g.rng.IntN(len(g.trace.VMs))]
	g.add(Event{At: g.when(), Kind: kind, VM: vm.ID, Down: g.between(low, high), Notice: notice})
}

func (g *generator) add(e Event) { g.trace.Events = append(g.trace.Events, e) }

// rack takes a whole fabric domain down.
func (g *generator) rack() {
	domain := g.trace.VMs[g.rng.IntN(len(g.trace.VMs))].Domain
	g.together(g.between(shortestRackLoss, longestRackLoss), func(vm cluster.VM) bool { return vm.Domain == domain })
}

func (g *generator) zone() {
	g.together(g.between(shortestZoneLoss, longestZoneLoss), func(cluster.VM) bool { return true })
}

func (g *generator) together(down time.Duration, which func(cluster.VM) bool) {
	at := g.when()
	for _, vm := range g.trace.VMs {
		if which(vm) {
			g.add(Event{At: at, Kind: Fail, VM: vm.ID, Down: down})
		}
	}
}

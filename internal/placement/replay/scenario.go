package replay

import (
	"os"
	"path/filepath"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// Scenario is a zone with a recorded failure trace.
type Scenario struct {
	Name   string
	Seed   uint64
	Layout Layout
	Length time.Duration
}

// Scenarios are the recorded traces in testdata. The first two are a zone of today's
// users, with 18 replicas of 4 VMs and one of 2: once with two VMs left over in each
// fabric domain, once with none. The last is a zone of the design size: 4,500 replicas
// over 17 zones make 265, here of 4 VMs each.
var Scenarios = []Scenario{
	{Name: "spare", Seed: 1, Layout: Layout{26, 26, 26}, Length: 60 * day},
	{Name: "tight", Seed: 2, Layout: Layout{25, 25, 24}, Length: 60 * day},
	{Name: "design", Seed: 3, Layout: Layout{82, 82, 82, 82, 82, 82, 82, 82, 82, 82, 82, 82, 82, 22}, Length: 7 * day},
}

// File returns the path of the scenario's trace in the given directory.
func (s Scenario) File(dir string) string { return filepath.Join(dir, s.Name+".trace") }

// Load reads the recorded trace.
func (s Scenario) Load(dir string) (Trace, error) {
	f, err := os.Open(s.File(dir))
	if err != nil {
		return Trace{}, err
	}
	defer func() { _ = f.Close() }()
	return Read(f)
}

// RuleSet identifies a set of group rules.
type RuleSet string

// Rule sets. With Capped the small group wants one replica in the zone; with Filling it
// takes all VMs that the large group leaves.
const (
	Capped  RuleSet = "capped"
	Filling RuleSet = "filling"
)

// Groups returns the group rules: one of 4 VMs in one fabric domain, and one of 2 that
// may span domains.
func (r RuleSet) Groups(weigh rules.Weigh) []rules.Group {
	spares := 0
	if weigh == rules.WeighDowntime {
		spares = 2
	}
	large := rules.Group{Name: "large", Model: "large", VMs: 4, SameDomain: true, Spares: spares, Weigh: weigh}
	small := rules.Group{Name: "small", Model: "small", VMs: 2, Weigh: weigh}
	if r == Filling {
		large.Line, small.Line = 1, 2
		return []rules.Group{large, small}
	}
	small.Replicas = 1
	small.Line, large.Line = 1, 2
	return []rules.Group{small, large}
}

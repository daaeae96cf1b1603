// Package player simulates load and faults against a system of entry nodes, in virtual
// time and without a network. The nodes run their real decision code, both for calls and
// for VMs; VMs, replicas, callers and the platform are modelled by this package. It shows
// what callers would get under a load before it occurs in production.
//
// The simulation uses the clock of the time package. Inside a synctest bubble a minute of
// load takes a few seconds.
package player

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

// Scenario describes a load and the faults injected during it.
type Scenario struct {
	Name string `yaml:"name"`
	// Warmup is the time between the start of the nodes and the first call. Length is how
	// long calls are sent.
	Warmup time.Duration `yaml:"lead"`
	Length time.Duration `yaml:"length"`
	Zones  []Zone        `yaml:"zones"`
	Engine Engine        `yaml:"engine"`
	Models []Model       `yaml:"models"`
	Kinds  []CallKind    `yaml:"kinds"`
	Bursts []Burst       `yaml:"bursts"`
	Faults []Fault       `yaml:"faults"`
}

// Zone is an availability zone.
type Zone struct {
	Name  cluster.ZoneID `yaml:"name"`
	Nodes int            `yaml:"nodes"`
	// Domains holds the number of VMs in each failure domain.
	Domains []int `yaml:"domains"`
	// Share is the fraction of all calls that enter through the zone.
	Share float64 `yaml:"share"`
}

// Engine holds the performance figures that all models share.
type Engine struct {
	Slots             int           `yaml:"slots"`
	Queue             int           `yaml:"queue"`
	StepsPerPass      int           `yaml:"stride"`
	PrefillChunk      int           `yaml:"chunk"`
	BaseStep          time.Duration `yaml:"step"`
	StepPerSequence   time.Duration `yaml:"per_sequence"`
	StepPerContext    time.Duration `yaml:"per_context"`
	PrefillPerSecond  float64       `yaml:"read_per_second"`
	AttentionPerPairs time.Duration `yaml:"per_pairs"`
	// ResponseOverhead is added to the time of the first piece: the network round trip and
	// whatever the engine's figures do not account for.
	ResponseOverhead time.Duration `yaml:"reply"`
	// StallTimeout is how long a replica that lost a member stalls before it breaks.
	StallTimeout time.Duration `yaml:"stall"`
	// Heartbeat is the time between two heartbeats of a VM. The VM's entry is removed
	// three heartbeats after its last one.
	Heartbeat      time.Duration `yaml:"heartbeat"`
	LoadsAtOnce    int           `yaml:"loads_at_once"`
	LoadsPerSecond float64       `yaml:"loads_per_second"`
	// ColdRate is the number of requests per second that a cold VM takes from all nodes.
	ColdRate float64 `yaml:"cold_rate"`
}

// Model is one of the models that the VMs can serve.
type Model struct {
	Name       string        `yaml:"name"`
	VMs        int           `yaml:"vms"`
	TimeFactor float64       `yaml:"pace"`
	ColdLoad   time.Duration `yaml:"cold"`
	WarmLoad   time.Duration `yaml:"warm"`
	Share      float64       `yaml:"share"`
}

// CallKind describes calls with the same model, targets and token distributions.
type CallKind struct {
	Name  string  `yaml:"name"`
	Model string  `yaml:"model"`
	Rate  float64 `yaml:"rate"`
	// Target bounds the time to the first piece, TargetGap the time between two pieces.
	Target    time.Duration     `yaml:"target"`
	TargetGap time.Duration     `yaml:"pause"`
	Deadline  time.Duration     `yaml:"deadline"`
	Prompt    TokenDistribution `yaml:"prompt"`
	Answer    TokenDistribution `yaml:"answer"`
	// Value is the value of an answer on time, LateValue that of a late one.
	Value     float64 `yaml:"worth"`
	LateValue float64 `yaml:"late"`
	Priority  int     `yaml:"priority"`
}

// TokenDistribution is a log-normal distribution of token counts with the given mean,
// truncated at Max. Spread is the standard deviation of its logarithm.
type TokenDistribution struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"`
	Max    float64 `yaml:"most"`
}

// Burst multiplies the rate of a kind of call for some time. An empty kind stands for all
// kinds.
type Burst struct {
	Kind     string        `yaml:"kind"`
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Factor   float64       `yaml:"factor"`
}

// FaultKind is the type of a fault.
type FaultKind string

// Fault kinds. LoseMembers permanently silences members of replicas. AddVMs adds empty
// VMs. DomainOutage silences a whole domain for a time. SlowVMs slows VMs down for a time.
// PartitionZone separates a zone from all others and from the store for a time.
// RestartNodes kills nodes at once and restarts them after a second. StoreDown makes the
// store unavailable for a time. CrashRequests has a request to the model sent again and again
// that crashes the head of each replica that runs it. CrashPart has Factor new requests a second
// to the model hold a part of the prompt that does so, the first part or, with Middle set, the second one. CrashHeads crashes the heads of several
// replicas at once. LimitServers has heads of replicas name a
// rate limit, Factor requests per second, in their answers for a time. ColdServers has heads of
// replicas be cold for a time. IsolateNodes separates the first Count nodes from all VMs, and from
// nothing else, for a time; with OneWay set, what VMs send is lost only, with Factor set that share of the packets. OneNode has all callers' first attempts arrive at the first node for a time.
// PushbackServers has heads of replicas refuse all requests of the first Nodes nodes for a time and
// ask each time to get none for Factor seconds. LeavingServers has heads of replicas say that they
// shut down, which the store does not, for a time.
const (
	LoseMembers   FaultKind = "lose"
	AddVMs        FaultKind = "add"
	DomainOutage  FaultKind = "dark"
	SlowVMs       FaultKind = "slow"
	PartitionZone FaultKind = "cut-zone"
	RestartNodes  FaultKind = "restart-nodes"
	StoreDown     FaultKind = "store-down"
	CrashRequests FaultKind = "crash-requests"
	CrashPart     FaultKind = "crash-part"
	CrashHeads    FaultKind = "crash-heads"
	LimitServers  FaultKind = "limit"
	ColdServers   FaultKind = "cold"
	IsolateNodes  FaultKind = "isolate-nodes"
	OneNode       FaultKind = "one-node"

	PushbackServers FaultKind = "pushback"
	LeavingServers  FaultKind = "leaving"
)

// Fault is a fault injected at a time after the first call.
type Fault struct {
	Kind     FaultKind      `yaml:"kind"`
	At       time.Duration  `yaml:"at"`
	Duration time.Duration  `yaml:"for"`
	Zone     cluster.ZoneID `yaml:"zone"`
	// Model restricts LoseMembers and SlowVMs to members of replicas of the model.
	Model string `yaml:"model"`
	Count int    `yaml:"count"`
	// Domain is the index of the zone's domain that DomainOutage affects.
	Domain int     `yaml:"domain"`
	Factor float64 `yaml:"factor"`
	// Refuse has connections of isolated nodes be refused instead of hang.
	Refuse bool `yaml:"refuse"`
	// OneWay has IsolateNodes lose only what VMs send.
	OneWay bool `yaml:"one_way"`
	// Nodes limits the nodes that PushbackServers and LeavingServers affect; 0 means all.
	Nodes int `yaml:"nodes"`
	// Middle has CrashPart use the second part of the prompt.
	Middle bool `yaml:"middle"`
}

// figures returns the engine's performance profile for a model.
func (s *Scenario) figures(m Model) enginemodel.Profile {
	e := s.Engine
	return enginemodel.Profile{Slots: e.Slots, StepsPerPass: e.StepsPerPass, PrefillChunk: e.PrefillChunk, BaseStep: e.BaseStep, StepPerSequence: e.StepPerSequence, StepPerContext: e.StepPerContext,
		PrefillPerSecond: e.PrefillPerSecond, AttentionPerPairs: e.AttentionPerPairs, TimeFactor: m.TimeFactor}
}

// ScenarioError reports an invalid field of a scenario.
type ScenarioError struct{ Field, Problem string }

// Error implements error.
func (e *ScenarioError) Error() string { return fmt.Sprintf("scenario: %s: %s", e.Field, e.Problem) }

// Load reads and validates a scenario file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Scenario{}
	if err := yaml.UnmarshalWithOptions(text, s, yaml.Strict()); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *Scenario) check() error {
	models := make(map[string]bool)
	for _, m := range s.Models {
		models[m.Name] = true
		if m.VMs < 1 {
			return &ScenarioError{"models", m.Name + " must have at least one VM"}
		}
	}
	for _, k := range s.Kinds {
		if !models[k.Model] {
			return &ScenarioError{"kinds", k.Name + " references an unknown model"}
		}
	}
	switch {
	case len(s.Zones) == 0:
		return &ScenarioError{"zones", "none"}
	case len(s.Kinds) == 0:
		return &ScenarioError{"kinds", "none"}
	case s.Length <= 0:
		return &ScenarioError{"length", "must be positive"}
	case s.Engine.Slots < 1 || s.Engine.BaseStep <= 0 || s.Engine.PrefillPerSecond <= 0 || s.Engine.Heartbeat <= 0:
		return &ScenarioError{"engine", "slots, step, read_per_second and heartbeat must be positive"}
	}
	return nil
}

// work returns the time of a replica that a call of the kind takes.
func (s *Scenario) work(k *CallKind, prompt, answer int) time.Duration {
	for _, m := range s.Models {
		if m.Name == k.Model {
			return s.figures(m).RequestCost(prompt, answer)
		}
	}
	return 0
}

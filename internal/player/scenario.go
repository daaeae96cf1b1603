// Package player plays load and faults against the decisions of whole nodes, in
// virtual time and without a network: the nodes are real, with all that they decide
// for callers and for VMs; VMs, replicas, callers and the platform are models of this
// package. It answers what callers get under a load before anybody has to meet it.
//
// The player uses the clock of the time package. Inside a synctest bubble a minute of
// load passes in a few seconds.
package player

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
)

// Scenario is a load with its faults.
type Scenario struct {
	Name string `yaml:"name"`
	// Warmup is the time between the start of the nodes and the first call; Length is how
	// long callers come.
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
	// Domains have so many VMs each.
	Domains []int `yaml:"domains"`
	// Share is the zone's part of all calls.
	Share float64 `yaml:"share"`
}

// Engine has the figures that all models share.
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
	// ResponseOverhead is what a first piece takes beyond the passes: the way there and back, and
	// what no figure tells.
	ResponseOverhead time.Duration `yaml:"reply"`
	// StallTimeout is how long a replica that lost a member stands still before it breaks.
	StallTimeout time.Duration `yaml:"stall"`
	// Heartbeat is the time between two signs of life of a VM; its entry is gone three
	// of them after its last one.
	Heartbeat      time.Duration `yaml:"heartbeat"`
	LoadsAtOnce    int           `yaml:"loads_at_once"`
	LoadsPerSecond float64       `yaml:"loads_per_second"`
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

// CallKind is a kind of call.
type CallKind struct {
	Name  string  `yaml:"name"`
	Model string  `yaml:"model"`
	Rate  float64 `yaml:"rate"`
	// Target bounds the first piece, Pause the time between two.
	Target    time.Duration     `yaml:"target"`
	TargetGap time.Duration     `yaml:"pause"`
	Deadline  time.Duration     `yaml:"deadline"`
	Prompt    TokenDistribution `yaml:"prompt"`
	Answer    TokenDistribution `yaml:"answer"`
	// Value and Late are what an answer on time and a later one is worth.
	Value     float64 `yaml:"worth"`
	LateValue float64 `yaml:"late"`
	Priority  int     `yaml:"priority"`
}

// TokenDistribution is a log-normal distribution with a mean, cut at a greatest value. Spread is
// the standard deviation of its logarithm.
type TokenDistribution struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"`
	Max    float64 `yaml:"most"`
}

// Burst multiplies the rate of a kind for some time; an empty kind is all.
type Burst struct {
	Kind     string        `yaml:"kind"`
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Factor   float64       `yaml:"factor"`
}

// FaultKind says what goes wrong.
type FaultKind string

// Faults. LoseMembers has members of replicas fall silent for good; AddVMs brings empty VMs; DomainOutage
// silences a whole domain for a time; SlowVMs has VMs run slower for a time; PartitionZone parts
// a zone from all others and from the store for a time; RestartNodes kills nodes at once
// and starts them anew after a second; StoreDown keeps the store from answering.
const (
	LoseMembers   FaultKind = "lose"
	AddVMs        FaultKind = "add"
	DomainOutage  FaultKind = "dark"
	SlowVMs       FaultKind = "slow"
	PartitionZone FaultKind = "cut-zone"
	RestartNodes  FaultKind = "restart-nodes"
	StoreDown     FaultKind = "store-down"
)

// Fault is one thing that goes wrong at a time after the first call.
type Fault struct {
	Kind     FaultKind      `yaml:"kind"`
	At       time.Duration  `yaml:"at"`
	Duration time.Duration  `yaml:"for"`
	Zone     cluster.ZoneID `yaml:"zone"`
	// Model narrows Lose and Slow to members of its replicas.
	Model string `yaml:"model"`
	Count int    `yaml:"count"`
	// Domain is the zone's domain that goes dark, counted from 0.
	Domain int     `yaml:"domain"`
	Factor float64 `yaml:"factor"`
}

// figures are the engine's for one model.
func (s *Scenario) figures(m Model) enginemodel.Profile {
	e := s.Engine
	return enginemodel.Profile{Slots: e.Slots, StepsPerPass: e.StepsPerPass, PrefillChunk: e.PrefillChunk, BaseStep: e.BaseStep, StepPerSequence: e.StepPerSequence, StepPerContext: e.StepPerContext,
		PrefillPerSecond: e.PrefillPerSecond, AttentionPerPairs: e.AttentionPerPairs, TimeFactor: m.TimeFactor}
}

// ScenarioError says what a scenario lacks.
type ScenarioError struct{ Field, Problem string }

// Error implements error.
func (e *ScenarioError) Error() string { return fmt.Sprintf("scenario: %s: %s", e.Field, e.Problem) }

// Load reads and checks a scenario file.
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
			return &ScenarioError{"models", m.Name + " needs at least one VM"}
		}
	}
	for _, k := range s.Kinds {
		if !models[k.Model] {
			return &ScenarioError{"kinds", k.Name + " names no model"}
		}
	}
	switch {
	case len(s.Zones) == 0:
		return &ScenarioError{"zones", "none"}
	case len(s.Kinds) == 0:
		return &ScenarioError{"kinds", "none"}
	case s.Length <= 0:
		return &ScenarioError{"length", "not above zero"}
	case s.Engine.Slots < 1 || s.Engine.BaseStep <= 0 || s.Engine.PrefillPerSecond <= 0 || s.Engine.Heartbeat <= 0:
		return &ScenarioError{"engine", "slots, step, read_per_second and heartbeat are needed"}
	}
	return nil
}

// work is the part of a replica's time that a call of the kind takes.
func (s *Scenario) work(k *CallKind, prompt, answer int) time.Duration {
	for _, m := range s.Models {
		if m.Name == k.Model {
			return s.figures(m).RequestCost(prompt, answer)
		}
	}
	return 0
}

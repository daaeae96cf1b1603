package lifecycle

import (
	"fmt"
	"strings"
	"time"
)

// actionKind is an external event in a simulation.
type actionKind string

// Kinds of actions. An action on a VM that ends a fault reverts the kind listed before it.
const (
	actWait             actionKind = "wait"
	actHandOver         actionKind = "hand-over"
	actFreezeList       actionKind = "freeze-list"
	actResumeList       actionKind = "resume-list"
	actCrash            actionKind = "crash"
	actRestart          actionKind = "restart"
	actReplace          actionKind = "replace"
	actDrain            actionKind = "drain"
	actFreeze           actionKind = "freeze"
	actThaw             actionKind = "thaw"
	actDisconnectStore  actionKind = "disconnect-store"
	actReconnectStore   actionKind = "reconnect-store"
	actDisconnectHolder actionKind = "disconnect-holder"
	actReconnectHolder  actionKind = "reconnect-holder"
	actDropResponses    actionKind = "drop-responses"
	actDeliverResponses actionKind = "deliver-responses"
	actDelayOrders      actionKind = "delay-orders"
	actDeliverOrders    actionKind = "deliver-orders"
	actExecuteDelayed   actionKind = "execute-delayed-orders"
)

// action is one event; vm is the index of the affected VM, or negative if there is none.
type action struct {
	kind actionKind
	vm   int
}

// String implements fmt.Stringer.
func (a action) String() string {
	if a.vm < 0 {
		return string(a.kind)
	}
	return fmt.Sprintf("%s %d", a.kind, a.vm)
}

// vmActions returns the actions that are possible in the VM's state.
func vmActions(v *simulatedVM) (kinds []actionKind) {
	if !v.alive {
		return []actionKind{actReplace}
	}
	toggle := func(on bool, begin, end actionKind) {
		if on {
			kinds = append(kinds, end)
		} else {
			kinds = append(kinds, begin)
		}
	}
	toggle(v.frozen, actFreeze, actThaw)
	toggle(v.storeDisconnected, actDisconnectStore, actReconnectStore)
	toggle(v.holderDisconnected, actDisconnectHolder, actReconnectHolder)
	toggle(v.dropsResponses, actDropResponses, actDeliverResponses)
	toggle(v.delaysOrders, actDelayOrders, actDeliverOrders)
	if len(v.delayedOrders) > 0 {
		kinds = append(kinds, actExecuteDelayed)
	}
	kinds = append(kinds, actCrash)
	if v.running() {
		kinds = append(kinds, actRestart)
	}
	if v.running() && v.drainedAt.IsZero() {
		kinds = append(kinds, actDrain)
	}
	return kinds
}

// endsFault reports whether the action ends a fault or is not one.
func (a action) endsFault() bool {
	switch a.kind {
	case actWait, actReplace, actResumeList, actThaw, actReconnectStore, actReconnectHolder, actDeliverResponses, actDeliverOrders, actExecuteDelayed:
		return true
	}
	return false
}

// actions returns all actions that are possible next.
func (sim *simulation) actions() []action {
	out := []action{{actWait, -1}, {actHandOver, -1}, {actFreezeList, -1}}
	if sim.listStale {
		out[2].kind = actResumeList
	}
	for i, v := range sim.vms {
		for _, kind := range vmActions(v) {
			out = append(out, action{kind, i})
		}
	}
	return out
}

// apply applies an action.
func (sim *simulation) apply(a action) {
	switch a.kind {
	case actWait:
		sim.runUntilEvent()
		return
	case actHandOver:
		sim.handOver()
		return
	case actFreezeList, actResumeList:
		sim.listStale = a.kind == actFreezeList
		return
	}
	v := sim.vms[a.vm]
	switch a.kind {
	case actCrash:
		v.alive = false
	case actRestart:
		v.restart(sim.now)
	case actReplace:
		v.replace(sim.now)
	case actDrain:
		v.drainedAt = sim.now
	case actFreeze, actThaw:
		v.frozen = a.kind == actFreeze
	case actDisconnectStore, actReconnectStore:
		v.storeDisconnected = a.kind == actDisconnectStore
	case actDisconnectHolder, actReconnectHolder:
		v.holderDisconnected = a.kind == actDisconnectHolder
	case actDropResponses, actDeliverResponses:
		v.dropsResponses = a.kind == actDropResponses
	case actDelayOrders, actDeliverOrders:
		v.delaysOrders = a.kind == actDelayOrders
	case actExecuteDelayed:
		sim.executeDelayedOrders(v)
	}
}

// isPossible reports whether the action is possible in the current state: a shortened history may
// lack the actions that it depends on.
func (sim *simulation) isPossible(a action) bool {
	for _, possible := range sim.actions() {
		if possible == a {
			return true
		}
	}
	return false
}

// replay applies a history to a copy of a settled simulation and returns the copy. Impossible
// actions are skipped.
func replay(start *simulation, history []action) *simulation {
	sim := start.clone()
	for _, a := range history {
		if sim.violation != "" {
			break
		}
		if sim.isPossible(a) {
			sim.apply(a)
		}
	}
	return sim
}

// shrink removes the actions that the violation does not depend on.
func shrink(start *simulation, history []action, fails func(*simulation) bool) []action {
	for size := len(history) / 2; size > 0; {
		shorter := false
		for at := 0; at+size <= len(history); at++ {
			candidate := append(append([]action{}, history[:at]...), history[at+size:]...)
			if fails(replay(start, candidate)) {
				history, shorter = candidate, true
				at--
			}
		}
		if !shorter {
			size /= 2
		}
	}
	return history
}

// formatHistory formats a history as rows of the time in seconds, the action and the VMs after it.
func formatHistory(start *simulation, history []action) string {
	var out strings.Builder
	sim := start.clone()
	started := sim.now
	for _, a := range history {
		if !sim.isPossible(a) {
			continue
		}
		sim.apply(a)
		fmt.Fprintf(&out, "%6.1f  %-24s", sim.now.Sub(started).Seconds(), a)
		for _, v := range sim.vms {
			fmt.Fprintf(&out, " %s", formatVM(v))
		}
		fmt.Fprintln(&out)
	}
	fmt.Fprintf(&out, "%6.1f  %s\n", sim.now.Sub(started).Seconds(), sim.violation)
	return out.String()
}

func formatVM(v *simulatedVM) string {
	state := "free"
	if v.member != nil {
		state = fmt.Sprintf("%d:%s", v.member.Epoch&(1<<epochSequenceBits-1), v.member.State)
	}
	for _, mark := range []struct {
		on   bool
		text string
	}{{!v.alive, "dead"}, {v.frozen, "frozen"}, {v.storeDisconnected, "no-store"}, {v.holderDisconnected, "silent"}, {v.dropsResponses, "drops-responses"}, {v.delaysOrders, "late"}, {!v.drainedAt.IsZero(), "draining"}} {
		if mark.on {
			state += "," + mark.text
		}
	}
	return "[" + state + "]"
}

// newSettledSimulation returns a simulation in which all replicas serve.
func newSettledSimulation(o simulationOptions) *simulation {
	sim := newSimulation(o)
	sim.runFor(20 * time.Second)
	if o.coldStart {
		sim.runFor(100 * time.Second)
	}
	return sim
}

package lifecycle

import (
	"fmt"
	"strings"
	"time"
)

// actionKind is what may happen to a world from outside.
type actionKind string

// Kinds of actions. Those on a VM that end a fault undo the kind before them.
const (
	actWait     actionKind = "wait"
	actHandOver actionKind = "hand-over"
	actStale    actionKind = "list-stands-still"
	actFresh    actionKind = "list-goes-on"
	actCrash    actionKind = "crash"
	actRestart  actionKind = "restart"
	actReplace  actionKind = "replace"
	actDrain    actionKind = "drain"
	actFreeze   actionKind = "freeze"
	actThaw     actionKind = "thaw"
	actCut      actionKind = "cut-from-store"
	actJoined   actionKind = "back-at-store"
	actSilence  actionKind = "cut-from-holder"
	actHear     actionKind = "back-at-holder"
	actMute     actionKind = "answers-lost"
	actSpeak    actionKind = "answers-come"
	actDelay    actionKind = "orders-delayed"
	actPass     actionKind = "orders-pass"
	actCatchUp  actionKind = "delayed-orders-done"
)

// action is one thing that happens; vm is the index of the VM, if it concerns one.
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

// vmActions are the actions that fit the VM's state.
func vmActions(v *modelVM) (kinds []actionKind) {
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
	toggle(v.cutStore, actCut, actJoined)
	toggle(v.silent, actSilence, actHear)
	toggle(v.mute, actMute, actSpeak)
	toggle(v.late, actDelay, actPass)
	if len(v.queue) > 0 {
		kinds = append(kinds, actCatchUp)
	}
	kinds = append(kinds, actCrash)
	if v.runs() {
		kinds = append(kinds, actRestart)
	}
	if v.runs() && v.drainedAt.IsZero() {
		kinds = append(kinds, actDrain)
	}
	return kinds
}

// ends reports whether the action ends a fault.
func (a action) ends() bool {
	switch a.kind {
	case actWait, actReplace, actFresh, actThaw, actJoined, actHear, actSpeak, actPass, actCatchUp:
		return true
	}
	return false
}

// actions are all that may happen next to the world.
func (w *world) actions() []action {
	out := []action{{actWait, -1}, {actHandOver, -1}, {actStale, -1}}
	if w.stale {
		out[2].kind = actFresh
	}
	for i, v := range w.vms {
		for _, kind := range vmActions(v) {
			out = append(out, action{kind, i})
		}
	}
	return out
}

// do has an action happen.
func (w *world) do(a action) {
	switch a.kind {
	case actWait:
		w.run()
		return
	case actHandOver:
		w.handOver()
		return
	case actStale, actFresh:
		w.stale = a.kind == actStale
		return
	}
	v := w.vms[a.vm]
	switch a.kind {
	case actCrash:
		v.alive = false
	case actRestart:
		v.restart(w.now)
	case actReplace:
		v.replace(w.now)
	case actDrain:
		v.drainedAt = w.now
	case actFreeze, actThaw:
		v.frozen = a.kind == actFreeze
	case actCut, actJoined:
		v.cutStore = a.kind == actCut
	case actSilence, actHear:
		v.silent = a.kind == actSilence
	case actMute, actSpeak:
		v.mute = a.kind == actMute
	case actDelay, actPass:
		v.late = a.kind == actDelay
	case actCatchUp:
		w.flush(v)
	}
}

// fits reports whether the action can happen to the world as it is: a history that was
// shortened may lack what made it possible.
func (w *world) fits(a action) bool {
	for _, possible := range w.actions() {
		if possible == a {
			return true
		}
	}
	return false
}

// replay plays a history on a settled world and returns the world after it. Actions
// that do not fit are passed over.
func replay(start *world, history []action) *world {
	w := start.clone()
	for _, a := range history {
		if w.violation != "" {
			break
		}
		if w.fits(a) {
			w.do(a)
		}
	}
	return w
}

// shrink removes what the violation does not need from a history.
func shrink(start *world, history []action, fails func(*world) bool) []action {
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

// table is the history as rows: the second, the action, and the VMs after it.
func table(start *world, history []action) string {
	var out strings.Builder
	w := start.clone()
	began := w.now
	for _, a := range history {
		if !w.fits(a) {
			continue
		}
		w.do(a)
		fmt.Fprintf(&out, "%6.1f  %-24s", w.now.Sub(began).Seconds(), a)
		for _, v := range w.vms {
			fmt.Fprintf(&out, " %s", describe(v))
		}
		fmt.Fprintln(&out)
	}
	fmt.Fprintf(&out, "%6.1f  %s\n", w.now.Sub(began).Seconds(), w.violation)
	return out.String()
}

func describe(v *modelVM) string {
	state := "free"
	if v.member != nil {
		state = fmt.Sprintf("%d:%s", v.member.Epoch&(1<<epochBits-1), v.member.State)
	}
	for _, mark := range []struct {
		on   bool
		text string
	}{{!v.alive, "dead"}, {v.frozen, "frozen"}, {v.cutStore, "cut"}, {v.silent, "silent"}, {v.mute, "mute"}, {v.late, "late"}, {!v.drainedAt.IsZero(), "draining"}} {
		if mark.on {
			state += "," + mark.text
		}
	}
	return "[" + state + "]"
}

// settled is a world in which all replicas serve.
func settled(o worldOptions) *world {
	w := newWorld(o)
	w.runFor(20 * time.Second)
	if o.cold {
		w.runFor(100 * time.Second)
	}
	return w
}

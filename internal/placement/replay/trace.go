// Package replay runs a placement policy over a recorded failure trace in
// virtual time and measures group downtime and stranded accelerators.
package replay

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// Kind says what happens to a VM.
type Kind string

// Kinds of trace events. A fail and a restart come without notice; a leave is
// announced for Notice and the VM is gone after it. In all cases a VM is back,
// with nothing in memory, Down after it went.
const (
	Fail    Kind = "fail"
	Restart Kind = "restart"
	Leave   Kind = "leave"
)

// Event is one line of a trace: at <seconds> <kind> <vm> down=<seconds> notice=<seconds>.
type Event struct {
	At     time.Duration
	Kind   Kind
	VM     cluster.VMID
	Down   time.Duration
	Notice time.Duration
}

// Trace is a zone's VMs, by domain, and what happens to them in order of time.
// A rack or switch, and a zone that goes dark, are many fail lines at one time.
type Trace struct {
	Length time.Duration
	VMs    []cluster.VM // only ID and Domain
	Events []Event
}

// Write prints the trace: a line "length <seconds>", a line "vm <id> <domain>"
// for each VM and a line for each event. Lines that start with # are comments.
func (t Trace) Write(w io.Writer, comment string) error {
	b := bufio.NewWriter(w)
	fmt.Fprintf(b, "# %s\nlength %d\n", comment, seconds(t.Length))
	for _, vm := range t.VMs {
		fmt.Fprintf(b, "vm %s %s\n", vm.ID, vm.Domain)
	}
	for _, e := range t.Events {
		fmt.Fprintf(b, "at %d %s %s down=%d notice=%d\n", seconds(e.At), e.Kind, e.VM, seconds(e.Down), seconds(e.Notice))
	}
	return b.Flush()
}

func seconds(d time.Duration) int64 { return int64(d / time.Second) }

// LineError says which line of a trace cannot be read.
type LineError struct {
	Line int
	Text string
}

// Error implements error.
func (e *LineError) Error() string {
	return "trace line " + strconv.Itoa(e.Line) + ": cannot read: " + e.Text
}

// Read reads what Write printed.
func Read(r io.Reader) (Trace, error) {
	var t Trace
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text := lines.Text()
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		if !t.readLine(text) {
			return Trace{}, &LineError{Line: n, Text: text}
		}
	}
	return t, lines.Err()
}

func (t *Trace) readLine(text string) bool {
	var at, down, notice int64
	var vm cluster.VM
	var e Event
	if n, _ := fmt.Sscanf(text, "length %d", &at); n == 1 {
		t.Length = time.Duration(at) * time.Second
		return true
	}
	if n, _ := fmt.Sscanf(text, "vm %s %s", &vm.ID, &vm.Domain); n == 2 {
		t.VMs = append(t.VMs, vm)
		return true
	}
	if n, _ := fmt.Sscanf(text, "at %d %s %s down=%d notice=%d", &at, &e.Kind, &e.VM, &down, &notice); n != 5 {
		return false
	}
	e.At, e.Down, e.Notice = time.Duration(at)*time.Second, time.Duration(down)*time.Second, time.Duration(notice)*time.Second
	t.Events = append(t.Events, e)
	return true
}

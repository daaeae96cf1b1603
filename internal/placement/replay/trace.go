// Package replay runs a placement policy against a recorded failure trace in virtual
// time and measures group downtime and stranded accelerators.
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

// Kind is the type of a trace event.
type Kind string

// Event kinds. Fail and Restart come without notice. A Leave is announced for Notice
// before the VM goes down. In all cases the VM is back after Down, with empty memory.
const (
	Fail    Kind = "fail"
	Restart Kind = "restart"
	Leave   Kind = "leave"
)

// Event is a line of a trace: at <seconds> <kind> <vm> down=<seconds> notice=<seconds>.
type Event struct {
	At     time.Duration
	Kind   Kind
	VM     cluster.VMID
	Down   time.Duration
	Notice time.Duration
}

// Trace lists the VMs of a zone, by domain, and the events in order of time. The failure
// of a rack, a switch or a zone is recorded as many fail lines with the same time.
type Trace struct {
	Length time.Duration
	VMs    []cluster.VM // only ID and Domain are set
	Events []Event
}

// Write writes the trace: a line "length <seconds>", a line "vm <id> <domain>" for each
// VM and a line for each event. Lines that start with # are comments.
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

// LineError reports a line of a trace that cannot be parsed.
type LineError struct {
	Line int
	Text string
}

// Error implements error.
func (e *LineError) Error() string {
	return "trace line " + strconv.Itoa(e.Line) + ": cannot parse: " + e.Text
}

// Read parses a trace in the format of Write.
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

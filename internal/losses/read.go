package losses

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"
)

// LineError says which line of a log can't be read. The others were read.
type LineError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// fields are the keys and values of one line.
type fields map[string]string

// Log is what was read of nodes' logs.
type Log struct {
	calls       []*open
	inventories []Inventory
	// SkippedLines are lines that can't be read: a log that was cut while it was written has
	// some. They are passed over.
	SkippedLines []*LineError
}

// longestLine bounds a line, in bytes.
const longestLine = 1 << 20

// open is a call whose lines are being gathered.
type open struct {
	request, node, zone, group string
	at                         time.Time
	attempts                   []attempt
	noReplica                  bool
}

// attempt is one line of an attempt.
type attempt struct {
	outcome                    string
	waited, first, target      time.Duration
	pause, pauseTarget         time.Duration
	running, waitingNow, slots int
}

// Read adds one node's log. Lines of other matters are passed over.
func (l *Log) Read(r io.Reader) error {
	one := reader{log: l, byID: make(map[string]*open)}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longestLine)
	for number := 1; lines.Scan(); number++ {
		f, err := decode(lines.Bytes())
		if err == nil {
			err = one.take(f)
		}
		if err != nil {
			l.SkippedLines = append(l.SkippedLines, &LineError{number, err})
		}
	}
	return lines.Err()
}

// decode reads the keys and values of a line.
func decode(line []byte) (fields, error) {
	dec := logfmt.NewDecoder(bytes.NewReader(line))
	f := make(fields)
	for dec.ScanRecord() {
		for dec.ScanKeyval() {
			f[string(dec.Key())] = string(dec.Value())
		}
	}
	return f, dec.Err()
}

// reader reads one node's log.
type reader struct {
	log        *Log
	node, zone string
	byID       map[string]*open
}

// lastField is the last field of the lines that are read, without which one was cut.
var lastField = map[string]string{"attempt": "outcome", "no replica": "err", "inventory": "domains"}

func (r *reader) take(f fields) error {
	last, known := lastField[f["msg"]]
	if _, whole := f[last]; known && !whole {
		return errors.Errorf("the line ends before %q", last)
	}
	switch f["msg"] {
	case "serving":
		r.node, r.zone = f["node"], f["zone"]
	case "attempt":
		return r.attempt(f)
	case "no replica":
		c, err := r.call(f, f["held"])
		if err != nil {
			return err
		}
		c.noReplica = true
	case "inventory":
		return r.inventory(f)
	}
	return nil
}

// call returns the call that the line is of. The line was written so long after it came.
func (r *reader) call(f fields, ago ...string) (*open, error) {
	if c := r.byID[f["request"]]; c != nil {
		return c, nil
	}
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil {
		return nil, errors.Wrap(err, "time")
	}
	for _, text := range ago {
		passed, err := time.ParseDuration(text)
		if err != nil {
			return nil, errors.Wrap(err, "age")
		}
		at = at.Add(-passed)
	}
	c := &open{request: f["request"], node: r.node, zone: r.zone, group: f["group"], at: at}
	r.byID[c.request] = c
	r.log.calls = append(r.log.calls, c)
	return c, nil
}

func (r *reader) attempt(f fields) error {
	a := attempt{outcome: f["outcome"]}
	var err error
	for key, to := range map[string]*time.Duration{"waited": &a.waited, "first": &a.first, "target": &a.target, "pause": &a.pause, "pause_target": &a.pauseTarget} {
		if f[key] == "" {
			continue
		}
		if *to, err = time.ParseDuration(f[key]); err != nil {
			return errors.Wrap(err, key)
		}
	}
	for key, to := range map[string]*int{"running": &a.running, "waiting": &a.waitingNow, "slots": &a.slots} {
		if f[key] == "" {
			continue
		}
		if *to, err = strconv.Atoi(f[key]); err != nil {
			return errors.Wrap(err, key)
		}
	}
	c, err := r.call(f, f["waited"], f["took"])
	if err != nil {
		return err
	}
	c.attempts = append(c.attempts, a)
	return nil
}

// inventory adds up the domains of a line: "d0:held=1,free=3,cold=6,loading=8 d1:held=...".
func (r *reader) inventory(f fields) error {
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil {
		return errors.Wrap(err, "time")
	}
	s := Inventory{At: at}
	into := map[string]*int{"held": &s.Held, "free": &s.Free, "cold": &s.Cold, "loading": &s.Loading}
	for _, domain := range strings.Fields(f["domains"]) {
		_, counts, _ := strings.Cut(domain, ":")
		for _, count := range strings.Split(counts, ",") {
			name, text, _ := strings.Cut(count, "=")
			n, err := strconv.Atoi(text)
			if err != nil || into[name] == nil {
				return errors.Errorf("domains: %q", count)
			}
			*into[name] += n
		}
	}
	r.log.inventories = append(r.log.inventories, s)
	return nil
}

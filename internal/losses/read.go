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

// LineError reports a log line that could not be parsed. The other lines are still read.
type LineError struct {
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the underlying error.
func (e *LineError) Unwrap() error { return e.Err }

// fields holds the keys and values of one line.
type fields map[string]string

// Log collects the calls and inventories read from nodes' logs.
type Log struct {
	calls       []*callRecord
	inventories []Inventory
	// SkippedLines are lines that could not be parsed, as in a log that was truncated while
	// it was written.
	SkippedLines []*LineError
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// callRecord collects the log lines of one call.
type callRecord struct {
	request, node, zone, group string
	at                         time.Time
	attempts                   []attempt
	noReplica                  bool
}

// attempt holds the fields of one attempt's line.
type attempt struct {
	outcome string
	// startDelay is the time from the call's arrival to the start of this attempt;
	// firstPiece from there to the first part of the response.
	startDelay, firstPiece, target time.Duration
	longestPause, pauseTarget      time.Duration
	running, waiting, slots        int
}

// Read adds one node's log. Lines with other messages are ignored.
func (l *Log) Read(r io.Reader) error {
	node := reader{log: l, byID: make(map[string]*callRecord)}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for number := 1; lines.Scan(); number++ {
		f, err := decode(lines.Bytes())
		if err == nil {
			err = node.handle(f)
		}
		if err != nil {
			l.SkippedLines = append(l.SkippedLines, &LineError{number, err})
		}
	}
	return lines.Err()
}

// decode parses the keys and values of a line.
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
	byID       map[string]*callRecord
}

// lastField maps a message to the last field of its line. A line without that field was
// truncated.
var lastField = map[string]string{"attempt": "outcome", "no replica": "err", "inventory": "domains"}

// handle processes one line.
func (r *reader) handle(f fields) error {
	last, known := lastField[f["msg"]]
	if _, complete := f[last]; known && !complete {
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

// call returns the record of the call that the line belongs to, and creates it if needed.
// The call arrived before the line was logged, by the sum of the durations in elapsed.
func (r *reader) call(f fields, elapsed ...string) (*callRecord, error) {
	if c := r.byID[f["request"]]; c != nil {
		return c, nil
	}
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil {
		return nil, errors.Wrap(err, "time")
	}
	for _, text := range elapsed {
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, errors.Wrap(err, "age")
		}
		at = at.Add(-d)
	}
	c := &callRecord{request: f["request"], node: r.node, zone: r.zone, group: f["group"], at: at}
	r.byID[c.request] = c
	r.log.calls = append(r.log.calls, c)
	return c, nil
}

func (r *reader) attempt(f fields) error {
	a := attempt{outcome: f["outcome"]}
	var err error
	for key, field := range map[string]*time.Duration{"waited": &a.startDelay, "first": &a.firstPiece, "target": &a.target, "pause": &a.longestPause, "pause_target": &a.pauseTarget} {
		if f[key] == "" {
			continue
		}
		if *field, err = time.ParseDuration(f[key]); err != nil {
			return errors.Wrap(err, key)
		}
	}
	for key, field := range map[string]*int{"running": &a.running, "waiting": &a.waiting, "slots": &a.slots} {
		if f[key] == "" {
			continue
		}
		if *field, err = strconv.Atoi(f[key]); err != nil {
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

// inventory sums the counts of all domains of a line, such as
// "d0:held=1,free=3,cold=6,loading=8 d1:held=...".
func (r *reader) inventory(f fields) error {
	at, err := time.Parse(time.RFC3339Nano, f["time"])
	if err != nil {
		return errors.Wrap(err, "time")
	}
	inv := Inventory{At: at}
	counters := map[string]*int{"held": &inv.Held, "free": &inv.Free, "cold": &inv.Cold, "loading": &inv.Loading}
	for _, domain := range strings.Fields(f["domains"]) {
		_, counts, _ := strings.Cut(domain, ":")
		for _, count := range strings.Split(counts, ",") {
			name, text, _ := strings.Cut(count, "=")
			n, err := strconv.Atoi(text)
			if err != nil || counters[name] == nil {
				return errors.Errorf("domains: invalid count %q", count)
			}
			*counters[name] += n
		}
	}
	r.log.inventories = append(r.log.inventories, inv)
	return nil
}

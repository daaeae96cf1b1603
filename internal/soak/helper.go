package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/platform"
	"github.com/fennelcourse/fennelcourse/platform/standin"
)

// helperEnv is the environment variable that makes a program run as a helper process of a soak.
const helperEnv = "FENNEL_SOAK_HELPER"

// helperTask is the value of helperEnv, as JSON. A helper either runs the VMs of one failure domain
// or, if it has none, keeps a processor busy.
type helperTask struct {
	Store, Zone, Domain string
	VMs                 []string
}

// RunHelper turns the program into a helper process if a soak started it as one; it does not return
// then. Each program that runs soaks with silent servers calls it before anything else.
func RunHelper() {
	text := os.Getenv(helperEnv)
	if text == "" {
		return
	}
	var task helperTask
	if err := json.Unmarshal([]byte(text), &task); err != nil {
		fmt.Fprintln(os.Stderr, "helper:", err)
		os.Exit(2)
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin) // ends with the soak, however that ends
		os.Exit(0)
	}()
	if len(task.VMs) == 0 {
		for n := 0; ; n++ { // keeps the processor busy
		}
	}
	if err := task.serve(); err != nil {
		fmt.Fprintln(os.Stderr, "helper:", err)
		os.Exit(1)
	}
	select {}
}

// serve starts the VMs. They print what they observe as one line of JSON each.
func (t helperTask) serve() error {
	shape := silentServers()
	out := json.NewEncoder(os.Stdout)
	var mu sync.Mutex
	shape.Observe = func(o standin.Observation) {
		mu.Lock()
		defer mu.Unlock()
		_ = out.Encode(o) // the soak fails if it cannot read it
	}
	fleet := standin.NewFleet(platform.NewKV(t.Store), shape)
	for _, id := range t.VMs {
		if _, err := fleet.Add(id, "models", t.Zone, t.Domain); err != nil {
			return err
		}
	}
	return nil
}

// silentServers returns the options of the VMs that fall silent. Their streams take 1.5 s, and their
// leases outlast a silence.
func silentServers() standin.Options {
	shape := standin.DefaultOptions()
	shape.Events, shape.EventInterval, shape.LeaseTTL = streamEvents, 50*time.Millisecond, 3*time.Second
	shape.Slots = 6 // some replicas are full while others are silent
	return shape
}

// helper is a helper process of the soak.
type helper struct {
	name    string
	process *os.Process
	logPath string
}

func startHelper(dir, name string, task helperTask) (*helper, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(task)
	if err != nil {
		return nil, err
	}
	h := &helper{name: name, logPath: filepath.Join(dir, name+".log")}
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), helperEnv+"="+string(text))
	cmd.Stdout, cmd.Stderr = log, log
	if _, err := cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = cmd.Wait() }() // kill ends it
	h.process = cmd.Process
	return h, nil
}

func (h *helper) signal(s syscall.Signal) { _ = h.process.Signal(s) }

// kill ends the process. It also ends one that is stopped.
func (h *helper) kill() { h.signal(syscall.SIGKILL) }

// observed returns what the servers of the process observed.
func (h *helper) observed() (all []standin.Observation, err error) {
	text, err := os.ReadFile(h.logPath)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		var o standin.Observation
		if err := json.Unmarshal([]byte(line), &o); err != nil {
			return nil, errors.Wrapf(err, "%s: %q", h.logPath, line)
		}
		all = append(all, o)
	}
	return all, nil
}

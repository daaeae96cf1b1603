package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// node is a daemon that runs as a separate process and reaches the store through a proxy.
type node struct {
	name, zone                    string
	binary, settingsPath, logPath string
	store                         *Proxy
	memoryMB                      int
	// seeds are the addresses of the feeds that the node follows; empty if it watches the store itself.
	seeds []string

	mu               sync.Mutex
	callers, metrics string
	process          *os.Process // nil while no process runs
	// exited is closed when the process has exited; err is then its exit status.
	exited chan struct{}
	err    error
	// exitExpected is set before the soak itself ends the process.
	exitExpected bool
	// unexpectedExits lists the exits that the soak did not cause.
	unexpectedExits []string
}

// newNode creates a node that follows the feeds at the seeds, if there are any, and writes its settings file.
// It starts no process.
func newNode(dir, binary, name, zone, storeAddr string, memoryMB int, seeds []string) (*node, error) {
	proxy, err := NewProxy(storeAddr)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, zone: zone, binary: binary, store: proxy, memoryMB: memoryMB, seeds: seeds, settingsPath: filepath.Join(dir, name+".yaml"), logPath: filepath.Join(dir, name+".log")}
	return n, n.assignAddresses()
}

// assignAddresses picks unused addresses for the node and writes its settings file.
func (n *node) assignAddresses() error {
	callers, err := freeAddr()
	if err != nil {
		return err
	}
	ready, err := freeAddr()
	if err != nil {
		return err
	}
	metrics, err := freeAddr()
	if err != nil {
		return err
	}
	text := fmt.Sprintf("node: %s\nzone: %s\nregion: here\nlisten: {callers: %q, ready: %q, metrics: %q}\nplatform: {driver: managed, address: %q}\n"+
		"retries: {ratio: 0.2, slack: 100}\nprocess: {first_start: true, grace: 8s, memory_mb: %d}\ndrain: {notice: 300ms}\n", n.name, n.zone, callers, ready, metrics, n.store.Addr(), n.memoryMB)
	if len(n.seeds) > 0 {
		feed, err := freeAddr()
		if err != nil {
			return err
		}
		text += fmt.Sprintf("feeds: {listen: %q, seeds: [\"%s\"]}\n", feed, strings.Join(n.seeds, `", "`))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.callers, n.metrics = callers, metrics
	return os.WriteFile(n.settingsPath, []byte(text), 0o600)
}

// listenAddr returns the address on which the node accepts callers' requests.
func (n *node) listenAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callers
}

// metricsAddr returns the address at which the node serves its metrics.
func (n *node) metricsAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.metrics
}

// freeAddr returns a loopback address on which no process listens at present.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// start starts the node's process. It does nothing if the process runs already: two
// overlapping faults may both have ended it, and each starts it again.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.binary, "--settings", n.settingsPath)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	n.process, n.exited, n.exitExpected = cmd.Process, make(chan struct{}), false
	size, _ := log.Seek(0, io.SeekEnd) // 0 for a new log file
	go n.awaitExit(cmd, log, size)
	return nil
}

// restartDelay is the time that the platform waits before it restarts a process.
const restartDelay = 100 * time.Millisecond

// awaitExit waits for the process to exit and restarts it after an unexpected exit,
// as the platform does. An unexpected exit is a finding only if the process had begun
// to serve: a signal that arrives before the program runs ends the process regardless
// of what the program does.
func (n *node) awaitExit(cmd *exec.Cmd, log *os.File, from int64) {
	err := cmd.Wait()
	_ = log.Close()
	n.mu.Lock()
	n.process, n.err = nil, err
	unexpected := !n.exitExpected
	if unexpected && n.logContains(from, "msg=serving") {
		n.unexpectedExits = append(n.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", n.name, err))
	}
	close(n.exited)
	n.mu.Unlock()
	if unexpected {
		if n.logContains(from, "address already in use") {
			_ = n.assignAddresses() // another program took the address; if this fails, so does the next start
		}
		time.Sleep(restartDelay)
		_ = n.start() // a node that fails to start is reported by awaitServing
	}
}

// logContains reports whether the log contains the text after an offset.
func (n *node) logContains(offset int64, text string) bool {
	log, err := os.ReadFile(n.logPath)
	return err == nil && offset <= int64(len(log)) && bytes.Contains(log[offset:], []byte(text))
}

// expectExit marks the next exit of the process as expected.
func (n *node) expectExit() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.exitExpected = true
}

// signal sends a signal to the node's process, if one runs.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		_ = n.process.Signal(s) // the process may have exited already
	}
}

// wait waits until the process has exited and returns its exit status.
func (n *node) wait(timeout time.Duration) error {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.err
	case <-time.After(timeout):
		return errors.Errorf("%s still runs after %s", n.name, timeout)
	}
}

// kill ends the process with SIGKILL and waits until it has exited.
func (n *node) kill() {
	n.expectExit()
	n.signal(syscall.SIGCONT) // resumes a paused process, so that its exit is observed
	n.signal(syscall.SIGKILL)
	_ = n.wait(killTimeout) // the status of a killed process is always an error
}

// killTimeout limits the wait for a killed process to exit.
const killTimeout = 5 * time.Second

// stop shuts the node down with SIGTERM. It returns an error if the process does not
// exit in time or exits with an error.
func (n *node) stop(timeout time.Duration) error {
	n.expectExit()
	n.signal(syscall.SIGTERM)
	if err := n.wait(timeout); err != nil {
		return errors.Wrapf(err, "graceful stop of %s", n.name)
	}
	return nil
}

// logShowsCrash reports whether the node's log contains a panic, a fatal error of the
// Go runtime or a data race.
func (n *node) logShowsCrash() bool {
	text, err := os.ReadFile(n.logPath)
	return err == nil && slices.ContainsFunc([]string{"panic:", "msg=panic", "fatal error:", "DATA RACE"}, func(sign string) bool { return bytes.Contains(text, []byte(sign)) })
}

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of a node, the same on each of them. Each node has a loopback address of its own.
type ports struct{ callers, ready, metrics, datagrams, feeds int }

// node is one daemon that runs as a process of its own.
type node struct {
	name, ip string
	ports    ports
	cmd      *exec.Cmd
	exited   chan struct{}
	// ended is set once the process has ended.
	ended atomic.Bool
	// peakKB is the most memory that the process was seen to take.
	peakKB atomic.Int64
}

const settingsTemplate = `node: %[1]q
zone: "zone-%[2]d"
region: "region"
listen:
  callers: "%[3]s:%[4]d"
  ready: "%[3]s:%[5]d"
  metrics: "%[3]s:%[6]d"
  datagrams: "%[3]s:%[7]d"
platform:
  driver: managed
  address: %[8]q
feeds:
  listen: "%[3]s:%[9]d"
  seeds: [%[10]s]
retries:
  ratio: 0.2
  slack: 132
  window: 10s
process:
  memory_mb: %[11]d
  first_start: true
  grace: 8s
drain:
  notice: 2500ms
`

// startNodes starts the daemons with settings like those of a small deployment, and waits until
// they are ready.
func (s *stage) startNodes(count int) error {
	var ips []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	p, err := freePorts(ips)
	if err != nil {
		return err
	}
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ip, p.feeds)))
	}
	for i, ip := range ips {
		n := &node{name: fmt.Sprintf("front-%d", i), ip: ip, ports: p, exited: make(chan struct{})}
		text := fmt.Sprintf(settingsTemplate, n.name, i, ip, p.callers, p.ready, p.metrics, p.datagrams, s.addr, p.feeds, strings.Join(seeds[:min(3, count)], ", "), memoryMB)
		settings := filepath.Join(s.dir, n.name+".yaml")
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := n.start(s.daemon, settings); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		s.record("node started", "node", n.name, "callers", n.callers())
	}
	for _, n := range s.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// freePorts returns ports that are free on each of the addresses.
func freePorts(ips []string) (ports, error) {
	var found []int
	for tries := 0; len(found) < 5 && tries < 200; tries++ {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return ports{}, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := true
		for _, ip := range ips {
			other, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		if free {
			found = append(found, port)
		}
	}
	if len(found) < 5 {
		return ports{}, fmt.Errorf("no free ports")
	}
	return ports{found[0], found[1], found[2], found[3], found[4]}, nil
}

// start starts the process with the command of the deploy file, which has no arguments. The
// platform names the settings file in a variable.
func (n *node) start(daemon, settings string) error {
	n.cmd = exec.Command(daemon)
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FENNELCOURSE_NODE_FILE=" + settings}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(strings.TrimSuffix(settings, ".yaml") + ".log")
	if err != nil {
		return err
	}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = n.cmd.Wait() // kill ends it
		n.ended.Store(true)
		_ = log.Close()
		close(n.exited)
	}()
	return nil
}

func (n *node) callers() string { return net.JoinHostPort(n.ip, strconv.Itoa(n.ports.callers)) }

func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

func (n *node) awaitReady() error {
	url := fmt.Sprintf("http://%s:%d/-/readyz", n.ip, n.ports.ready)
	for range 150 {
		resp, err := http.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", n.name)
}

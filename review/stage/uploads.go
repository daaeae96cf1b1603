package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// allCallers are the clients of the small deployment. smallCallers of them send small payments, the
	// others such as have the largest body that the configuration allows.
	allCallers   = 92
	smallCallers = 10
	uploadBytes  = 4 << 20
	uploadPause  = 500 * time.Millisecond
	smallPause   = 40 * time.Millisecond
	// uploadPace is a caller's share of the link of one machine, 1,500 Mbit/s.
	uploadPace  = 1500 * 1000 * 1000 / 8 / allCallers
	uploadNodes = 4
	// uploadTime is how long callers go on after the loss of machines.
	uploadTime = 20 * time.Second
	// rotationTime is how long it takes the platform to leave out a machine that does not answer.
	rotationTime = 2 * time.Second
	// memoryPoll is how often the platform looks at a process's memory.
	memoryPoll = 5 * time.Millisecond
)

// uploads counts what callers saw of the machine that is left.
type uploads struct {
	s   *stage
	end time.Time
	// leftOut is when the platform leaves out the lost machines, in nanoseconds.
	leftOut atomic.Int64
	lost    atomic.Int64
	sent    atomic.Int64
	total   atomic.Int64 // answered with success
}

// playUploads has callers send large payments to four machines, three of which are lost.
func playUploads(s *stage, trouble bool) ([]string, error) {
	for i := range 3 {
		if _, err := s.addDesk(fmt.Sprintf("desk-%d", i), "desk", fmt.Sprintf("zone-%d", i), 300*time.Millisecond, 800); err != nil {
			return nil, err
		}
	}
	if _, err := s.putConfig(config(1, []string{plainRoute("pay", "/pay/", "desk")}, []string{service("desk", "")}, limits, tenants)); err != nil {
		return nil, err
	}
	if err := s.startNodes(uploadNodes); err != nil {
		return nil, err
	}
	for _, n := range s.nodes {
		go s.enforceMemory(n)
	}
	u := &uploads{s: s, end: time.Now().Add(4*time.Second + uploadTime)}
	var callers sync.WaitGroup
	small := request{method: http.MethodPost, uri: "/pay/7", key: "k1", body: []byte(`{"amount":40}`), deadline: 4 * time.Second}
	large := small
	large.body, large.pace = make([]byte, uploadBytes), uploadPace
	for i := range allCallers {
		callers.Go(func() {
			if i < smallCallers {
				u.send(s.nodes[i%uploadNodes], small, smallPause)
			} else {
				u.send(s.nodes[i%uploadNodes], large, uploadPause)
			}
		})
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	if trouble {
		u.leftOut.Store(time.Now().Add(rotationTime).UnixNano())
		for _, n := range s.nodes[1:] {
			s.record("machine lost", "node", n.name)
			n.kill()
		}
	}
	callers.Wait()
	left := s.nodes[0]
	s.record("counted", "sent_to_the_first_machine", u.sent.Load(), "answered", u.total.Load(), "process_ended", left.ended.Load(), "run_and_not_answered", u.lost.Load(), "peak_kb", left.peakKB.Load())
	if u.lost.Load() > lostAllowance {
		return []string{fmt.Sprintf("the last process took more than its %d MB; %d payments from kept connections ran at a sound server and got no answer", memoryMB, u.lost.Load())}, nil
	}
	if u.total.Load() == 0 {
		return nil, fmt.Errorf("no payment was answered")
	}
	return nil, nil
}

// send sends one payment after the other over a kept connection: to the caller's machine, and to the
// first machine once the platform has left out the caller's.
func (u *uploads) send(n *node, r request, pause time.Duration) {
	first := u.s.nodes[0]
	client := newKeepingClient()
	for time.Now().Before(u.end) && !first.ended.Load() {
		if n.ended.Load() {
			time.Sleep(time.Until(time.Unix(0, u.leftOut.Load())))
			n, client = first, newKeepingClient()
		}
		u.count(n, u.s.call(client, n, r))
		time.Sleep(pause)
	}
}

func (u *uploads) count(n *node, a answer) {
	if n != u.s.nodes[0] {
		return
	}
	u.sent.Add(1)
	switch {
	case a.status == http.StatusOK:
		u.total.Add(1)
	case a.status == 0 && a.kept && u.s.hasRun(a.id):
		u.lost.Add(1)
		u.s.record("run and not answered", "request", a.id)
	}
}

// enforceMemory ends the process once it takes more memory than its machine gives it, as the platform
// does.
func (s *stage) enforceMemory(n *node) {
	for ; !n.ended.Load(); time.Sleep(memoryPoll) {
		kb := residentKB(n.cmd.Process.Pid) + n.unreadKB()
		n.peakKB.Store(max(kb, n.peakKB.Load()))
		if kb > memoryMB<<10 {
			s.record("memory over the limit", "node", n.name, "kb", kb)
			n.kill()
		}
	}
}

// socketEstablished is the state of an open connection in /proc/net/tcp.
const socketEstablished = "01"

// unreadKB returns what callers have sent to the node and it has not read, which counts as its memory.
func (n *node) unreadKB() int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(n.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], n.ports.callers)
	var sum int64
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] != socketEstablished {
			continue
		}
		if _, unread, found := strings.Cut(fields[4], ":"); found {
			bytes, _ := strconv.ParseInt(unread, 16, 64) // 0 if malformed
			sum += bytes
		}
	}
	return sum >> 10
}

// residentKB returns the memory of a process, or 0 if it has ended.
func residentKB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize()) >> 10
}

package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Shape of the load of Options.Uploads: the size of bodies and of answers, the pause of a caller
// between two calls, and how a slow caller reads. uploadPace is bytes per second and caller.
const (
	uploadBytes, uploadAnswer = 4 << 20, 512 << 10
	uploadPace                = 2 << 20
	uploadStep                = 64 << 10
	uploadPause               = 500 * time.Millisecond
	slowStep, slowPause       = 4 << 10, 250 * time.Millisecond
	slowTime                  = 3500 * time.Millisecond // longer than packets may stay unacknowledged
	uploadDeadline            = 8 * time.Second
	memoryPollInterval        = 5 * time.Millisecond
)

// uploads are callers that send large bodies to all nodes at once. Every fourth reads its answer
// slowly.
type uploads struct {
	env                     *Environment
	answered, refused, slow atomic.Int64
	mu                      sync.Mutex
	findings                []string
	connections             sync.WaitGroup
	peakKB                  atomic.Int64
	ended                   chan struct{}
}

func (env *Environment) startUploads(count int) *uploads {
	u := &uploads{env: env, ended: make(chan struct{})}
	for i := range count {
		u.connections.Go(func() { u.run(i) })
	}
	if env.opts.MemoryMB > 0 {
		for _, n := range env.nodes {
			u.connections.Go(func() { u.watchMemory(n) })
		}
	}
	return u
}

// stop ends the callers and records the results.
func (u *uploads) stop(result *Result) {
	close(u.ended)
	u.connections.Wait()
	result.Uploads, result.RefusedUploads, result.SlowAnswers, result.PeakKB = u.answered.Load(), u.refused.Load(), u.slow.Load(), u.peakKB.Load()
	result.Findings = append(result.Findings, u.findings...)
	if u.answered.Load() == 0 {
		result.Findings = append(result.Findings, "no large body was answered with status 200")
	}
}

func (u *uploads) find(format string, args ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.findings = append(u.findings, fmt.Sprintf(format, args...))
}

func (u *uploads) run(i int) {
	n := u.env.nodes[i%len(u.env.nodes)]
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(uploadStep) // a slow reader's window closes early
		}
		return conn, err
	}
	transport := &http.Transport{DialContext: dial}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * uploadDeadline}
	for call := 0; ; call++ {
		if err := u.send(client, n, fmt.Sprintf("upload-%d-%d", i, call), i%4 == 0); err != nil {
			u.find("%v", err)
		}
		select {
		case <-u.ended:
			return
		case <-time.After(uploadPause):
		}
	}
}

// send sends one large body. It returns an error if the outcome violates a guarantee.
func (u *uploads) send(client *http.Client, n *node, id string, slowly bool) error {
	body := &pacedReader{Reader: bytes.NewReader(make([]byte, uploadBytes))}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/pay/1?answer_bytes=%d", n.listenAddr(), uploadAnswer), body)
	if err != nil {
		return err
	}
	req.ContentLength, req.Host = uploadBytes, "a.example"
	setRequestHeaders(req.Header, id, "")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(uploadDeadline.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		if u.env.observed.runsOf(id) > 0 {
			return fmt.Errorf("%s ran and got no response: %w", id, err)
		}
		return nil // the refusal may be lost as its connection closes
	}
	defer func() { _ = resp.Body.Close() }()
	for end := time.Now().Add(slowTime); slowly && resp.StatusCode == http.StatusOK && time.Now().Before(end); time.Sleep(slowPause) {
		if _, err := io.CopyN(io.Discard, resp.Body, slowStep); err != nil {
			return fmt.Errorf("%s, read slowly: %w", id, err)
		}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	switch {
	case resp.StatusCode == http.StatusOK && err != nil:
		return fmt.Errorf("%s, slow=%t: %w", id, slowly, err)
	case resp.StatusCode == http.StatusOK:
		u.answered.Add(1)
		if slowly {
			u.slow.Add(1)
		}
	case reportsNotExecuted(Call{Status: resp.StatusCode}):
		u.refused.Add(1)
		if runs := u.env.observed.runsOf(id); runs > 0 {
			return fmt.Errorf("%s was refused with status %d as not executed, but was executed %d times", id, resp.StatusCode, runs)
		}
	}
	return nil
}

// pacedReader reads at uploadPace.
type pacedReader struct{ *bytes.Reader }

// Read implements io.Reader.
func (r *pacedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), uploadStep)])
	time.Sleep(time.Duration(n) * time.Second / uploadPace)
	return n, err
}

// WriteTo hides the method of bytes.Reader, which writes everything at once.
func (r *pacedReader) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{r})
}

// watchMemory records the most memory that a node takes, and finds a node that takes more than
// its limit.
func (u *uploads) watchMemory(n *node) {
	for over := false; ; {
		n.mu.Lock()
		process := n.process
		n.mu.Unlock()
		if process != nil {
			kb := residentKB(process.Pid) + queuedKB(n.listenAddr())
			u.peakKB.Store(max(u.peakKB.Load(), kb))
			if !over && kb > int64(u.env.opts.MemoryMB)<<10 {
				over = true
				u.find("%s takes %d kB of memory, more than %d MB", n.name, kb, u.env.opts.MemoryMB)
			}
		}
		select {
		case <-u.ended:
			return
		case <-time.After(memoryPollInterval):
		}
	}
}

// residentKB returns the resident memory of a process, or 0 if it has ended.
func residentKB(pid int) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid)) // empty if the process has ended
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 10
}

// queuedKB returns what waits in the kernel on the connections of a listener, in both directions.
func queuedKB(addr string) int64 {
	data, _ := os.ReadFile("/proc/net/tcp")
	host, port, _ := net.SplitHostPort(addr)
	number, _ := strconv.Atoi(port)
	ip := net.ParseIP(host).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
	const established = "01"
	var sum int64
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] != established {
			continue
		}
		unsent, unread, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{unsent, unread} {
			n, _ := strconv.ParseInt(queue, 16, 64) // 0 if malformed
			sum += n
		}
	}
	return sum >> 10
}

// Package stoptest runs a test in a process that is stopped by a signal for a while, so that it
// wakes with its timers due and with unread data.
package stoptest

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	childEnv = "FENNEL_STOPTEST"
	// answersFD and readyFD are the child's ends of its two pipes.
	answersFD, readyFD = 3, 4
	// maxAnswers is the number of bytes that arrive while the child is stopped.
	maxAnswers = 64
	// stopPollInterval is how often the parent looks whether the child is stopped.
	stopPollInterval = time.Millisecond
)

// Child is the process that is stopped.
type Child struct {
	// Answers holds a few bytes, which arrive during the stop. Its reads may have deadlines.
	Answers *os.File
	ready   *os.File
}

// Stop stops the process until the pause is over.
func (c *Child) Stop() {
	_ = c.ready.Close()
	_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
}

// Run runs the body of the calling test in a process that is stopped for the pause when it
// calls Stop, and fails if the body does.
func Run(t *testing.T, pause time.Duration, body func(c *Child)) {
	t.Helper()
	if os.Getenv(childEnv) == t.Name() {
		require.NoError(t, syscall.SetNonblock(answersFD, true))
		body(&Child{Answers: os.NewFile(answersFD, "answers"), ready: os.NewFile(readyFD, "ready")})
		return
	}
	answersR, answersW, err := os.Pipe()
	require.NoError(t, err)
	defer answersW.Close()
	readyR, readyW, err := os.Pipe()
	require.NoError(t, err)
	defer readyR.Close()
	cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
	cmd.Env = append(os.Environ(), childEnv+"="+t.Name())
	cmd.ExtraFiles = []*os.File{answersR, readyW}
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &out
	require.NoError(t, cmd.Start())
	require.NoError(t, answersR.Close())
	require.NoError(t, readyW.Close())
	_, err = io.ReadAll(readyR) // ends when the child closes its end
	require.NoError(t, err)
	for !isStopped(cmd.Process.Pid) {
		time.Sleep(stopPollInterval)
	}
	_, err = answersW.Write(make([]byte, maxAnswers))
	require.NoError(t, err)
	time.Sleep(pause)
	require.NoError(t, cmd.Process.Signal(syscall.SIGCONT))
	require.NoError(t, cmd.Wait(), "%s", &out)
}

// isStopped reports whether a process is stopped, or gone.
func isStopped(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(state, "T") || strings.HasPrefix(state, "Z")
}

// AwaitAnswer waits for one of the Answers, as a dial or a read waits for its peer. It reports false if
// done is closed before.
func (c *Child) AwaitAnswer(done <-chan struct{}) bool {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-done:
			_ = c.Answers.SetReadDeadline(time.Unix(1, 0))
		case <-stop:
		}
	}()
	n, _ := c.Answers.Read(make([]byte, 1))
	return n == 1
}

package e2e

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// mark stands in everything that must not get into a log.
const mark = "xyzzy-mark"

// Logs are kept for months and read by many. A caller's token, the key of a
// booking, or what a customer asked must not be found there, whatever went wrong
// with the request; an operator would notice when somebody uses the token.
func TestLogsTellNoSecrets(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.engine("serra-a", "rack-1", "--token-interval", "5ms", "--can-continue")
		s.engine("serra-a", "rack-2", "--token-interval", "5ms", "--can-continue")
	}
	s.service("serra-a", "caixa")
	s.publish()
	const debug = "log: {level: debug}\n"
	n := s.startNode("serra-a-1", "serra-a", "", debug)
	s.startNode("serra-a-2", "serra-a", "", debug)
	s.apply(fitRules)
	s.awaitWhole(n, 2)
	s.awaitServing(n)

	chat := func(content string, stream bool, event func()) reply {
		body := fmt.Sprintf(`{"model":"assistente-fit","stream":%t,"max_tokens":60,"user":%q,"messages":[{"role":"user","content":%q}]}`, stream, mark, content)
		return s.call(n, http.MethodPost, engine.ChatPath+"?q="+mark, body, event, "X-Note", mark)
	}
	require.Equal(t, http.StatusOK, chat(mark, false, nil).status)
	require.Equal(t, http.StatusOK, chat(mark, true, func() { s.engines[s.runningOn()].kill() }).status)
	for _, body := range []string{`{"model":"assistente-fit","messages":"` + mark + `"}`, `{"` + mark, `{"model":"assistente-fit","` + mark + `":[}`} {
		require.Equal(t, http.StatusBadRequest, s.call(n, http.MethodPost, engine.ChatPath+"?q="+mark, body, nil).status)
	}
	deposit := `{"card":"` + mark + `"}`
	for _, headers := range [][]string{
		{"Idempotency-Key", mark},
		{"Idempotency-Key", mark}, // replayed
		{},
		{"Authorization", "Bearer " + mark},
		{"Authorization", mark},
	} {
		s.call(n, http.MethodPost, "/deposits/42?q="+mark, deposit, nil, headers...)
	}
	s.call(n, http.MethodPost, "/deposits/42?q="+mark, deposit+" ", nil, "Idempotency-Key", mark) // key reused
	for _, n := range s.nodes {
		n.signal(syscall.SIGHUP)
		n.await("msg=reloaded")
		n.signal(syscall.SIGTERM)
		<-n.done
		require.Zero(t, n.cmd.ProcessState.ExitCode())
		for line := range strings.Lines(n.tail(1 << 20)) {
			checkLine(t, strings.TrimSpace(line), mark, token, s.secret)
		}
	}
}

var (
	logLine = regexp.MustCompile(`^time=\S+ level=(DEBUG|INFO|WARN|ERROR) msg=`)
	logPair = regexp.MustCompile(`([A-Za-z_.]+)=("(?:[^"\\]|\\.)*"|\S*)(?: |$)`)
)

// checkLine wants one line of key=value pairs, each key once, without secrets.
func checkLine(t *testing.T, line string, secrets ...string) {
	t.Helper()
	for _, secret := range secrets {
		require.NotContains(t, line, secret)
	}
	require.Regexp(t, logLine, line)
	require.Empty(t, logPair.ReplaceAllString(line, ""), "not key=value: %s", line)
	seen := map[string]bool{}
	for _, pair := range logPair.FindAllStringSubmatch(line, -1) {
		require.False(t, seen[pair[1]], "%s stands twice: %s", pair[1], line)
		seen[pair[1]] = true
	}
}

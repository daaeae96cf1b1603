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

// secretMarker is part of everything that must not get into a log.
const secretMarker = "xyzzy-mark"

// Logs are kept for months and read by many people. They must not contain a caller's
// token, an idempotency key or the content of a request, also not when a request fails;
// otherwise a leak shows only when somebody uses the token.
func TestLogsContainNoSecrets(t *testing.T) {
	s := newSystem(t)
	for range 2 {
		s.startEngine("serra-a", "rack-1", "--token-interval", "5ms", "--can-continue")
		s.startEngine("serra-a", "rack-2", "--token-interval", "5ms", "--can-continue")
	}
	s.startService("serra-a", "caixa")
	s.publish()
	const debug = "log: {level: debug}\n"
	n := s.startNode("serra-a-1", "serra-a", "", debug)
	s.startNode("serra-a-2", "serra-a", "", debug)
	s.applyRules(baseRules)
	s.awaitHealthy(n, 2)
	s.awaitServing(n)

	chat := func(content string, stream bool, event func()) reply {
		body := fmt.Sprintf(`{"model":"assistente-fit","stream":%t,"max_tokens":60,"user":%q,"messages":[{"role":"user","content":%q}]}`, stream, secretMarker, content)
		return s.call(n, http.MethodPost, engine.ChatPath+"?q="+secretMarker, body, event, "X-Note", secretMarker)
	}
	require.Equal(t, http.StatusOK, chat(secretMarker, false, nil).status)
	require.Equal(t, http.StatusOK, chat(secretMarker, true, func() { s.engines[s.runningOn()].kill() }).status)
	for _, body := range []string{`{"model":"assistente-fit","messages":"` + secretMarker + `"}`, `{"` + secretMarker, `{"model":"assistente-fit","` + secretMarker + `":[}`} {
		require.Equal(t, http.StatusBadRequest, s.call(n, http.MethodPost, engine.ChatPath+"?q="+secretMarker, body, nil).status)
	}
	deposit := `{"card":"` + secretMarker + `"}`
	for _, headers := range [][]string{
		{"Idempotency-Key", secretMarker},
		{"Idempotency-Key", secretMarker}, // replayed
		{},
		{"Authorization", "Bearer " + secretMarker},
		{"Authorization", secretMarker},
	} {
		s.call(n, http.MethodPost, "/deposits/42?q="+secretMarker, deposit, nil, headers...)
	}
	s.call(n, http.MethodPost, "/deposits/42?q="+secretMarker, deposit+" ", nil, "Idempotency-Key", secretMarker) // key reused
	for _, n := range s.nodes {
		n.signal(syscall.SIGHUP)
		n.await("msg=reloaded")
		n.signal(syscall.SIGTERM)
		<-n.done
		require.Zero(t, n.cmd.ProcessState.ExitCode())
		for line := range strings.Lines(n.tail(1 << 20)) {
			checkLine(t, strings.TrimSpace(line), secretMarker, token, s.secret)
		}
	}
}

var (
	logLine = regexp.MustCompile(`^time=\S+ level=(DEBUG|INFO|WARN|ERROR) msg=`)
	logPair = regexp.MustCompile(`([A-Za-z_.]+)=("(?:[^"\\]|\\.)*"|\S*)(?: |$)`)
)

// checkLine requires one line of key=value pairs, each key at most once, without secrets.
func checkLine(t *testing.T, line string, secrets ...string) {
	t.Helper()
	for _, secret := range secrets {
		require.NotContains(t, line, secret)
	}
	require.Regexp(t, logLine, line)
	require.Empty(t, logPair.ReplaceAllString(line, ""), "not key=value: %s", line)
	seen := map[string]bool{}
	for _, pair := range logPair.FindAllStringSubmatch(line, -1) {
		require.False(t, seen[pair[1]], "key %s occurs twice: %s", pair[1], line)
		seen[pair[1]] = true
	}
}

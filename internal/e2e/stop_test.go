package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

func TestPlannedStopAnswersRequestWhoseHeaderArrivesAcrossNotice(t *testing.T) {
	s, _ := smallSystem(t)
	n := s.nodes[0]
	conn, err := net.Dial("tcp", n.callers)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n", engine.ChatPath, n.callers)
	require.NoError(t, err)
	n.signal(syscall.SIGTERM)
	n.await(`msg=connections .*step=shutdown`)
	body := chatBody(8, true)
	_, err = fmt.Fprintf(conn, "Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", token, len(body), body)
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "no answer")
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.True(t, res.Close)
	_, complete := streamText(string(answer))
	require.True(t, complete)
	<-n.done
	require.Zero(t, n.cmd.ProcessState.ExitCode())
}

package etcdgw_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdgw"
)

// Guards against a status of zero that counts as an answer of the gateway.
func TestStatusZeroAnswersNoCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nContent-Type: application/json\r\nContent-Length: 63\r\n\r\n"+
				`{"header":{"revision":"7"},"succeeded":true,"ID":"1","TTL":"9"}`)
			_ = conn.Close()
		}
	}()
	c := etcdgw.New(etcdgw.Options{Endpoints: []string{"http://" + listener.Addr().String()}, Timeout: time.Second})
	_, _, err = c.Get(t.Context(), "k")
	require.Error(t, err)
	_, err = c.Range(t.Context(), "k", store.RangeOptions{})
	require.Error(t, err)
	_, err = c.Grant(t.Context(), time.Second)
	require.Error(t, err)
	_, err = c.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put("k", nil, 0)}})
	failure, ok := errors.Into[*store.Error](err)
	require.True(t, ok, "%v", err)
	require.Equal(t, store.Unknown, failure.Outcome)
}

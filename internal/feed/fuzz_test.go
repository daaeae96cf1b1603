package feed_test

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/feed"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// message returns a message of a feed as sent.
func message(t testing.TB, m *wirepb.FollowResponse) []byte {
	data, err := proto.Marshal(m)
	require.NoError(t, err)
	return append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(data))), data...)
}

// FuzzFollow follows a feed that sends bytes in place of its messages. The follower must not panic, must come
// back, and must not take a copy for newer than its receipt.
func FuzzFollow(f *testing.F) {
	whole := message(f, &wirepb.FollowResponse{Revision: 7, Entries: []*wirepb.FeedEntry{{Key: "servers/a", Value: []byte("x"), ModRevision: 5}}})
	f.Add(200, whole)
	f.Add(200, append(whole, message(f, &wirepb.FollowResponse{Revision: 8, SourceAgeMs: -5000})...))
	f.Add(200, message(f, &wirepb.FollowResponse{Revision: -1, SourceAgeMs: 1 << 62, Entries: []*wirepb.FeedEntry{{Deleted: true}}}))
	f.Add(200, message(f, &wirepb.FollowResponse{Redirect: []string{"", "x", "127.0.0.1:1"}}))
	f.Add(200, []byte{2, 0, 0, 0, 2, '{', '}'})
	f.Add(200, []byte{1, 255, 255, 255, 255})
	f.Add(503, []byte(`{"code":"unavailable"}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			status = http.StatusOK // net/http sends no other final status
		}
		transport := http.RoundTripper(roundTripper(func(r *http.Request) *http.Response {
			w := httptest.NewRecorder()
			w.Header().Set("Content-Type", "application/connect+proto")
			w.WriteHeader(status)
			_, _ = w.Write(body)
			resp := w.Result()
			resp.Request = r
			return resp
		}))
		follower := feed.NewFollowerOn(transport, "", []string{"127.0.0.1:1"}, []string{"servers/"}, slog.New(slog.DiscardHandler))
		defer follower.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		batches := 0
		served := follower.Follow(ctx, func(_ store.WatchBatch, age time.Duration, first bool) {
			require.GreaterOrEqual(t, age, time.Duration(0))
			require.Equal(t, batches == 0, first)
			batches++
		})
		require.NoError(t, ctx.Err())
		require.Equal(t, batches > 0, served)
	})
}

// roundTripper answers a request without a connection.
type roundTripper func(*http.Request) *http.Response

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil {
		_ = r.Body.Close()
	}
	if strings.HasSuffix(r.URL.Host, ":1") {
		return f(r), nil
	}
	return nil, http.ErrServerClosed
}

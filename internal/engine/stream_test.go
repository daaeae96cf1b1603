package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Something between the two ends mixes up two answers on the way, so that the
// answer's header names another request. The user would read advice meant for
// somebody else's boots.
func TestStreamRefusesAnotherRequestsAnswer(t *testing.T) {
	err := streamFrom(t, func(w http.ResponseWriter) {
		w.Header().Set(HeaderRequestID, "another")
		fmt.Fprintf(w, "id: 1\ndata: {}\n\ndata: %s\n\n", DoneMarker)
	})
	mismatch := &MismatchError{}
	require.ErrorAs(t, err, &mismatch)
	require.Equal(t, "another", mismatch.Got)
}

func TestStreamErrors(t *testing.T) {
	cases := map[string]struct {
		answer func(http.ResponseWriter)
		want   any
	}{
		"not started": {func(w http.ResponseWriter) {
			w.Header().Set(HeaderStarted, StartedNo)
			w.WriteHeader(http.StatusServiceUnavailable)
		}, new(*NotStartedError)},
		"failed without a word on starting":     {func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway) }, new(*BrokenError)},
		"read and broken off without an answer": {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, new(*BrokenError)},
		"rejected":                              {func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadRequest) }, new(*RejectedError)},
		"event without id": {func(w http.ResponseWriter) {
			w.Header().Set(HeaderRequestID, "r")
			fmt.Fprintf(w, "data: {}\n\n")
		}, new(*BrokenError)},
		"end marker after a gap": {func(w http.ResponseWriter) {
			w.Header().Set(HeaderRequestID, "r")
			fmt.Fprintf(w, "id: 1\ndata: {}\n\nid: 3\ndata: %s\n\n", DoneMarker)
		}, new(*SequenceError)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.ErrorAs(t, streamFrom(t, c.answer), c.want) })
	}
}

// The backend server is gone. A caller told "not-run" here may safely send again
// elsewhere, so a failed dial must be told apart from a broken answer.
func TestFailedDialIsNotStarted(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	err := stream(strings.TrimPrefix(srv.URL, "http://"))
	notStarted := &NotStartedError{}
	require.ErrorAs(t, err, &notStarted)
}

func streamFrom(t *testing.T, answer func(http.ResponseWriter)) error {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
	defer srv.Close()
	return stream(strings.TrimPrefix(srv.URL, "http://"))
}

func stream(addr string) error {
	s := NewStreamer(NewPools(PoolOptions{}), time.Second)
	return s.Stream(context.Background(), StreamRequest{Addr: addr, Path: ChatPath, RequestID: "r", Body: []byte("{}")},
		func(StreamInfo) {}, func(Event) error { return nil })
}

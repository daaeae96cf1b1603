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

// A proxy can confuse two responses, so that the header names another request. Without
// the check a caller would receive the response meant for another caller.
func TestStreamRejectsResponseToAnotherRequest(t *testing.T) {
	err := streamFromHandler(t, func(w http.ResponseWriter) {
		w.Header().Set(HeaderRequestID, "another")
		fmt.Fprintf(w, "id: 1\ndata: {}\n\ndata: %s\n\n", DoneMarker)
	})
	mismatch := &MismatchError{}
	require.ErrorAs(t, err, &mismatch)
	require.Equal(t, "another", mismatch.Got)
}

func TestStreamErrors(t *testing.T) {
	cases := map[string]struct {
		respond func(http.ResponseWriter)
		want    any
	}{
		"not started": {func(w http.ResponseWriter) {
			w.Header().Set(HeaderStarted, StartedNo)
			w.WriteHeader(http.StatusServiceUnavailable)
		}, new(*NotStartedError)},
		"failed without stating whether it started": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway) }, new(*BrokenError)},
		"connection closed without a response":      {func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, new(*BrokenError)},
		"rejected":                                  {func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadRequest) }, new(*RejectedError)},
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
		t.Run(name, func(t *testing.T) { require.ErrorAs(t, streamFromHandler(t, c.respond), c.want) })
	}
}

// The backend server has stopped. A caller that gets "not-run" may safely retry
// elsewhere, so a failed dial must be distinguished from an incomplete response.
func TestFailedDialIsNotStarted(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	err := streamFromAddr(strings.TrimPrefix(srv.URL, "http://"))
	notStarted := &NotStartedError{}
	require.ErrorAs(t, err, &notStarted)
}

func streamFromHandler(t *testing.T, respond func(http.ResponseWriter)) error {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { respond(w) }))
	defer srv.Close()
	return streamFromAddr(strings.TrimPrefix(srv.URL, "http://"))
}

func streamFromAddr(addr string) error {
	s := NewStreamer(NewPools(PoolOptions{}), time.Second)
	return s.Stream(context.Background(), StreamRequest{Addr: addr, Path: ChatPath, RequestID: "r", Body: []byte("{}")},
		func(StreamInfo) {}, func(Event) error { return nil })
}

package httpserver

import (
	"net/http"
	"sync/atomic"
)

// response adds "Connection: close" to an answer that begins after LastRequests.
type response struct {
	http.ResponseWriter
	last  *atomic.Bool
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	r.begin()
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.begin()
	return r.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (r *response) Flush() { _ = r.FlushError() } // the caller may be gone

// FlushError flushes as http.ResponseController does.
func (r *response) FlushError() error {
	r.begin()
	return http.NewResponseController(r.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *response) begin() {
	if !r.begun && r.last.Load() {
		r.Header().Set("Connection", "close")
	}
	r.begun = true
}

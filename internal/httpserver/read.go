package httpserver

import (
	"context"
	"net/http"
	"time"
)

// EndReadWith has reads of a request's body fail once ctx ends, so that a request whose body is still arriving can
// be refused. The function that it returns cancels that, and reports whether ctx has ended. The request is then to
// be refused even if its body has been read: net/http may have canceled its context, as it reads on after the body.
// A nil context never ends.
func EndReadWith(ctx context.Context, w http.ResponseWriter) (cancel func() (ended bool)) {
	if ctx == nil {
		return func() bool { return false }
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(ended)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // supported by all connections of net/http
	})
	return func() bool {
		if stop() {
			return false
		}
		<-ended
		return true
	}
}

package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fennelcourse/fennelcourse/internal/operator"
	"github.com/fennelcourse/fennelcourse/internal/peer"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb/wirepbconnect"
)

// callersHandler serves callers and the load balancer's health checks.
func (n *Node) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := n.notReadyReason(); reason != "" {
			writeText(w, http.StatusServiceUnavailable, "not ready: "+reason+"\n")
			return
		}
		writeText(w, http.StatusOK, "ok\n")
	})
	mux.Handle("/", n.gateway)
	return mux
}

// controlHandler serves peers, operators and the metrics scraper.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.NewHandler(peerSource{n}, peerSource{n}, peerSource{n}))
	mux.Handle(wirepbconnect.NewOperatorServiceHandler(operator.New(operator.Dependencies{
		Rules: n.rules, Nodes: operatorAPI{n}, Status: operatorAPI{n}, Explain: operatorAPI{n}, Outages: operatorAPI{n},
	})))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		n.writeGauges(w)
	})
	return mux
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text) // the client may be gone
}

// requestIDBytes is large enough that two requests practically never share an ID.
const requestIDBytes = 16

func newRequestID() string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

package entry

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxProofAge bounds the difference between the clock of the node that hands a call over and this
// one's. Clocks may be seconds apart.
const maxProofAge = time.Minute

var unprovedHandOvers = metrics.NewCounter("fennel_entry_unproved_hand_overs_total")

// signHandOver returns the proof that this node hands a call over to the node that takes callers'
// requests at an address, or "" if it has no key.
func (r *regionPeers) signHandOver(callID string, attempts int, to string) string {
	ring := r.ring.Load()
	if ring == nil {
		return ""
	}
	at := time.Now().Unix()
	return fmt.Sprintf("%d.%s", at, ring.Sign(handOverMessage(callID, attempts, to, at)))
}

// isHandOver reports whether another node of the region has handed a call over to this one. Its
// mark alone proves nothing: a caller may set it too.
func (r *regionPeers) isHandOver(callID string, attempts int, proof string) bool {
	if r.verifiesHandOver(callID, attempts, proof, time.Now()) {
		return true
	}
	unprovedHandOvers.Inc()
	return false
}

func (r *regionPeers) verifiesHandOver(callID string, attempts int, proof string, now time.Time) bool {
	seconds, tag, _ := strings.Cut(proof, ".")
	at, err := strconv.ParseInt(seconds, 10, 64)
	ring := r.ring.Load()
	if err != nil || ring == nil || now.Sub(time.Unix(at, 0)).Abs() > maxProofAge {
		return false
	}
	return ring.Verify(handOverMessage(callID, attempts, r.cfg.Listen.Callers, at), tag)
}

// handOverMessage is what a proof signs. It names the node that takes the call, so that the proof
// is none for another.
func handOverMessage(callID string, attempts int, to string, at int64) []byte {
	return fmt.Appendf(nil, "hand over\x00%s\x00%d\x00%s\x00%d", callID, attempts, to, at)
}

package claims

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// digestBytes is how much of a SHA-256 is kept in keys and records: 128 bits.
// Teams can't collide with each other's keys, since the team is hashed too.
const digestBytes = 16

// digest names a call's claim in the store and in logs.
type digest string

func digestOf(call Call) digest {
	h := sha256.New()
	// The length keeps (team "a", key "bc") and (team "ab", key "c") apart.
	fmt.Fprintf(h, "%d:%s%s", len(call.Team), call.Team, call.Key)
	return digest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

func (d digest) storeKey() string { return store.ClaimKey(string(d)) }

// writer identifies the process that made a claim.
type writer struct {
	Node        cluster.NodeID
	Incarnation uint64
}

// writeID is unique over all claims ever made: writer and a running number.
type writeID string

func (w writer) writeID(seq uint64) writeID {
	return writeID(fmt.Sprintf("%s%x", w.prefix(), seq))
}

func (w writer) prefix() string { return fmt.Sprintf("%s/%x/", w.Node, w.Incarnation) }

func (w writer) nodePrefix() string { return string(w.Node) + "/" }

// wrote reports whether this process made the claim.
func (w writer) wrote(id writeID) bool { return strings.HasPrefix(string(id), w.prefix()) }

// wroteEarlier reports whether an earlier process of the same node made the claim.
func (w writer) wroteEarlier(id writeID) bool {
	return strings.HasPrefix(string(id), w.nodePrefix()) && !w.wrote(id)
}

// record is a claim's value in the store. The names are short because the store
// is small and holds one record for every booking of the retention.
type record struct {
	State State   `json:"s"`
	ID    writeID `json:"w"`
	// Body is the start of Call.BodySHA256.
	Body []byte `json:"b"`
	// ClaimedMs is the claimer's wall clock, in Unix milliseconds.
	ClaimedMs int64   `json:"t"`
	Answer    *Answer `json:"a,omitempty"`
}

func newRecord(id writeID, call Call, now time.Time) record {
	return record{State: Pending, ID: id, Body: call.BodySHA256[:digestBytes], ClaimedMs: now.UnixMilli()}
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // no field of a record can fail to encode
	}
	return b
}

func decodeRecord(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r, err
}

func (r record) sameBody(call Call) bool { return bytes.Equal(r.Body, call.BodySHA256[:digestBytes]) }

// bounded cuts an answer to what is kept of it.
func bounded(a Answer) *Answer {
	if len(a.Body) > MaxAnswerBody {
		a.Body, a.BodyOmitted = nil, true
	}
	if len(a.ContentType) > maxContentType {
		a.ContentType = ""
	}
	return &a
}

const maxContentType = 128

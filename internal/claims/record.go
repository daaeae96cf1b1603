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

// digestBytes is the length to which SHA-256 sums are truncated in keys and records:
// 128 bits. The team is part of the hash, so equal keys of two teams don't collide.
const digestBytes = 16

// digest identifies a call's claim in the store and in logs.
type digest string

func digestOf(call Call) digest {
	h := sha256.New()
	// The length prefix gives (team "a", key "bc") and (team "ab", key "c") different
	// digests.
	fmt.Fprintf(h, "%d:%s%s", len(call.Team), call.Team, call.Key)
	return digest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

func (d digest) storeKey() string { return store.ClaimKey(string(d)) }

// processID identifies the process that made a claim.
type processID struct {
	Node        cluster.NodeID
	Incarnation uint64
}

// writeID is unique over all claims: the process that made the claim and a sequence
// number.
type writeID string

func (p processID) writeID(seq uint64) writeID {
	return writeID(fmt.Sprintf("%s%x", p.prefix(), seq))
}

func (p processID) prefix() string { return fmt.Sprintf("%s/%x/", p.Node, p.Incarnation) }

func (p processID) nodePrefix() string { return string(p.Node) + "/" }

// wrote reports whether this process made the claim.
func (p processID) wrote(id writeID) bool { return strings.HasPrefix(string(id), p.prefix()) }

// wroteEarlier reports whether an earlier process of the same node made the claim.
func (p processID) wroteEarlier(id writeID) bool {
	return strings.HasPrefix(string(id), p.nodePrefix()) && !p.wrote(id)
}

// record is a claim's value in the store. The JSON names are short because the store
// is small and holds one record for every call of the retention.
type record struct {
	State State   `json:"s"`
	ID    writeID `json:"w"`
	// Body is the first digestBytes bytes of Call.BodySHA256.
	Body []byte `json:"b"`
	// ClaimedMs is the claiming node's wall clock, in Unix milliseconds.
	ClaimedMs int64   `json:"t"`
	Answer    *Answer `json:"a,omitempty"`
}

func newRecord(id writeID, call Call, now time.Time) record {
	return record{State: Pending, ID: id, Body: call.BodySHA256[:digestBytes], ClaimedMs: now.UnixMilli()}
}

func (r record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // unreachable: every field of a record can be encoded
	}
	return b
}

func decodeRecord(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r, err
}

func (r record) sameBody(call Call) bool { return bytes.Equal(r.Body, call.BodySHA256[:digestBytes]) }

// limitAnswer returns the answer without a body above MaxAnswerBody and without a
// content type above maxContentType.
func limitAnswer(a Answer) *Answer {
	if len(a.Body) > MaxAnswerBody {
		a.Body, a.BodyOmitted = nil, true
	}
	if len(a.ContentType) > maxContentType {
		a.ContentType = ""
	}
	return &a
}

const maxContentType = 128

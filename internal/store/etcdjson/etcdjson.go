// Package etcdjson defines the messages of the etcd v3 JSON gateway that the project
// uses. Keys and values are base64, 64-bit integers are strings, and zero values
// are omitted.
package etcdjson

import (
	"bytes"
	"strconv"
)

// Paths and other fixed strings of the gateway.
const (
	PathRange      = "/v3/kv/range"
	PathPut        = "/v3/kv/put"
	PathTxn        = "/v3/kv/txn"
	PathGrant      = "/v3/lease/grant"
	PathKeepAlive  = "/v3/lease/keepalive"
	PathRevoke     = "/v3/lease/revoke"
	PathRevokeKV   = "/v3/kv/lease/revoke"
	PathWatch      = "/v3/watch"
	PathKVDelete   = "/v3/kv/deleterange"
	ContentType    = "application/json"
	ResultEqual    = "EQUAL"
	TargetCreate   = "CREATE"
	TargetMod      = "MOD"
	TargetLease    = "LEASE"
	EventTypeDel   = "DELETE"
	MessageNoLease = "etcdserver: requested lease not found"
)

// gRPC status codes that the gateway returns in Error.Code.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodePermissionDenied  = 7
	CodeResourceExhausted = 8
	CodeFailedPrecond     = 9
	CodeOutOfRange        = 11
	CodeUnimplemented     = 12
	CodeUnavailable       = 14
	CodeUnauthenticated   = 16
)

// Int64 is marshaled as a string and unmarshaled from a string or a number.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int64) UnmarshalJSON(b []byte) error {
	v, err := strconv.ParseInt(string(bytes.Trim(b, `"`)), 10, 64)
	if err != nil {
		return err
	}
	*i = Int64(v)
	return nil
}

// Header is part of every response.
type Header struct {
	Revision Int64 `json:"revision,omitempty"`
}

// KV is a stored key with its value and metadata.
type KV struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads one key or, if RangeEnd is set, the keys in [Key, RangeEnd).
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    Int64  `json:"limit,omitempty"`
	Revision Int64  `json:"revision,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse is the response to RangeRequest.
type RangeResponse struct {
	Header Header `json:"header"`
	KVs    []KV   `json:"kvs,omitempty"`
	More   bool   `json:"more,omitempty"`
	Count  Int64  `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// PutResponse is the response to PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRequest deletes one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// DeleteResponse is the response to DeleteRequest.
type DeleteResponse struct {
	Header  Header `json:"header"`
	Deleted Int64  `json:"deleted,omitempty"`
}

// Compare is one guard of a transaction.
type Compare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	CreateRevision *Int64 `json:"create_revision,omitempty"`
	ModRevision    *Int64 `json:"mod_revision,omitempty"`
	Lease          *Int64 `json:"lease,omitempty"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp is the response to one RequestOp.
type ResponseOp struct {
	Range  *RangeResponse  `json:"response_range,omitempty"`
	Put    *PutResponse    `json:"response_put,omitempty"`
	Delete *DeleteResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest is a guarded transaction.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// LeaseGrantRequest creates a lease of TTL seconds; the service chooses its ID.
type LeaseGrantRequest struct {
	TTL Int64 `json:"TTL"`
}

// LeaseRequest identifies the lease to keep alive or revoke.
type LeaseRequest struct {
	ID Int64 `json:"ID"`
}

// LeaseResponse is the response to the lease requests; a TTL of zero means that the lease
// no longer exists.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     Int64  `json:"ID,omitempty"`
	TTL    Int64  `json:"TTL,omitempty"`
}

// KeepAliveResult wraps the response to a keepalive, which is a stream of one message.
type KeepAliveResult struct {
	Result LeaseResponse `json:"result"`
	Error  *Error        `json:"error,omitempty"`
}

// WatchRequest creates a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate is the key range to watch and the revision to start from.
type WatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  Int64  `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchResult is one message of a watch stream.
type WatchResult struct {
	Result WatchResponse `json:"result"`
	Error  *Error        `json:"error,omitempty"`
}

// WatchResponse carries events, or reports that the watch was created or canceled.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Event is one change; an empty Type is a put.
type Event struct {
	Type string `json:"type,omitempty"`
	KV   KV     `json:"kv"`
}

// Error is the body of every failed response. In a stream, only some of the fields
// are set.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// PrefixEnd returns the range_end of the range that contains all keys with the prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // all keys
}

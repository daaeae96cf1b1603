package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdjson"
)

// maxBody limits the request body. It admits a transaction of large values in base64.
const maxBody = 4 << 20

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.RangeRequest
	if !readJSON(w, r, &req) {
		return
	}
	if len(req.RangeEnd) == 0 {
		kv, revision, err := s.store.Get(r.Context(), string(req.Key))
		if err != nil {
			writeStoreError(w, err)
			return
		}
		writeJSON(w, singleKeyResponse(kv, revision))
		return
	}
	prefix, after, ok := parsePrefixRange(req)
	if !ok {
		writeError(w, http.StatusBadRequest, etcdjson.CodeUnimplemented, "only ranges by prefix are supported")
		return
	}
	res, err := s.store.Range(r.Context(), prefix, store.RangeOptions{
		Limit:      int64(req.Limit),
		KeysOnly:   req.KeysOnly,
		StartAfter: after,
		Revision:   int64(req.Revision),
	})
	if err != nil {
		writeStoreError(w, err)
		return
	}
	out := etcdjson.RangeResponse{Header: header(res.Revision), More: res.More, Count: etcdjson.Int64(len(res.KVs))}
	for _, kv := range res.KVs {
		out.KVs = append(out.KVs, toJSON(kv))
	}
	writeJSON(w, out)
}

// parsePrefixRange converts key and range_end to a prefix and the key to start after.
// It returns false for any other range, because the store reads only by prefix.
func parsePrefixRange(req etcdjson.RangeRequest) (prefix, after string, ok bool) {
	key := string(req.Key)
	for n := len(key); n > 0; n-- {
		if string(etcdjson.PrefixEnd(key[:n])) != string(req.RangeEnd) {
			continue
		}
		if n < len(key) {
			after = key[:len(key)-1] // a paginated read starts at after + "\x00"
		}
		return key[:n], after, true
	}
	all := len(req.RangeEnd) == 1 && req.RangeEnd[0] == 0
	return "", "", all && len(key) == 1 && key[0] == 0
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.PutRequest
	if !readJSON(w, r, &req) {
		return
	}
	res, err := s.store.Txn(r.Context(), store.Txn{Then: []store.Op{putOp(&req)}})
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, etcdjson.PutResponse{Header: header(res.Revision)})
}

func (s *Server) handleTxn(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.TxnRequest
	if !readJSON(w, r, &req) {
		return
	}
	txn := store.Txn{Then: toOps(req.Success), Else: toOps(req.Failure)}
	for _, c := range req.Compare {
		txn.Guards = append(txn.Guards, toGuard(c))
	}
	res, err := s.store.Txn(r.Context(), txn)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	branch := req.Success
	if !res.Succeeded {
		branch = req.Failure
	}
	writeJSON(w, etcdjson.TxnResponse{
		Header:    header(res.Revision),
		Succeeded: res.Succeeded,
		Responses: txnResponses(branch, res),
	})
}

func txnResponses(branch []etcdjson.RequestOp, res store.TxnResult) []etcdjson.ResponseOp {
	var out []etcdjson.ResponseOp
	gets := res.Gets
	for _, op := range branch {
		switch {
		case op.Range != nil:
			rangeResponse := singleKeyResponse(gets[0], res.Revision)
			gets = gets[1:]
			out = append(out, etcdjson.ResponseOp{Range: &rangeResponse})
		case op.Put != nil:
			out = append(out, etcdjson.ResponseOp{Put: &etcdjson.PutResponse{Header: header(res.Revision)}})
		default:
			out = append(out, etcdjson.ResponseOp{Delete: &etcdjson.DeleteResponse{Header: header(res.Revision)}})
		}
	}
	return out
}

func toOps(in []etcdjson.RequestOp) []store.Op {
	var out []store.Op
	for _, op := range in {
		switch {
		case op.Range != nil:
			out = append(out, store.GetOp(string(op.Range.Key)))
		case op.Put != nil:
			out = append(out, putOp(op.Put))
		case op.Delete != nil:
			out = append(out, store.Delete(string(op.Delete.Key)))
		}
	}
	return out
}

func putOp(req *etcdjson.PutRequest) store.Op {
	return store.Put(string(req.Key), req.Value, store.LeaseID(req.Lease))
}

func toGuard(c etcdjson.Compare) store.Guard {
	g := store.Guard{Key: string(c.Key)}
	value := c.CreateRevision
	switch c.Target {
	case etcdjson.TargetMod:
		g.Target, value = store.GuardModRevision, c.ModRevision
	case etcdjson.TargetLease:
		g.Target, value = store.GuardLease, c.Lease
	}
	if value != nil {
		g.Equal = int64(*value)
	}
	return g
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.LeaseGrantRequest
	if !readJSON(w, r, &req) {
		return
	}
	id, err := s.store.Grant(r.Context(), time.Duration(req.TTL)*time.Second)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, etcdjson.LeaseResponse{ID: etcdjson.Int64(id), TTL: req.TTL})
}

func (s *Server) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	remaining, err := s.store.KeepAlive(r.Context(), store.LeaseID(req.ID))
	if storeErr, ok := errors.Into[*store.Error](err); ok && storeErr.Kind == store.LeaseNotFound {
		remaining, err = 0, nil // the gateway reports an expired lease by a TTL of zero
	}
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, etcdjson.KeepAliveResult{Result: etcdjson.LeaseResponse{
		ID:  req.ID,
		TTL: etcdjson.Int64(remaining / time.Second),
	}})
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	if err := s.store.Revoke(r.Context(), store.LeaseID(req.ID)); err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, etcdjson.LeaseResponse{})
}

// writeStoreError writes the error response of the gateway. If the outcome of the
// call is unknown, it aborts the connection without a response.
func writeStoreError(w http.ResponseWriter, err error) {
	storeErr, ok := errors.Into[*store.Error](err)
	if !ok || storeErr.Outcome == store.Unknown {
		panic(http.ErrAbortHandler) // aborts the connection
	}
	status, code, message := http.StatusServiceUnavailable, etcdjson.CodeUnavailable, storeErr.Err.Error()
	switch storeErr.Kind {
	case store.LeaseNotFound:
		status, code, message = http.StatusNotFound, etcdjson.CodeNotFound, etcdjson.MessageNoLease
	case store.Compacted:
		status, code = http.StatusBadRequest, etcdjson.CodeOutOfRange
	case store.Invalid:
		status, code = http.StatusBadRequest, etcdjson.CodeInvalidArgument
	}
	writeError(w, status, code, message)
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", etcdjson.ContentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(etcdjson.Error{Code: code, Message: message})
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}

// discardBody reads the rest of the body. Only after that does net/http detect a
// disconnect of the client and cancel the request's context.
func discardBody(r *http.Request) { _, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)) }

func header(revision int64) etcdjson.Header {
	return etcdjson.Header{Revision: etcdjson.Int64(revision)}
}

func singleKeyResponse(kv *store.KV, revision int64) etcdjson.RangeResponse {
	out := etcdjson.RangeResponse{Header: header(revision)}
	if kv != nil {
		out.KVs = []etcdjson.KV{toJSON(*kv)}
		out.Count = 1
	}
	return out
}

func toJSON(kv store.KV) etcdjson.KV {
	return etcdjson.KV{
		Key:            []byte(kv.Key),
		CreateRevision: etcdjson.Int64(kv.CreateRevision),
		ModRevision:    etcdjson.Int64(kv.ModRevision),
		Version:        etcdjson.Int64(kv.Version),
		Value:          kv.Value,
		Lease:          etcdjson.Int64(kv.Lease),
	}
}

package etcdgw

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/etcdjson"
)

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (*store.KV, int64, error) {
	var res etcdjson.RangeResponse
	if err := c.do(ctx, opGet, etcdjson.RangeRequest{Key: []byte(key)}, &res); err != nil {
		return nil, 0, err
	}
	return firstKey(&res), int64(res.Header.Revision), nil
}

// Range implements store.Store.
func (c *Client) Range(ctx context.Context, prefix string, opts store.RangeOptions) (store.RangeResult, error) {
	req := etcdjson.RangeRequest{
		Key:      rangeStart(prefix),
		RangeEnd: etcdjson.PrefixEnd(prefix),
		Limit:    etcdjson.Int64(opts.Limit),
		Revision: etcdjson.Int64(opts.Revision),
		KeysOnly: opts.KeysOnly,
	}
	if opts.StartAfter != "" {
		req.Key = append([]byte(opts.StartAfter), 0)
	}
	var res etcdjson.RangeResponse
	if err := c.do(ctx, opRange, req, &res); err != nil {
		return store.RangeResult{}, err
	}
	out := store.RangeResult{Revision: int64(res.Header.Revision), More: res.More}
	for i := range res.KVs {
		out.KVs = append(out.KVs, fromJSON(&res.KVs[i]))
	}
	return out, nil
}

// rangeStart returns the first key of a prefix; the gateway rejects an empty key.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

// Txn implements store.Store.
func (c *Client) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	req := etcdjson.TxnRequest{Success: requestOps(txn.Then), Failure: requestOps(txn.Else)}
	for _, g := range txn.Guards {
		req.Compare = append(req.Compare, compare(g))
	}
	var res etcdjson.TxnResponse
	if err := c.do(ctx, opTxn, req, &res); err != nil {
		return store.TxnResult{}, err
	}
	out := store.TxnResult{Succeeded: res.Succeeded, Revision: int64(res.Header.Revision)}
	for i := range res.Responses {
		if r := res.Responses[i].Range; r != nil {
			out.Gets = append(out.Gets, firstKey(r))
		}
	}
	return out, nil
}

func compare(g store.Guard) etcdjson.Compare {
	out := etcdjson.Compare{Result: etcdjson.ResultEqual, Key: []byte(g.Key)}
	value := etcdjson.Int64(g.Equal)
	switch g.Target {
	case store.GuardModRevision:
		out.Target, out.ModRevision = etcdjson.TargetMod, &value
	case store.GuardLease:
		out.Target, out.Lease = etcdjson.TargetLease, &value
	default:
		out.Target, out.CreateRevision = etcdjson.TargetCreate, &value
	}
	return out
}

func requestOps(ops []store.Op) []etcdjson.RequestOp {
	var out []etcdjson.RequestOp
	for _, op := range ops {
		key := []byte(op.Key)
		switch op.Kind {
		case store.OpGet:
			out = append(out, etcdjson.RequestOp{Range: &etcdjson.RangeRequest{Key: key}})
		case store.OpDelete:
			out = append(out, etcdjson.RequestOp{Delete: &etcdjson.DeleteRequest{Key: key}})
		default:
			put := &etcdjson.PutRequest{Key: key, Value: op.Value, Lease: etcdjson.Int64(op.Lease)}
			out = append(out, etcdjson.RequestOp{Put: put})
		}
	}
	return out
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	seconds := max(1, (ttl+time.Second-1)/time.Second)
	var res etcdjson.LeaseResponse
	if err := c.do(ctx, opGrant, etcdjson.LeaseGrantRequest{TTL: etcdjson.Int64(seconds)}, &res); err != nil {
		return 0, err
	}
	return store.LeaseID(res.ID), nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	var res etcdjson.KeepAliveResult
	if err := c.do(ctx, opKeepAlive, etcdjson.LeaseRequest{ID: etcdjson.Int64(id)}, &res); err != nil {
		return 0, err
	}
	if res.Error != nil {
		return 0, newError(opKeepAlive, store.Unavailable, store.Refused, errors.New(res.Error.Message))
	}
	if res.Result.TTL <= 0 {
		return 0, newError(opKeepAlive, store.LeaseNotFound, store.Refused, errors.Errorf("lease %d not found", id))
	}
	return time.Duration(res.Result.TTL) * time.Second, nil
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	var res etcdjson.LeaseResponse
	return c.do(ctx, opRevoke, etcdjson.LeaseRequest{ID: etcdjson.Int64(id)}, &res)
}

func firstKey(res *etcdjson.RangeResponse) *store.KV {
	if len(res.KVs) == 0 {
		return nil
	}
	kv := fromJSON(&res.KVs[0])
	return &kv
}

func fromJSON(kv *etcdjson.KV) store.KV {
	return store.KV{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: int64(kv.CreateRevision),
		ModRevision:    int64(kv.ModRevision),
		Version:        int64(kv.Version),
		Lease:          store.LeaseID(kv.Lease),
	}
}

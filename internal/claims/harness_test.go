package claims

import (
	"context"
	"crypto/sha256"
	"flag"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// TestMain fixes the seed of the random histories, so that runs are reproducible. The
// flag -rapid.seed on the command line takes precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// errNodeKilled is the error of a killed node's store calls.
var errNodeKilled = &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "any", Err: errors.New("node killed")}

// killableStore fails the transactions of a killed node, so that nothing it had in
// memory reaches the store.
type killableStore struct {
	store.Store
	killed atomic.Bool
}

func (s *killableStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if s.killed.Load() {
		return store.TxnResult{}, errNodeKilled
	}
	return s.Store.Txn(ctx, txn)
}

// node is a simulated process with its Manager.
type node struct {
	*Manager
	store *killableStore
}

func startNode(s store.Store, name cluster.NodeID, incarnation uint64, change ...func(*Options)) *node {
	killable := &killableStore{Store: s}
	opts := Options{Store: killable, Node: name, Incarnation: incarnation, Log: slog.New(slog.DiscardHandler)}
	for _, c := range change {
		c(&opts)
	}
	return &node{Manager: New(opts), store: killable}
}

// kill stops the node at once. Unrecorded outcomes are lost.
func (n *node) kill() {
	n.store.killed.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.Close(ctx)
}

// backend is a service that counts its runs by key.
type backend struct {
	mu   sync.Mutex
	runs map[string]int
}

func (b *backend) run(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.runs == nil {
		b.runs = make(map[string]int)
	}
	b.runs[key]++
}

func (b *backend) count(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[key]
}

// ending is how a call ends after its key was claimed.
type ending int

// Endings. The last two kill the node.
const (
	endsAnswered ending = iota
	endsNotStarted
	endsAnswerLost
	endsKilledBeforeDispatch
	endsKilledAfterDispatch
	endingCount
)

func callOf(key, body string) Call {
	return Call{Team: "school-a", Key: key, BodySHA256: sha256.Sum256([]byte(body))}
}

func answerTo(key string) Answer {
	return Answer{Status: 201, ContentType: "application/json", Body: []byte("booked " + key)}
}

// reply is the part of a response that the tests compare.
type reply struct {
	answer string
	code   fennelerr.Code
	run    fennelerr.RunState
}

// serve handles a call like the gateway: claim, check, dispatch, settle. It returns
// false, without a reply, if the node was killed.
func serve(ctx context.Context, n *node, b *backend, call Call, end ending) (reply, bool) {
	claim, recorded, err := n.Claim(ctx, call)
	switch {
	case n.store.killed.Load():
		return reply{}, false // killed by another call in the meantime
	case err != nil:
		e, _ := errors.Into[*fennelerr.Error](err)
		return reply{code: e.Code, run: e.Run}, true
	case recorded != nil:
		return reply{answer: string(recorded.Body), run: fennelerr.Ran}, true
	case end == endsKilledBeforeDispatch:
		n.kill()
		return reply{}, false
	case end == endsNotStarted || !claim.StillHeld(time.Now()):
		claim.Release(ctx)
		return reply{code: fennelerr.BackendFailed, run: fennelerr.NotRun}, true
	}
	b.run(call.Key)
	switch end {
	case endsKilledAfterDispatch:
		n.kill()
		return reply{}, false
	case endsAnswerLost:
		claim.Abandon(ctx)
		return reply{code: fennelerr.OutcomeUnknown, run: fennelerr.Unknown}, true
	default:
		claim.Finish(ctx, answerTo(call.Key))
		return reply{answer: string(answerTo(call.Key).Body), run: fennelerr.Ran}, true
	}
}

func newStore(t testing.TB) *memstore.Store {
	s := memstore.New(memstore.Options{})
	t.Cleanup(s.Close)
	return s
}

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

// TestMain fixes the seed of the random histories, so that every run gives the
// same verdict; the flag -rapid.seed on the command line takes precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// errNodeDead is what a killed node's calls to the store get.
var errNodeDead = &store.Error{Kind: store.Unavailable, Outcome: store.Refused, Op: "any", Err: errors.New("node killed")}

// nodeStore cuts a killed node off, so that nothing it had in memory reaches the store.
type nodeStore struct {
	store.Store
	dead atomic.Bool
}

func (s *nodeStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if s.dead.Load() {
		return store.TxnResult{}, errNodeDead
	}
	return s.Store.Txn(ctx, txn)
}

// node is one process with its manager.
type node struct {
	*Manager
	link *nodeStore
}

func startNode(s store.Store, name cluster.NodeID, incarnation uint64, change ...func(*Options)) *node {
	link := &nodeStore{Store: s}
	opts := Options{Store: link, Node: name, Incarnation: incarnation, Log: slog.New(slog.DiscardHandler)}
	for _, c := range change {
		c(&opts)
	}
	return &node{Manager: New(opts), link: link}
}

// kill stops the node at once, losing what it had in memory.
func (n *node) kill() {
	n.link.dead.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.Close(ctx)
}

// backend is a plain service that counts its runs by key.
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

// fate is what befalls a call after it was claimed.
type fate int

// Fates. The last two kill the node.
const (
	fateOK fate = iota
	fateNotStarted
	fateAnswerLost
	fateKilledBeforeDispatch
	fateKilledAfterDispatch
	fates
)

func callOf(key, body string) Call {
	return Call{Team: "school-a", Key: key, BodySHA256: sha256.Sum256([]byte(body))}
}

func answerTo(key string) Answer {
	return Answer{Status: 201, ContentType: "application/json", Body: []byte("booked " + key)}
}

// reply is what a caller sees.
type reply struct {
	answer string
	code   fennelerr.Code
	run    fennelerr.RunState
}

// serve does what the gateway does with a call: claim, check, dispatch, settle.
// A killed node's caller gets no reply.
func serve(ctx context.Context, n *node, b *backend, call Call, f fate) (reply, bool) {
	claim, recorded, err := n.Claim(ctx, call)
	switch {
	case n.link.dead.Load():
		return reply{}, false // killed by another call meanwhile
	case err != nil:
		e, _ := errors.Into[*fennelerr.Error](err)
		return reply{code: e.Code, run: e.Run}, true
	case recorded != nil:
		return reply{answer: string(recorded.Body), run: fennelerr.Ran}, true
	case f == fateKilledBeforeDispatch:
		n.kill()
		return reply{}, false
	case f == fateNotStarted || !claim.StillHeld(time.Now()):
		claim.Release(ctx)
		return reply{code: fennelerr.BackendFailed, run: fennelerr.NotRun}, true
	}
	b.run(call.Key)
	switch f {
	case fateKilledAfterDispatch:
		n.kill()
		return reply{}, false
	case fateAnswerLost:
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

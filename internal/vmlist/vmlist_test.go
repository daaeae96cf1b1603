package vmlist_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/standin/platform"
	"github.com/fennelcourse/fennelcourse/internal/vmlist"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestClient(t *testing.T) {
	vms := []cluster.VM{{ID: "a", Zone: "z", Domain: "d", Addr: "127.0.0.1:1", State: cluster.VMLive}}
	p := platform.New(platform.Options{VMs: vms})
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	client := vmlist.NewClient(srv.URL, 0)
	list, err := client.Fetch(t.Context())
	require.NoError(t, err)
	require.Equal(t, vms, list.VMs)
	require.False(t, list.AsOf.IsZero())

	p.SetFaults(platform.Faults{VMsDown: true})
	_, err = client.Fetch(t.Context())
	require.Equal(t, fennelerr.StoreUnavailable, fennelerr.CodeOf(err))

	p.SetFaults(platform.Faults{Silent: true})
	_, err = vmlist.NewClient(srv.URL, 20*time.Millisecond).Fetch(t.Context())
	require.Equal(t, fennelerr.StoreUnavailable, fennelerr.CodeOf(err))
	require.EqualValues(t, 2, p.Calls()[platform.KindVMs])
}

func TestServiceAddrs(t *testing.T) {
	w := vmlist.NewWatcher(vmlist.Options{Zone: "b"})
	w.Update(cluster.VMList{AsOf: time.Unix(1, 0), VMs: []cluster.VM{
		{ID: "1", Zone: "a", Addr: "a1", Service: "balcao", State: cluster.VMLive},
		{ID: "2", Zone: "b", Addr: "b2", Service: "balcao", State: cluster.VMLeaving},
		{ID: "3", Zone: "b", Addr: "b3", Service: "balcao", State: cluster.VMLive},
		{ID: "4", Zone: "b", Addr: "b4", State: cluster.VMLive},
		{ID: "5", Zone: "b", Addr: "b5", Service: "obchod", State: cluster.VMLive},
	}})
	require.Equal(t, []string{"b3", "a1"}, w.ServiceAddrs("balcao"))
	require.Empty(t, w.ServiceAddrs(""))
}

// fetchFunc adapts a function to Fetcher.
type fetchFunc func() (cluster.VMList, error)

func (f fetchFunc) Fetch(context.Context) (cluster.VMList, error) { return f() }

// The platform's list service fails for a while and then serves a list that is older
// than the one read before. A node that adopted the older list would send calls to a
// VM that has already left.
func TestWatcherIgnoresOlderLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at := func(sec int64, id cluster.VMID) cluster.VMList {
			return cluster.VMList{AsOf: time.Unix(sec, 0), VMs: []cluster.VM{{ID: id}}}
		}
		platformDown := fennelerr.New(fennelerr.StoreUnavailable, "down")
		answers := []func() (cluster.VMList, error){
			func() (cluster.VMList, error) { return at(10, "new"), nil },
			func() (cluster.VMList, error) { return cluster.VMList{}, platformDown },
			func() (cluster.VMList, error) { return at(5, "old"), nil },
			func() (cluster.VMList, error) { return at(11, "new"), nil },
			func() (cluster.VMList, error) { return at(12, "newer"), nil },
		}
		var changes []cluster.VMID
		w := vmlist.NewWatcher(vmlist.Options{
			Fetcher: fetchFunc(func() (cluster.VMList, error) {
				next := answers[0]
				if len(answers) > 1 {
					answers = answers[1:]
				}
				return next()
			}),
			OnChange: func(l cluster.VMList) { changes = append(changes, l.VMs[0].ID) },
			Log:      slog.New(slog.DiscardHandler),
		})
		_, known := w.Age(time.Unix(0, 0))
		require.False(t, known)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		time.Sleep(10 * vmlist.DefaultInterval) // fake time, long enough to use all answers
		cancel()
		<-done
		require.Equal(t, []cluster.VMID{"new", "newer"}, changes)
		require.Equal(t, time.Unix(12, 0), w.List().AsOf)
		age, known := w.Age(time.Unix(15, 0))
		require.True(t, known)
		require.Equal(t, 3*time.Second, age)
	})
}

// listFunc adapts a function to Fetcher and PeerFetcher.
type listFunc func() (cluster.VMList, error)

func (f listFunc) Fetch(context.Context) (cluster.VMList, error)    { return f() }
func (f listFunc) FetchVMs(context.Context) (cluster.VMList, error) { return f() }

// If nodes could get the list only from the platform, a node that starts while the
// platform is down would have no list and serve no requests, and the load on the
// platform would grow with the number of nodes.
func TestSharedFetcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 5 * time.Second
		var platformCalls int
		var platformDown, peersDown, reader bool
		at := func() cluster.VMList { return cluster.VMList{AsOf: time.Now(), VMs: []cluster.VM{{ID: "a"}}} }
		s := &vmlist.SharedFetcher{Interval: interval, IsReader: func() bool { return reader },
			Platform: listFunc(func() (cluster.VMList, error) {
				platformCalls++
				if platformDown {
					return cluster.VMList{}, fennelerr.New(fennelerr.StoreUnavailable, "down")
				}
				return at(), nil
			}),
			Peers: listFunc(func() (cluster.VMList, error) {
				if peersDown {
					return cluster.VMList{}, fennelerr.New(fennelerr.NotReady, "no peer")
				}
				return at(), nil
			})}
		fetch := func(rounds int) (calls, lists int) {
			platformCalls = 0
			for range rounds {
				if list, err := s.Fetch(t.Context()); err == nil && !list.AsOf.IsZero() {
					lists++
				}
				time.Sleep(interval)
			}
			return platformCalls, lists
		}
		calls, lists := fetch(10)
		require.Zero(t, calls, "peers provide the list")
		require.Equal(t, 10, lists)
		peersDown = true
		calls, lists = fetch(100) // 500 s, each read 15 to 45 s after the one before
		require.LessOrEqual(t, calls, 34)
		require.Positive(t, lists)
		peersDown, reader = false, true
		calls, _ = fetch(10)
		require.Equal(t, 10, calls)
		platformDown = true
		_, lists = fetch(10)
		require.Equal(t, 10, lists, "from peers while the platform is down")
	})
}

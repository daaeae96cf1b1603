package entry

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/enginemodel"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// fuzzCore returns a core that serves two replicas of a model. Nothing of it runs.
func fuzzCore(t testing.TB) *Core {
	cfg, err := settings.Parse([]byte("node: n\nzone: z\nregion: r\nlisten: {callers: \"127.0.0.1:0\", ready: \"127.0.0.1:0\"}\nplatform: {driver: managed, address: \"127.0.0.1:1\"}\n"))
	require.NoError(t, err)
	p := testPlatform(t)
	p.EvacuationsPrefix = "evacuations/"
	p.DecodeServer = func(kv store.KV, _ time.Time) (s fleet.Server, err error) {
		err = json.Unmarshal(kv.Value, &s)
		s.ID = cluster.VMID(kv.Key)
		return s, err
	}
	n := NewCore(cfg, p, CoreOptions{Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(n.Close)
	figures := enginemodel.Profile{Slots: 4, BaseStep: time.Millisecond, PrefillPerSecond: 10_000}
	n.rules.Store(rules.Assemble(rules.Set{Revision: 1, Groups: []rules.Group{{Name: "s/m", Model: "m", Servers: "s", VMs: 2, Engine: figures}}}))
	var entries []routing.Entry
	for _, id := range []cluster.ReplicaID{"m/1.1", "m/2.2"} {
		n.serving[id] = true
		entries = append(entries, routing.Entry{Replica: cluster.Replica{ID: id, Group: "s/m", Model: "m", Zone: "z", Generation: 1, Serving: cluster.VMID(id)}, Addr: "127.0.0.1:1", Slots: 4, Engine: &figures})
	}
	n.table.SetReplicas("", entries)
	for _, e := range entries {
		n.table.SetHealthy(e.Replica.ID, 1, true)
	}
	return n
}

// chooseAndEnd sends a call through the table, which reads what was reported of the replicas.
func chooseAndEnd(t *testing.T, n *Core) {
	for range 3 {
		choice, err := n.table.Choose(routing.Request{Group: "s/m", PromptTokens: 100, OutputTokens: 10, Limit: routing.Limit{PerSlot: 1}})
		if err == nil {
			n.table.End(choice, routing.Result{OK: true, FirstToken: time.Millisecond, Tokens: 10, Duration: time.Second})
		}
	}
	require.Empty(t, n.table.Outstanding())
}

// FuzzDatagram applies the content of a datagram that another node has signed. It must not panic, nor
// leave a request counted.
func FuzzDatagram(f *testing.F) {
	report := fuzzCore(f).LoadReport(400)
	for _, d := range []*wirepb.Datagram{
		{Asked: true, Path: report.Path, LoadIds: []uint32{replicaHash("m/1.1")}, LoadCounts: []uint32{1<<32 - 1}, LoadUnread: []uint32{1<<32 - 1}},
		{LoadIds: []uint32{replicaHash("m/1.1"), replicaHash("m/2.2")}, LoadCounts: []uint32{3}, LoadUnread: []uint32{1}},
		{WorkIds: []uint32{groupHash("m")}, WorkRates: []uint32{1<<32 - 1}, LimitIds: []uint32{replicaHash("m/1.1")}, LimitRates: []uint32{0}},
		{PathIds: []uint32{1}, PathReports: []uint32{11}, PathAgesMs: []uint32{1<<32 - 1}, SentUnixMs: -1 << 63},
		{StalledIds: []uint32{replicaHash("m/2.2")}, WorkingIds: []uint32{replicaHash("m/2.2")}, SentUnixMs: 1<<63 - 1},
	} {
		data, err := proto.Marshal(d)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &wirepb.Datagram{}
		if proto.Unmarshal(data, d) != nil {
			return
		}
		n := fuzzCore(t)
		n.receiveDatagram(membership.Member{Node: "other"}, d)
		chooseAndEnd(t, n)
		require.LessOrEqual(t, membership.SectionSize(n.LoadReport(400)), 400)
	})
}

// FuzzEntries applies changes of the store: a server's entry, a quarantine and an evacuation, each
// twice, the second time as removed. No content may panic.
func FuzzEntries(f *testing.F) {
	for _, s := range []fleet.Server{
		{Service: "s", Addr: "127.0.0.1:1", Zone: "z", Slots: 4, Staged: []string{""}, Membership: &fleet.Membership{Replica: "m/3", Epoch: 3, Rank: 0, State: fleet.Open}},
		{Service: "s", Slots: -1, Membership: &fleet.Membership{Replica: "/", Epoch: -1, Rank: -1, State: "x"}},
		{Service: "s", Slots: 1 << 62, Membership: &fleet.Membership{Replica: "m/3", Epoch: 1 << 62, Rank: 1 << 62, State: fleet.Open}},
		{Service: "t", Model: "m", Addr: "x"},
	} {
		data, err := json.Marshal(s)
		require.NoError(f, err)
		f.Add("a", data)
	}
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		n := fuzzCore(t)
		for i, prefix := range []string{"servers/", store.QuarantinesPrefix("r"), "evacuations/"} {
			apply := []func(fleet.Change){n.serversChanged, n.quarantinesChanged, n.evacuationsChanged}[i]
			key := prefix + name
			apply(fleet.Change{Revision: 2, Written: []store.KV{{Key: key, Value: value, ModRevision: 2}, {Key: key + "-2", Value: value, ModRevision: 2}}})
			n.countStranded()
			apply(fleet.Change{Revision: 3, Removed: []string{key}})
		}
		chooseAndEnd(t, n)
	})
}

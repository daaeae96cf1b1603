package entry

import (
	"fmt"
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/relay"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// BenchmarkServersChanged measures what one changed entry of the server list costs a node.
func BenchmarkServersChanged(b *testing.B) {
	for _, servers := range []int{300, 3000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			const size = 4
			list := make(map[string]fleet.Server)
			initial := fleet.Change{Revision: 1}
			for i := range servers {
				id := cluster.VMID(fmt.Sprintf("vm-%05d", i))
				key := "servers/" + string(id)
				list[key] = fleet.Server{ID: id, Service: "llm", Addr: string(id), Zone: "z", Domain: cluster.DomainID(strconv.Itoa(i / 18)), Slots: 20,
					StartedAt: time.UnixMilli(int64(i)), Staged: []string{"m"}, Model: "m",
					Membership: &fleet.Membership{Replica: fleet.ReplicaName("m", int64(i/size)), Epoch: int64(i / size), Rank: i % size, State: fleet.Open}}
				initial.Written = append(initial.Written, store.KV{Key: key})
			}
			n := NewCore(&settings.Settings{Node: "n", Zone: "z", Region: "r"}, Platform{Store: memstore.New(memstore.Options{}),
				Backend:      func(*conns.Pool) relay.Backend { return nil },
				DecodeServer: func(kv store.KV, _ time.Time) (fleet.Server, error) { return list[kv.Key], nil }},
				CoreOptions{Log: slog.New(slog.DiscardHandler)})
			n.rules.Store(rules.Assemble(rules.Set{Revision: 1, Groups: []rules.Group{{Name: "m", Model: "m", VMs: size, Servers: "llm"}}}))
			n.serversChanged(initial)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				kv := initial.Written[servers/2]
				changed := list[kv.Key]
				changed.Slots = 20 + i%2
				list[kv.Key] = changed
				n.serversChanged(fleet.Change{Revision: int64(i), Written: []store.KV{kv}})
			}
		})
	}
}

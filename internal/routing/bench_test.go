package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// BenchmarkChoose gives the cost of one decision (choose and end) by the size
// of the group, with three zones, load reports and prefix hashes.
func BenchmarkChoose(b *testing.B) {
	hashes := engine.PrefixHashes(string(make([]byte, 8*engine.PrefixBlock)))
	for _, n := range []int{50, 265, 4500} {
		for name, policy := range map[string]Policy{"weighted": nil, "naive": Naive{}} {
			b.Run(fmt.Sprintf("%s/candidates=%d", name, n), func(b *testing.B) {
				table := newFleet(n, policy, "a", "b", "c")
				reportAll(table, n, 3, start)
				table.opts.Now = time.Now
				req := Request{Group: "g", PrefixHashes: hashes}
				b.ReportAllocs()
				for b.Loop() {
					c, err := table.Choose(req)
					if err != nil {
						b.Fatal(err)
					}
					table.End(c, Result{OK: true, FirstToken: time.Millisecond, Tokens: 9, Duration: 9 * time.Millisecond})
				}
			})
		}
	}
}

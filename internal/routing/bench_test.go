package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/engine"
)

// BenchmarkChoose measures Choose and End by group size, with three zones, load reports and
// prefix hashes.
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

// BenchmarkTableMemory measures the heap bytes per replica and per entry of a full prefix
// index, for docs/CAPACITY.md.
func BenchmarkTableMemory(b *testing.B) {
	const n = 4500
	for b.Loop() {
		before := heapInUse()
		table := newFleet(n, nil, "a", "b", "c")
		choose(b, table, start, Request{})
		entries := heapInUse()
		e := table.shard("r0").entries["r0"]
		for i := range DefaultPrefixEntries * 2 {
			table.prefix.add(uint64(i), e, 0, start)
		}
		full := heapInUse()
		b.ReportMetric(float64(entries-before)/n, "B/replica")
		b.ReportMetric(float64(full-entries)/DefaultPrefixEntries, "B/prefix")
		runtime.KeepAlive(table)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

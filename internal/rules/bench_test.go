package rules

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// largeFile returns a file of 10,000 lines: 3,000 teams with a limit each, 200 groups
// and 3,800 routes by team, model and path.
func largeFile() string {
	var b strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&b, "team name=t%d token=sha256:%064x # asked for by: A\n", i, i)
		fmt.Fprintf(&b, "limit team=t%d share=%d inflight=64 # asked for by: A\n", i, i%100+1)
	}
	for i := range 200 {
		fmt.Fprintf(&b, "group name=g%d model=m%d vms=32 # asked for by: A\n", i, i)
	}
	for i := range 3800 {
		fmt.Fprintf(&b, "route path=/v%d/* model=m%d team=t%d to=g%d # asked for by: A\n", (i+i/3000)%30, i%200, i%3000, i%200)
	}
	return b.String()
}

func BenchmarkParse10000Lines(b *testing.B) {
	text := largeFile()
	b.ReportAllocs()
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSetMemory10000Lines reports the heap size of one Set, including its text.
func BenchmarkSetMemory10000Lines(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		set, err := Parse(strings.Clone(largeFile()))
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(set)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
}

func BenchmarkMatch10000Lines(b *testing.B) {
	set, err := Parse(largeFile())
	if err != nil {
		b.Fatal(err)
	}
	req := Request{Path: "/v20/chat/completions", Model: "m199", Team: cluster.TeamID("t799")}
	for name, match := range map[string]func(Request) *Route{"index": set.Match, "in-order": set.matchInOrder} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if match(req) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkDiff10000Lines(b *testing.B) {
	old := largeFile()
	changed := strings.Replace(old, "share=51 ", "share=52 ", 3)
	b.ReportAllocs()
	for b.Loop() {
		if len(Diff(old, changed)) != 3 {
			b.Fatal("want three edits")
		}
	}
}

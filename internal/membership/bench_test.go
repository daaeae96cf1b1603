package membership_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/membership"
	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// populatedState returns a state that has received one heartbeat of every other node.
func populatedState(zones, perZone int, now time.Time) *membership.State {
	self := membership.Self{Node: "entry-serra-00-00", Zone: "serra-00", Incarnation: 1, DatagramAddr: "10.0.0.1:7000"}
	s := membership.NewState(self, nil, membership.Timing{}, 0, rand.New(rand.NewPCG(1, 1)), now)
	for z := range zones {
		for i := range perZone {
			if z+i > 0 {
				s.Receive(heartbeat(z, i, 1), now)
			}
		}
	}
	return s
}

func heartbeat(zone, i int, sequence uint64) *wirepb.Datagram {
	addr := fmt.Sprintf("10.0.%d.%d:7000", zone, i)
	return &wirepb.Datagram{
		Node: fmt.Sprintf("entry-serra-%02d-%02d", zone, i), Zone: fmt.Sprintf("serra-%02d", zone),
		Incarnation: 1_800_000_000_000_000_000, Sequence: sequence, DatagramAddr: addr, PeerAddr: addr,
	}
}

// BenchmarkTick measures one heartbeat's decision; bytes/member is the heap used per
// member.
func BenchmarkTick(b *testing.B) {
	for _, zones := range []int{1, 17} {
		b.Run(fmt.Sprintf("zones=%d/nodes=%d", zones, zones*25), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			before := heapAlloc()
			s := populatedState(zones, 25, now)
			perMember := float64(heapAlloc()-before) / float64(zones*25-1)
			b.ReportAllocs()
			for b.Loop() {
				s.Tick(now, 1)
			}
			b.ReportMetric(perMember, "bytes/member")
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkReceive measures the processing of a heartbeat that forwards 24 others.
func BenchmarkReceive(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	s := populatedState(17, 25, now)
	d := heartbeat(0, 1, 1)
	for i := range 24 {
		d.BeatIds = append(d.BeatIds, uint32(i))
		d.BeatSequences = append(d.BeatSequences, 1)
		d.BeatRevisions = append(d.BeatRevisions, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		d.Sequence++
		s.Receive(d, now)
	}
}

var responsible bool

// BenchmarkResponsible measures one call of Responsible.
func BenchmarkResponsible(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	s := populatedState(17, 25, now)
	for b.Loop() {
		responsible = s.Responsible("poll/assistente-fit-001", 1, now)
	}
}

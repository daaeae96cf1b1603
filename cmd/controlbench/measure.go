package main

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/clock"
)

// joinTimeout limits the wait until the nodes of each zone know each other.
const joinTimeout = 2 * time.Minute

// ipUDPHeaders is the size of the IP and UDP headers that is added for each datagram, in bytes.
const ipUDPHeaders = 28

// totals holds the datagrams and bytes of all nodes, and the processor time of the process.
type totals struct {
	sent, received, bytesSent, bytesReceived uint64
	cpu                                      time.Duration
}

func (s *system) totals() totals {
	var t totals
	for _, n := range s.nodes {
		c := n.transport.Counters()
		t.sent += c.SentPackets
		t.received += c.ReceivedPackets
		t.bytesSent += c.SentBytes + ipUDPHeaders*c.SentPackets
		t.bytesReceived += c.ReceivedBytes + ipUDPHeaders*c.ReceivedPackets
	}
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	t.cpu = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return t
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// runCost prints one line for each number of nodes and each design. Pooled buffers that
// remain from an earlier run reduce the memory reported for later ones. To measure memory,
// run a single number of nodes with --alone.
func runCost(ctx context.Context, nodeCounts string, zones int, skipNaive bool, duration time.Duration) error {
	numbers, err := parseNumbers(nodeCounts)
	if err != nil {
		return err
	}
	fmt.Println("design      zones nodes  sent_B/s recv_B/s  sent/s recv/s  cpu_ms/s  us/datagram  KB/node   (per node)")
	for _, perZone := range numbers {
		for _, naive := range []bool{false, true} {
			if naive && skipNaive {
				continue
			}
			if err := measureCost(ctx, zones, perZone, naive, duration); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureCost(ctx context.Context, zones, perZone int, naive bool, duration time.Duration) error {
	idle := heapInUse()
	s, err := startSystem(zones, perZone, naive)
	if err != nil {
		return err
	}
	defer s.close()
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := s.awaitJoined(joinCtx, perZone); err != nil {
		return err
	}
	// A node has a larger budget right after its start, which has ended after this pause.
	if !clock.Pause(ctx, 10*time.Second) {
		return ctx.Err()
	}
	before, start := s.totals(), time.Now()
	if !clock.Pause(ctx, duration) {
		return ctx.Err()
	}
	after, seconds := s.totals(), time.Since(start).Seconds()
	heap := int64(heapInUse()) - int64(idle)
	perNode := func(before, after uint64) float64 { return float64(after-before) / seconds / float64(len(s.nodes)) }
	datagrams := float64(after.sent - before.sent + after.received - before.received)
	cpu := after.cpu - before.cpu
	fmt.Printf("%-11s %5d %5d  %8.0f %8.0f  %6.1f %6.1f  %8.3f  %11.1f  %7.0f\n", designName(naive), zones, len(s.nodes),
		perNode(before.bytesSent, after.bytesSent), perNode(before.bytesReceived, after.bytesReceived),
		perNode(before.sent, after.sent), perNode(before.received, after.received),
		float64(cpu.Microseconds())/1000/seconds/float64(len(s.nodes)), float64(cpu.Microseconds())/datagrams,
		float64(heap)/1024/float64(len(s.nodes)))
	return nil
}

func designName(naive bool) string {
	if naive {
		return "naive"
	}
	return "fennel"
}

// runSpread prints the times in which a new rules revision and a new quarantine reach all
// nodes, for both designs and several loss rates.
func runSpread(ctx context.Context, zones, perZone, trials int) error {
	fmt.Println("design      nodes  loss  revision_median revision_worst  quarantine_median quarantine_worst  sent (per node)")
	for _, naive := range []bool{false, true} {
		if err := measureSpread(ctx, zones, perZone, trials, naive); err != nil {
			return err
		}
	}
	return nil
}

func measureSpread(ctx context.Context, zones, perZone, trials int, naive bool) error {
	s, err := startSystem(zones, perZone, naive)
	if err != nil {
		return err
	}
	defer s.close()
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := s.awaitJoined(joinCtx, perZone); err != nil {
		return err
	}
	event := int64(0)
	for _, loss := range []uint64{0, 50, 300} {
		s.loss.Store(loss)
		var revisions, quarantines []time.Duration
		before, start := s.totals(), time.Now()
		for range trials {
			event++
			// Spreads the events over the heartbeat interval.
			if !clock.Pause(ctx, 3*time.Second+time.Duration(event%10)*97*time.Millisecond) {
				return ctx.Err()
			}
			revision, quarantine, err := s.spread(ctx, event)
			if err != nil {
				return err
			}
			revisions = append(revisions, revision)
			quarantines = append(quarantines, quarantine)
		}
		sentBytes := s.totals().bytesSent - before.bytesSent
		perSecond := float64(sentBytes) / time.Since(start).Seconds() / float64(len(s.nodes))
		slices.Sort(revisions)
		slices.Sort(quarantines)
		slowest := trials - 1
		fmt.Printf("%-11s %5d  %3d%%  %15v %14v  %17v %16v  %.0f B/s\n", designName(naive), len(s.nodes), loss/10,
			revisions[trials/2].Round(time.Millisecond), revisions[slowest].Round(time.Millisecond),
			quarantines[trials/2].Round(time.Millisecond), quarantines[slowest].Round(time.Millisecond), perSecond)
	}
	return nil
}

// spread publishes an event at one node and returns the times until the last node has its
// revision and its quarantine.
func (s *system) spread(ctx context.Context, event int64) (revision, quarantine time.Duration, err error) {
	start := time.Now()
	s.nodes[int(event)%len(s.nodes)].publish(event)
	for revision == 0 || quarantine == 0 {
		if revision == 0 && s.allNodes(event, (*node).hasRevision) {
			revision = time.Since(start)
		}
		if quarantine == 0 && s.allNodes(event, (*node).hasQuarantine) {
			quarantine = time.Since(start)
		}
		if !clock.Pause(ctx, time.Millisecond) {
			return 0, 0, ctx.Err()
		}
	}
	return revision, quarantine, nil
}

func (s *system) allNodes(event int64, hasEvent func(*node, int64) bool) bool {
	for _, n := range s.nodes {
		if !hasEvent(n, event) {
			return false
		}
	}
	return true
}

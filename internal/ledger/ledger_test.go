package ledger

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/store"
	"github.com/fennelcourse/fennelcourse/internal/store/memstore"
)

// TestMain fixes the seed of the random traces, so that runs are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// atSecond returns the time n seconds after the beginning of a trace.
func atSecond(n int) time.Time {
	return time.Date(2026, 1, 1, 0, 0, n, 0, time.UTC)
}

// tracePlayer replays a trace in steps of one second.
type tracePlayer struct {
	t           *testing.T
	recorders   map[string]*Recorder
	paused      map[string]bool
	starts      map[string]uint64
	windows     []Window
	corrections []Correction
}

func (p *tracePlayer) step(now int, events [][]string) {
	for name, r := range p.recorders {
		if !p.paused[name] {
			r.Tick(atSecond(now))
			if now%int(OutageWindowLength/time.Second) == 0 {
				p.closeWindow(r)
			}
		}
	}
	for _, ev := range events {
		p.apply(now, ev[0], ev[1:])
	}
}

func (p *tracePlayer) closeWindow(r *Recorder) {
	if w, ok := r.CloseWindow(); ok {
		p.windows = append(p.windows, w)
	}
}

func (p *tracePlayer) apply(now int, observer string, ev []string) {
	r := p.recorders[observer]
	switch ev[0] {
	case "start":
		p.starts[observer]++
		opts := RecorderOptions{Observer: cluster.NodeID(observer), Incarnation: p.starts[observer], Zone: "z"}
		p.recorders[observer] = NewRecorder(opts, atSecond(now))
	case "stop":
		p.closeWindow(r)
		delete(p.recorders, observer)
	case "die":
		delete(p.recorders, observer)
	case "pause", "resume":
		p.paused[observer] = ev[0] == "pause"
		if ev[0] == "resume" {
			r.Tick(atSecond(now))
		}
	case "stranded":
		n, err := strconv.Atoi(ev[2])
		require.NoError(p.t, err)
		r.Apply(Event{Kind: StrandedCount, At: atSecond(now), Group: cluster.GroupName(ev[1]), Count: n, Cause: Cause(ev[3])})
	default:
		kind, ok := map[string]EventKind{"down": ReplicaDown, "up": ReplicaUp, "gone": ReplicaGone}[ev[0]]
		require.True(p.t, ok, ev)
		e := Event{Kind: kind, At: atSecond(now), Group: cluster.GroupName(ev[1]), Replica: cluster.ReplicaID(ev[2])}
		if len(ev) > 3 {
			e.Cause = Cause(ev[3])
		}
		r.Apply(e)
	}
}

func (p *tracePlayer) correct(fields []string) {
	from, err := strconv.Atoi(fields[2])
	require.NoError(p.t, err)
	to, err := strconv.Atoi(fields[3])
	require.NoError(p.t, err)
	p.corrections = append(p.corrections, Correction{
		ID: fields[0], Corrects: fields[1], From: atSecond(from), To: atSecond(to), Cause: Cause(fields[4]),
		Author: "Ana", Reason: "checked", At: atSecond(1000 + len(p.corrections)),
	})
}

// The reports of recorded traces must match the expected reports in testdata.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			raw, err := os.ReadFile(file)
			require.NoError(t, err)
			trace, want, _ := strings.Cut(string(raw), "\nreport ")
			period, want, _ := strings.Cut(want, "\n")
			var from, to int
			_, err = fmt.Sscan(period, &from, &to)
			require.NoError(t, err)
			rep := replayTrace(t, trace, from, to)
			var got strings.Builder
			require.NoError(t, rep.WriteTable(&got))
			require.Equal(t, want, got.String())
		})
	}
}

func replayTrace(t *testing.T, trace string, from, to int) Report {
	p := &tracePlayer{t: t, recorders: make(map[string]*Recorder), paused: make(map[string]bool), starts: make(map[string]uint64)}
	events := make(map[int][][]string)
	last := 0
	for line := range strings.Lines(trace) {
		fields := strings.Fields(line)
		if len(fields) == 0 || fields[0] == "#" {
			continue
		}
		if fields[0] == "correct" {
			p.correct(fields[1:])
			continue
		}
		at, err := strconv.Atoi(fields[0])
		require.NoError(t, err, line)
		events[at] = append(events[at], fields[1:])
		last = max(last, at)
	}
	for now := 0; now <= last; now++ {
		p.step(now, events[now])
	}
	twice := slices.Concat(p.windows, p.windows) // duplicated windows must count once
	return BuildReport("z", atSecond(from), atSecond(to), twice, p.corrections)
}

// The report of random events must match totals counted second by second.
func TestReportMatchesPerSecondCount(t *testing.T) {
	const length = 400
	rapid.Check(t, func(rt *rapid.T) {
		r := NewRecorder(RecorderOptions{Observer: "a", Zone: "z"}, atSecond(0))
		var windows []Window
		down := make(map[cluster.ReplicaID]bool)
		stranded, wantDown, wantStranded := 0, 0, 0
		for now := range length {
			r.Tick(atSecond(now))
			ev := Event{At: atSecond(now), Group: "fit", Replica: cluster.ReplicaID(rapid.SampledFrom([]string{"r1", "r2"}).Draw(rt, "replica"))}
			switch rapid.IntRange(0, 20).Draw(rt, "event") {
			case 0:
				ev.Kind, ev.Cause = ReplicaDown, Cause(rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "cause"))
				down[ev.Replica] = true
				r.Apply(ev)
			case 1:
				ev.Kind = ReplicaUp
				delete(down, ev.Replica)
				r.Apply(ev)
			case 2:
				ev.Kind, ev.Cause, ev.Count = StrandedCount, "x", rapid.IntRange(0, 3).Draw(rt, "count")
				stranded = ev.Count
				r.Apply(ev)
			case 3:
				if w, ok := r.CloseWindow(); ok {
					windows = append(windows, w)
				}
			}
			wantDown += len(down)
			wantStranded += stranded
		}
		r.Tick(atSecond(length))
		w, _ := r.CloseWindow()
		rep := BuildReport("z", atSecond(0), atSecond(length), append(windows, w), nil)
		got := map[Measure]float64{}
		for _, row := range rep.Rows {
			if row.Cause == "" {
				require.Equal(rt, row.Low, row.High)
				got[row.Measure] = row.Low
			}
		}
		require.Empty(rt, rep.Unobserved)
		require.Equal(rt, float64(wantDown), got[Downtime])
		require.Equal(rt, float64(wantStranded), got[Stranded])
	})
}

// An event arrives after its window was closed, because the node was busy. The closed
// window must not change, and the outage must count from the start of the next window.
func TestLateEvents(t *testing.T) {
	r := NewRecorder(RecorderOptions{Observer: "a", Zone: "z", MaxGap: time.Hour}, atSecond(0))
	r.Tick(atSecond(60))
	first, _ := r.CloseWindow()
	r.Apply(Event{Kind: ReplicaDown, At: atSecond(50), Group: "fit", Replica: "r1"})
	r.Tick(atSecond(120))
	next, _ := r.CloseWindow()
	require.Empty(t, first.Intervals)
	require.Equal(t, atSecond(60), next.Intervals[0].From)
	require.Equal(t, 1, r.LateEvents)
}

func startWriter(s store.Store, observer cluster.NodeID) (w *Writer, stop func()) {
	w = NewWriter(s, RecorderOptions{Observer: observer, Incarnation: 1, Zone: "z"}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); w.Run(ctx) }()
	return w, func() { cancel(); <-done }
}

func loadReport(t *testing.T, s store.Store, from, to time.Time) Report {
	windows, corrections, err := Load(t.Context(), s, "z", from, to)
	require.NoError(t, err)
	return BuildReport("z", from, to, windows, corrections)
}

// The store goes down during an outage and loses answers before and after. The report
// must contain the full outage exactly once.
func TestStoreOutageNeitherLosesNorRepeatsWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		from := time.Now()
		w, stop := startWriter(s, "a")
		s.SetFaults(memstore.Faults{LoseAnswers: 3})
		time.Sleep(10 * time.Minute)
		w.Record(Event{Kind: ReplicaDown, At: time.Now(), Group: "fit", Replica: "r1", Cause: "vm-lost"})
		time.Sleep(10 * time.Minute)
		s.SetFaults(memstore.Faults{Down: true})
		time.Sleep(3 * time.Hour)
		w.Record(Event{Kind: ReplicaUp, At: time.Now(), Group: "fit", Replica: "r1"})
		s.SetFaults(memstore.Faults{LoseAnswers: 2})
		time.Sleep(10 * time.Minute)
		stop()
		rep := loadReport(t, s, from, time.Now())
		require.Len(t, rep.Rows, 2)
		require.Equal(t, (3*time.Hour + 10*time.Minute).Seconds(), rep.Rows[0].High)
		require.Equal(t, rep.Rows[0].High, rep.Rows[0].Low)
		require.Len(t, rep.Intervals, 1, "one outage, one interval")
		require.Empty(t, rep.Unobserved)
		s.Close()
	})
}

// The store is down for longer than the pending windows fit into memory. The time of
// the dropped windows must be reported as unobserved, not as time without outages.
func TestDroppedWindowsAreUnobserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		from := time.Now()
		w, stop := startWriter(s, "a")
		s.SetFaults(memstore.Faults{Down: true})
		w.Record(Event{Kind: ReplicaDown, At: time.Now(), Group: "fit", Replica: "r1", Cause: "vm-lost"})
		time.Sleep(26 * time.Hour)
		require.Equal(t, MaxPending, w.Pending())
		s.SetFaults(memstore.Faults{})
		time.Sleep(time.Minute)
		stop()
		rep := loadReport(t, s, from, time.Now())
		require.Len(t, rep.Unobserved, 1)
		missing := rep.Unobserved[0].To.Sub(rep.Unobserved[0].From)
		require.Greater(t, missing, time.Hour)
		require.Equal(t, time.Since(from).Seconds(), rep.Rows[0].High+missing.Seconds())
		s.Close()
	})
}

func TestLoadReadsOnlyThePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		_, stop := startWriter(s, "a")
		time.Sleep(12 * time.Hour)
		stop()
		windows, _, err := Load(t.Context(), s, "z", time.Now().Add(-time.Hour), time.Now())
		require.NoError(t, err)
		require.InDelta(t, 13, len(windows), 3)
		require.Empty(t, loadReport(t, s, time.Now().Add(-11*time.Hour), time.Now()).Unobserved)
		s.Close()
	})
}

func TestAppendCorrection(t *testing.T) {
	s := memstore.New(memstore.Options{})
	defer s.Close()
	c := Correction{ID: "c1", Corrects: "a/1/1", From: atSecond(0), To: atSecond(1), Author: "Ana", Reason: "checked"}
	s.SetFaults(memstore.Faults{LoseAnswers: 1})
	require.NoError(t, AppendCorrection(t.Context(), s, "z", c), "a lost answer is resolved by a retry")
	require.NoError(t, AppendCorrection(t.Context(), s, "z", c), "idempotent")
	other := c
	other.Reason = "changed"
	require.Equal(t, fennelerr.Conflict, fennelerr.CodeOf(AppendCorrection(t.Context(), s, "z", other)))
	require.Equal(t, fennelerr.InvalidRequest, fennelerr.CodeOf(AppendCorrection(t.Context(), s, "z", Correction{ID: "c2"})))
	_, corrections, err := Load(t.Context(), s, "z", atSecond(0), atSecond(1))
	require.NoError(t, err)
	require.Equal(t, []Correction{c}, corrections)
}

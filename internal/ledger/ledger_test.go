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

// TestMain fixes the seed of the random traces, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// second is a time in a trace, counted from its beginning.
func second(n int) time.Time {
	return time.Date(2026, 1, 1, 0, 0, n, 0, time.UTC)
}

// player replays a trace, second by second.
type player struct {
	t           *testing.T
	recorders   map[string]*Recorder
	paused      map[string]bool
	starts      map[string]uint64
	windows     []Window
	corrections []Correction
}

func (p *player) step(now int, events [][]string) {
	for name, r := range p.recorders {
		if !p.paused[name] {
			r.Tick(second(now))
			if now%int(OutageWindowLength/time.Second) == 0 {
				p.cut(r)
			}
		}
	}
	for _, ev := range events {
		p.apply(now, ev[0], ev[1:])
	}
}

func (p *player) cut(r *Recorder) {
	if w, ok := r.CloseWindow(); ok {
		p.windows = append(p.windows, w)
	}
}

func (p *player) apply(now int, observer string, ev []string) {
	r := p.recorders[observer]
	switch ev[0] {
	case "start":
		p.starts[observer]++
		opts := RecorderOptions{Observer: cluster.NodeID(observer), Incarnation: p.starts[observer], Zone: "z"}
		p.recorders[observer] = NewRecorder(opts, second(now))
	case "stop":
		p.cut(r)
		delete(p.recorders, observer)
	case "die":
		delete(p.recorders, observer)
	case "pause", "resume":
		p.paused[observer] = ev[0] == "pause"
		if ev[0] == "resume" {
			r.Tick(second(now))
		}
	case "stranded":
		n, err := strconv.Atoi(ev[2])
		require.NoError(p.t, err)
		r.Apply(Event{Kind: StrandedCount, At: second(now), Group: cluster.GroupName(ev[1]), Count: n, Cause: Cause(ev[3])})
	default:
		kind, ok := map[string]EventKind{"down": ReplicaDown, "up": ReplicaUp, "gone": ReplicaGone}[ev[0]]
		require.True(p.t, ok, ev)
		e := Event{Kind: kind, At: second(now), Group: cluster.GroupName(ev[1]), Replica: cluster.ReplicaID(ev[2])}
		if len(ev) > 3 {
			e.Cause = Cause(ev[3])
		}
		r.Apply(e)
	}
}

func (p *player) correct(fields []string) {
	from, err := strconv.Atoi(fields[2])
	require.NoError(p.t, err)
	to, err := strconv.Atoi(fields[3])
	require.NoError(p.t, err)
	p.corrections = append(p.corrections, Correction{
		ID: fields[0], Corrects: fields[1], From: second(from), To: second(to), Cause: Cause(fields[4]),
		Author: "Ana", Reason: "checked", At: second(1000 + len(p.corrections)),
	})
}

// Recorded traces with the outcome that we state for each.
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
	p := &player{t: t, recorders: make(map[string]*Recorder), paused: make(map[string]bool), starts: make(map[string]uint64)}
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
	twice := slices.Concat(p.windows, p.windows) // a window that is sent twice counts once
	return BuildReport("z", second(from), second(to), twice, p.corrections)
}

// The account of random events equals one made second by second.
func TestSameAsSecondBySecond(t *testing.T) {
	const length = 400
	rapid.Check(t, func(rt *rapid.T) {
		r := NewRecorder(RecorderOptions{Observer: "a", Zone: "z"}, second(0))
		var windows []Window
		down := make(map[cluster.ReplicaID]bool)
		stranded, wantDown, wantStranded := 0, 0, 0
		for now := range length {
			r.Tick(second(now))
			ev := Event{At: second(now), Group: "fit", Replica: cluster.ReplicaID(rapid.SampledFrom([]string{"r1", "r2"}).Draw(rt, "replica"))}
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
		r.Tick(second(length))
		w, _ := r.CloseWindow()
		rep := BuildReport("z", second(0), second(length), append(windows, w), nil)
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

// An event comes after its window has been cut, because the node was busy. The
// window stays as it is, and the outage counts from the cut on.
func TestLateEvents(t *testing.T) {
	r := NewRecorder(RecorderOptions{Observer: "a", Zone: "z", MaxGap: time.Hour}, second(0))
	r.Tick(second(60))
	first, _ := r.CloseWindow()
	r.Apply(Event{Kind: ReplicaDown, At: second(50), Group: "fit", Replica: "r1"})
	r.Tick(second(120))
	next, _ := r.CloseWindow()
	require.Empty(t, first.Intervals)
	require.Equal(t, second(60), next.Intervals[0].From)
	require.Equal(t, 1, r.LateEvents)
}

func startKeeper(s store.Store, observer cluster.NodeID) (k *Writer, stop func()) {
	k = NewWriter(s, RecorderOptions{Observer: observer, Incarnation: 1, Zone: "z"}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	return k, func() { cancel(); <-done }
}

func account(t *testing.T, s store.Store, from, to time.Time) Report {
	windows, corrections, err := Load(t.Context(), s, "z", from, to)
	require.NoError(t, err)
	return BuildReport("z", from, to, windows, corrections)
}

// The store goes down during an outage and loses answers before and after. What
// the company discloses must show the whole outage, and show it once.
func TestStoreOutageLosesAndRepeatsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		from := time.Now()
		k, stop := startKeeper(s, "a")
		s.SetFaults(memstore.Faults{LoseAnswers: 3})
		time.Sleep(10 * time.Minute)
		k.Record(Event{Kind: ReplicaDown, At: time.Now(), Group: "fit", Replica: "r1", Cause: "vm-lost"})
		time.Sleep(10 * time.Minute)
		s.SetFaults(memstore.Faults{Down: true})
		time.Sleep(3 * time.Hour)
		k.Record(Event{Kind: ReplicaUp, At: time.Now(), Group: "fit", Replica: "r1"})
		s.SetFaults(memstore.Faults{LoseAnswers: 2})
		time.Sleep(10 * time.Minute)
		stop()
		rep := account(t, s, from, time.Now())
		require.Len(t, rep.Rows, 2)
		require.Equal(t, (3*time.Hour + 10*time.Minute).Seconds(), rep.Rows[0].High)
		require.Equal(t, rep.Rows[0].High, rep.Rows[0].Low)
		require.Len(t, rep.Intervals, 1, "one outage, one interval")
		require.Empty(t, rep.Unobserved)
		s.Close()
	})
}

// The store stays down for days. The node keeps what it can in bounded memory;
// the time of what it had to drop must not look like time without outages.
func TestDroppedWindowsAreUnobserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New(memstore.Options{})
		from := time.Now()
		k, stop := startKeeper(s, "a")
		s.SetFaults(memstore.Faults{Down: true})
		k.Record(Event{Kind: ReplicaDown, At: time.Now(), Group: "fit", Replica: "r1", Cause: "vm-lost"})
		time.Sleep(26 * time.Hour)
		require.Equal(t, MaxPending, k.Pending())
		s.SetFaults(memstore.Faults{})
		time.Sleep(time.Minute)
		stop()
		rep := account(t, s, from, time.Now())
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
		_, stop := startKeeper(s, "a")
		time.Sleep(12 * time.Hour)
		stop()
		windows, _, err := Load(t.Context(), s, "z", time.Now().Add(-time.Hour), time.Now())
		require.NoError(t, err)
		require.InDelta(t, 13, len(windows), 3)
		require.Empty(t, account(t, s, time.Now().Add(-11*time.Hour), time.Now()).Unobserved)
		s.Close()
	})
}

func TestAppendCorrection(t *testing.T) {
	s := memstore.New(memstore.Options{})
	defer s.Close()
	c := Correction{ID: "c1", Corrects: "a/1/1", From: second(0), To: second(1), Author: "Ana", Reason: "checked"}
	s.SetFaults(memstore.Faults{LoseAnswers: 1})
	require.NoError(t, AppendCorrection(t.Context(), s, "z", c), "the lost answer is settled by trying again")
	require.NoError(t, AppendCorrection(t.Context(), s, "z", c), "idempotent")
	other := c
	other.Reason = "changed"
	require.Equal(t, fennelerr.Conflict, fennelerr.CodeOf(AppendCorrection(t.Context(), s, "z", other)))
	require.Equal(t, fennelerr.InvalidRequest, fennelerr.CodeOf(AppendCorrection(t.Context(), s, "z", Correction{ID: "c2"})))
	_, corrections, err := Load(t.Context(), s, "z", second(0), second(1))
	require.NoError(t, err)
	require.Equal(t, []Correction{c}, corrections)
}

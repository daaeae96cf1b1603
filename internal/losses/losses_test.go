package losses_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"io"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/losses"
)

func readEntryA(t *testing.T) *losses.Log {
	t.Helper()
	f, err := os.Open("testdata/entry-a.log")
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	log := &losses.Log{}
	require.NoError(t, log.Read(f))
	return log
}

// Guards against a wrong or missing cause in the analysis of an incident. A late call that
// was retried is attributed to its first failure; a retried call that was still on time is
// not a loss.
func TestCauseOfEachLoss(t *testing.T) {
	got := make(map[string]losses.Call)
	for _, call := range readEntryA(t).Calls() {
		got[call.Request] = call
	}
	for request, want := range map[string]struct {
		outcome losses.Outcome
		cause   losses.Cause
	}{
		"on-time": {losses.OnTime, ""},
		"saved":   {losses.OnTime, ""},
		"queued":  {losses.Late, losses.Queued},
		"slow":    {losses.Late, losses.Slow},
		"paused":  {losses.Late, losses.StreamPaused},
		"still":   {losses.Late, losses.ReplicaStalled},
		"hung":    {losses.Refused, losses.Unreachable},
		"full":    {losses.Refused, losses.NoCapacity},
		"shed":    {losses.Refused, losses.ServerRejected},
		"broke":   {losses.Failed, losses.StreamBroken},
		"own":     {losses.Failed, losses.ServerFailed},
		"left":    {losses.Failed, losses.CallerGone},
	} {
		require.Equal(t, want.outcome, got[request].Outcome, request)
		require.Equal(t, want.cause, got[request].Cause, request)
		require.Equal(t, "north", got[request].Zone, request)
	}
}

// Guards against losing a whole log to a truncated line, which a node leaves when it is
// stopped while writing. The other lines are read, and the skipped line is reported.
func TestTruncatedLinesAreSkippedAndReported(t *testing.T) {
	log := readEntryA(t)
	require.Len(t, log.SkippedLines, 1)
	require.Equal(t, 16, log.SkippedLines[0].Line)
	for _, call := range log.Calls() {
		require.NotEqual(t, "cut", call.Request)
	}
}

// Guards against counting a call in the wrong window: it belongs to the window in which it
// arrived, not to the one in which it ended.
func TestReportSums(t *testing.T) {
	report := readEntryA(t).Report(2 * time.Second)
	require.Equal(t, 12, report.All.Calls)
	require.Equal(t, 7, report.Groups["large"].Calls+report.Groups["service:desk"].Calls)
	require.Equal(t, 12, report.Zones["north"].Calls)
	sum := 0
	for _, w := range report.Windows {
		sum += w.Calls
	}
	require.Equal(t, 12, sum)
	first := report.Windows[0]
	require.Equal(t, time.Date(2026, 7, 1, 8, 0, 0, 0, time.UTC), first.From)
	require.Equal(t, 9, first.Inventory.Held)
	require.Equal(t, 3, first.Inventory.Cold)
	require.Equal(t, 4, first.Calls, "on-time, queued, slow and paused arrived in the first two seconds")
}

func TestPlotIsValidXML(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, readEntryA(t).Report(2*time.Second).Plot(&out))
	dec := xml.NewDecoder(&out)
	for {
		_, err := dec.Token()
		if err == io.EOF {
			return
		}
		require.NoError(t, err)
	}
}

// A log without calls gives an empty report, which can still be plotted.
func TestEmptyReport(t *testing.T) {
	report := (&losses.Log{}).Report(time.Second)
	require.Zero(t, report.All.Calls)
	require.NoError(t, report.Plot(io.Discard))
}

func FuzzRead(f *testing.F) {
	log, err := os.ReadFile("testdata/entry-a.log")
	require.NoError(f, err)
	f.Add(log)
	f.Fuzz(func(t *testing.T, b []byte) {
		log := &losses.Log{}
		if log.Read(bytes.NewReader(b)) != nil {
			return
		}
		total := 0
		for _, w := range log.Report(time.Second).Windows {
			total += w.Calls
		}
		require.Equal(t, len(log.Calls()), total)
	})
}

// Guards the keys of the JSON report, which scripts read, against renames in the code.
func TestReportKeysInJSON(t *testing.T) {
	at := time.Date(2026, 11, 3, 8, 0, 0, 0, time.UTC)
	counts := &losses.Counts{Calls: 1, Outcomes: map[losses.Outcome]int{losses.OnTime: 1}, Causes: map[losses.Cause]int{}}
	report := losses.Report{
		All:    counts,
		Groups: map[string]*losses.Counts{"g": counts},
		Zones:  map[string]*losses.Counts{"z": counts},
		Windows: []losses.Window{{
			From: at, Counts: counts,
			Inventory: &losses.Inventory{At: at, Held: 1, Free: 2, Cold: 3, Loading: 4},
		}},
	}
	text, err := json.Marshal(report)
	require.NoError(t, err)
	countsJSON := `{"calls":1,"outcomes":{"on-time":1},"causes":{}}`
	require.JSONEq(t, `{"all":`+countsJSON+`,"groups":{"g":`+countsJSON+`},"zones":{"z":`+countsJSON+`},
		"windows":[{"from":"2026-11-03T08:00:00Z","calls":1,"outcomes":{"on-time":1},"causes":{},
		"inventory":{"At":"2026-11-03T08:00:00Z","Held":1,"Free":2,"Cold":3,"Loading":4}}]}`, string(text))
}

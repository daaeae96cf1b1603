package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// BenchmarkMonth builds the report of one zone for a month with two observers and ten
// outages of ten minutes a day. It also reports the stored bytes and windows per
// observer and day.
//
//	go test -bench Month -run '^$' ./internal/ledger
func BenchmarkMonth(b *testing.B) {
	const days = 30
	var windows []Window
	for _, observer := range []cluster.NodeID{"praha-a-entry-1", "praha-a-entry-2"} {
		windows = append(windows, recordDays(observer, days)...)
	}
	bytes := 0
	for _, w := range windows {
		bytes += len(windowKey(w)) + len(encode(w))
	}
	b.ResetTimer()
	for range b.N {
		BuildReport("praha-a", atSecond(0), atSecond(days*24*3600), windows, nil)
	}
	b.ReportMetric(float64(bytes)/days/2, "B/observer-day")
	b.ReportMetric(float64(len(windows))/days/2, "windows/observer-day")
}

func recordDays(observer cluster.NodeID, days int) []Window {
	const outagesPerDay = 10
	opts := RecorderOptions{Observer: observer, Incarnation: 1, Zone: "praha-a", MaxGap: time.Minute}
	r := NewRecorder(opts, atSecond(0))
	var windows []Window
	cutAt := 0
	for now := 0; now <= days*24*3600; now += 30 {
		r.Tick(atSecond(now))
		outage := now % (24 * 3600 / outagesPerDay)
		replica := cluster.ReplicaID(fmt.Sprintf("poradce-%d", now/(24*3600/outagesPerDay)))
		switch outage {
		case 0:
			r.Apply(Event{Kind: ReplicaDown, At: atSecond(now), Group: "poradce", Replica: replica, Cause: "vm-lost", Evidence: "vm-17: no answer for 3s"})
		case 600:
			r.Apply(Event{Kind: ReplicaUp, At: atSecond(now), Group: "poradce", Replica: replica})
		}
		length := WindowLength
		if r.HasIntervals() {
			length = OutageWindowLength
		}
		if now-cutAt >= int(length/time.Second) {
			cutAt = now
			if w, ok := r.CloseWindow(); ok {
				windows = append(windows, w)
			}
		}
	}
	return windows
}

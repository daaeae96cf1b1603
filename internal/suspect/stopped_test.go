package suspect_test

import (
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/stoptest"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// Guards against the quarantine of a part whose answers arrived while the node was stopped.
func TestStoppedNodeHearsAnswersBeforeAVerdict(t *testing.T) {
	stoptest.Run(t, time.Second, func(c *stoptest.Child) {
		var ahead atomic.Int64 // of the tracker's clock
		p := &partTest{Tracker: suspect.New(suspect.Options{Node: "node-a", Peers: func() int { return 0 }, Log: slog.New(slog.DiscardHandler),
			Clock: func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }})}
		ahead.Add(int64(time.Minute))
		for range 3 {
			ahead.Add(int64(250 * time.Millisecond))
			p.answer(otherID)
			p.crash(p.request(crashID), 0)
		}
		p.answer(otherID)
		c.Stop()
		_, err := c.Answers.Read(make([]byte, 1)) // arrives during the stop
		require.NoError(t, err)
		p.answer(crashID)
		time.Sleep(400 * time.Millisecond)
		require.False(t, fennelerr.Is(p.Refuse(p.request(crashID)), fennelerr.Quarantined))
	})
}

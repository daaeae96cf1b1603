package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

// Guards against the end of a server that left as planned being taken for a crash, and the reverse.
func TestFirstNoticeOfAProcessIsKept(t *testing.T) {
	start := time.Now()
	listed := fleet.Server{ID: "a", Addr: "1", StartedAt: time.UnixMilli(1)}
	draining, restarted := listed, listed
	draining.Draining = true
	restarted.StartedAt = time.UnixMilli(2)
	d, list := &departures{}, fleet.List{Servers: []fleet.Server{listed}}
	change := func(after time.Duration, servers ...fleet.Server) {
		next := fleet.List{Servers: servers}
		d.update(fleet.Delta{Servers: []cluster.VMID{"a"}}, &list, next, start.Add(after))
		list = next
	}
	change(0, listed)
	require.Zero(t, d.noticeOf(peerOf(&listed)))
	change(time.Second, draining)
	change(2 * time.Second)
	require.Equal(t, start.Add(time.Second), d.noticeOf(peerOf(&listed)), "the removal follows the notice")
	change(3*time.Second, listed)
	require.Zero(t, d.noticeOf(peerOf(&listed)), "an expired entry is back")
	change(4*time.Second, restarted)
	require.Equal(t, start.Add(4*time.Second), d.noticeOf(peerOf(&listed)))
	require.Zero(t, d.noticeOf(peerOf(&restarted)))
	change(4*time.Second+departureTTL, draining)
	change(5*time.Second+departureTTL, draining)
	require.Zero(t, d.noticeOf(peerOf(&listed)), "old notices are dropped")
}

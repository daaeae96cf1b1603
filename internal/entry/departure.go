package entry

import (
	"sync"
	"time"

	"github.com/fennelcourse/fennelcourse/internal/conns"
	"github.com/fennelcourse/fennelcourse/internal/fleet"
	"github.com/fennelcourse/fennelcourse/internal/relay"
)

// departureTTL is how long the notice of a process is kept after it was given. Requests that run
// longer on a process that leaves are rare.
const departureTTL = time.Minute

// departures records since when processes are known to leave. It is safe for concurrent use.
type departures struct {
	mu      sync.Mutex
	notices map[conns.Peer]time.Time
}

// peerOf returns the process that a server's entry describes.
func peerOf(s *fleet.Server) conns.Peer {
	return conns.Peer{Server: s.ID, Addr: s.Addr, StartedUnixMs: s.StartedAt.UnixMilli()}
}

// update records the processes that began to leave, or are not listed any more, with the change
// from one list to the next. before may be nil.
func (d *departures) update(delta fleet.Delta, before *fleet.List, after fleet.List, now time.Time) {
	if before == nil || delta.Empty() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for peer, at := range d.notices {
		if now.Sub(at) > departureTTL {
			delete(d.notices, peer)
		}
	}
	for _, id := range delta.Servers {
		old, current := before.Find(id), after.Find(id)
		if current != nil && !current.Draining {
			delete(d.notices, peerOf(current)) // an entry that had expired is back
		}
		if old != nil && !old.Draining && !stays(old, current) {
			d.add(peerOf(old), now)
		}
	}
}

// stays reports whether a process is still listed and does not leave.
func stays(s, current *fleet.Server) bool {
	return current != nil && !current.Draining && peerOf(current) == peerOf(s)
}

// add records the first notice of a process. The caller holds d.mu.
func (d *departures) add(p conns.Peer, now time.Time) {
	if d.notices == nil {
		d.notices = make(map[conns.Peer]time.Time)
	}
	if d.notices[p].IsZero() {
		d.notices[p] = now
	}
}

// note records that a process has said itself that it leaves.
func (d *departures) note(p conns.Peer, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.add(p, now)
}

func (d *departures) noticeOf(p conns.Peer) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices[p]
}

// leavingDoubtTime is how long a server may be listed as ready after it has last said that it leaves
// until that counts as a mistake. One that leaves is listed so at once, or no more after its
// heartbeats have ceased.
const leavingDoubtTime = 30 * time.Second

// confirmation tracks since when the store has confirmed this node's list without a gap.
type confirmation struct{ since time.Time }

// update records the age of the list's last confirmation.
func (c *confirmation) update(age time.Duration, now time.Time) {
	switch {
	case age >= maxConfigAge:
		c.since = time.Time{}
	case c.since.IsZero():
		c.since = now.Add(-age)
	}
}

// holdsFor returns how long the list has been confirmed.
func (c *confirmation) holdsFor(now time.Time) time.Duration {
	if c.since.IsZero() {
		return 0
	}
	return now.Sub(c.since)
}

// withdrawLeaving has servers get requests again that are listed as ready long after they have said
// that they leave. While the store does not confirm the list, it shows nothing of the kind.
func (n *Core) withdrawLeaving(now time.Time) {
	n.confirmed.update(now.Sub(n.mirror.LastContact()), now)
	if n.confirmed.holdsFor(now) < leavingDoubtTime {
		return
	}
	if servers := n.table.WithdrawLeaving(now.Add(-leavingDoubtTime), now); len(servers) > 0 {
		n.log.Warn("servers do not leave", "servers", servers, "listed_for", leavingDoubtTime)
	}
}

// onLeaving records the notice that a process gave itself.
func (n *Core) onLeaving(p conns.Peer) { n.departures.note(p, time.Now()) }

// departure implements relay.Options.Departure.
func (n *Core) departure(p conns.Peer) relay.Departure {
	list, _ := n.currentList()
	s := list.Find(p.Server)
	d := relay.Departure{NoticeAt: n.departures.noticeOf(p), Replaced: s != nil && s.StartedAt.UnixMilli() > p.StartedUnixMs}
	leaves := s == nil || s.Draining || peerOf(s) != p
	if leaves && d.NoticeAt.IsZero() {
		d.NoticeAt = time.Now().Add(-departureTTL) // the notice was dropped, or given before this node started
	}
	return d
}

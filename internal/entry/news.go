package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/membership"
)

// newsLife is how long it counts what another node said it runs: about as long as a
// request. With 35 nodes each hears another every eight seconds; requests that had long
// ended made replicas look full, and callers were turned away from free ones.
const newsLife = time.Second

// loadBytes is what one replica's count takes in a datagram: its id and a small number.
const loadBytes = 5

// News is what this node tells the others of its region, within budget bytes: whether it
// was asked for anything, and what it runs on each replica. It is told again each round:
// datagrams are lost.
func (n *Core) News(budget int) membership.Section {
	out := membership.Section{Asked: n.asked.Load()}
	room := (budget - membership.SectionSize(out) - 2*loadBytes) / loadBytes
	for id, count := range n.table.Outstanding() {
		if room--; room < 0 {
			break // another round tells others: the order differs each time
		}
		out.LoadIDs = append(out.LoadIDs, loadID(id))
		out.LoadCounts = append(out.LoadCounts, uint32(count))
	}
	return out
}

// loadID names a replica in four bytes. Two with one id would be told apart wrongly: at
// a hundred replicas that is one chance in a million.
func loadID(id cluster.ReplicaID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Hear takes what another node told.
func (n *Core) Hear(node cluster.NodeID, news membership.Section) {
	now := time.Now()
	if news.Asked {
		n.asked.Store(true)
	}
	n.hearLoads(node, news, now)
}

// hearLoads takes another node's counts. A replica that it does not name has none of its
// requests.
func (n *Core) hearLoads(node cluster.NodeID, news membership.Section, now time.Time) {
	counts := make(map[uint32]int, len(news.LoadIDs))
	for i := range min(len(news.LoadIDs), len(news.LoadCounts)) {
		counts[news.LoadIDs[i]] = int(news.LoadCounts[i])
	}
	n.deriving.Lock()
	serving := n.serving
	n.deriving.Unlock()
	for id := range serving {
		n.table.ObservePeerOutstanding(node, id, counts[loadID(id)], now)
	}
}

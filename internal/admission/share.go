package admission

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// nodeDemand is one node's part in a split.
type nodeDemand struct {
	id     cluster.NodeID
	demand float64
	// seen is false for a node that was not heard lately.
	seen bool
}

// evenPart is the part of a total that is split evenly, so that a node whose
// demand the others do not know yet has something to start with. A total that is
// small beside the number of nodes goes by demand alone: spread evenly, most of
// it would lie where nobody asks for it.
func evenPart(pool, nodes int) float64 {
	if pool < smallPool*nodes {
		return 0
	}
	return 0.5
}

// smallPool is the units a node below which a pool is split by demand alone.
const smallPool = 2

// split returns self's part of total.
//
// Each node has an even part, which all compute alike. The nodes that see each
// other pool theirs and split the pool, partly evenly and partly by demand. A
// node that is not seen may still be serving beyond a network partition, where
// it keeps to its even part or shares it with those it sees. So the parts of all
// nodes add up to no more than the total, however the network falls apart into
// parts that see themselves. Where sight is one-sided or not passed on, two
// nodes may pool the same third one's part, and the sum is larger meanwhile.
func split(total int, nodes []nodeDemand, self cluster.NodeID, salt string) int {
	alike := make([]float64, len(nodes))
	for i := range alike {
		alike[i] = float64(total) / float64(len(nodes))
	}
	parts := whole(total, alike, nodes, salt)
	var seen []nodeDemand
	pool, demand := 0, 0.0
	for i, n := range nodes {
		if n.seen {
			seen = append(seen, n)
			pool += parts[i]
			demand += n.demand
		}
	}
	exact := make([]float64, len(seen))
	even := evenPart(pool, len(seen))
	for i, n := range seen {
		exact[i] = float64(pool) / float64(len(seen))
		if demand > 0 {
			exact[i] = even*exact[i] + (1-even)*float64(pool)*n.demand/demand
		}
	}
	parts = whole(pool, exact, seen, salt)
	for i, n := range seen {
		if n.id == self {
			return parts[i]
		}
	}
	return 0
}

// whole rounds the exact parts to whole numbers that add up to total: the rest
// goes to the largest fractions, and among equals by a rank that all nodes
// compute alike from salt.
func whole(total int, exact []float64, nodes []nodeDemand, salt string) []int {
	parts := make([]int, len(exact))
	fraction := make([]float64, len(exact))
	rank := make([]uint64, len(exact))
	order := make([]int, len(exact))
	left := total
	for i, x := range exact {
		parts[i] = int(math.Floor(x + roundingSlack))
		// Coarse fractions make equal parts equal whatever the order of the sums.
		fraction[i] = math.Round((x-float64(parts[i]))/roundingSlack) * roundingSlack
		rank[i] = xxhash.Sum64String(salt + "\x00" + string(nodes[i].id))
		order[i] = i
		left -= parts[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(fraction[b], fraction[a]), cmp.Compare(rank[a], rank[b]))
	})
	for _, i := range order[:min(max(left, 0), len(order))] {
		parts[i]++
	}
	return parts
}

// roundingSlack keeps sums of fractions from falling just short of whole numbers.
const roundingSlack = 1e-6

package admission

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// nodeDemand is one node's demand as input to split.
type nodeDemand struct {
	id     cluster.NodeID
	demand float64
	// seen is false for a node that was not heard from recently.
	seen bool
}

// evenFraction returns the fraction of a pool that is divided evenly. The even part
// gives capacity to a node whose demand the others do not know yet. A pool that is
// small relative to the number of nodes is divided by demand alone: divided evenly,
// most of it would go to nodes without requests.
func evenFraction(pool, nodes int) float64 {
	if pool < minPoolPerNode*nodes {
		return 0
	}
	return 0.5
}

// minPoolPerNode is the number of units per node below which a pool is divided by
// demand alone.
const minPoolPerNode = 2

// split returns self's part of total.
//
// Every node is entitled to an even part, which all nodes compute identically. Nodes
// that see each other pool their parts and divide the pool, partly evenly and partly by
// demand. A node that is not seen may still be serving on the other side of a network
// partition, where it uses its even part or pools it with the nodes it sees. The parts
// therefore never add up to more than the total, for any partition into sets of nodes
// that all see each other. If visibility is asymmetric or not transitive, two nodes may
// both pool a third node's part, and the sum exceeds the total until visibility
// recovers.
func split(total int, nodes []nodeDemand, self cluster.NodeID, salt string) int {
	evenParts := make([]float64, len(nodes))
	for i := range evenParts {
		evenParts[i] = float64(total) / float64(len(nodes))
	}
	parts := largestRemainder(total, evenParts, nodes, salt)
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
	even := evenFraction(pool, len(seen))
	for i, n := range seen {
		exact[i] = float64(pool) / float64(len(seen))
		if demand > 0 {
			exact[i] = even*exact[i] + (1-even)*float64(pool)*n.demand/demand
		}
	}
	parts = largestRemainder(pool, exact, seen, salt)
	for i, n := range seen {
		if n.id == self {
			return parts[i]
		}
	}
	return 0
}

// largestRemainder rounds the exact parts to integers that add up to total. The units
// left over go to the largest fractions; ties are broken by a hash that all nodes
// compute identically from salt.
func largestRemainder(total int, exact []float64, nodes []nodeDemand, salt string) []int {
	parts := make([]int, len(exact))
	fraction := make([]float64, len(exact))
	rank := make([]uint64, len(exact))
	order := make([]int, len(exact))
	remainder := total
	for i, x := range exact {
		parts[i] = int(math.Floor(x + roundingEpsilon))
		// Rounding the fractions makes equal parts compare equal regardless of
		// summation order.
		fraction[i] = math.Round((x-float64(parts[i]))/roundingEpsilon) * roundingEpsilon
		rank[i] = xxhash.Sum64String(salt + "\x00" + string(nodes[i].id))
		order[i] = i
		remainder -= parts[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(fraction[b], fraction[a]), cmp.Compare(rank[a], rank[b]))
	})
	for _, i := range order[:min(max(remainder, 0), len(order))] {
		parts[i]++
	}
	return parts
}

// roundingEpsilon keeps sums of fractions from falling just short of an integer.
const roundingEpsilon = 1e-6

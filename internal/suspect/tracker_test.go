package suspect_test

import (
	"fmt"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, c := range []scenario{
		{nodes: 4, replicas: 12, poisons: 1}, {nodes: 4, replicas: 12, poisons: 1, loss: 0.05}, {nodes: 4, replicas: 12, poisons: 1, loss: 0.3},
		{nodes: 8, replicas: 50, poisons: 1},{nodes: 8, replicas: 50, poisons: 1, loss:.3},{nodes: 4, replicas: 12, poisons: 4},
	} {
		c.length = 20*time.Second
		kills := map[int]int{}
		inn := map[int]int{}
		slow := 0
		var outs []outcome
		const n = 200
		for seed := range uint64(n) {
			c.seed = seed
			o := run(t, c)
			kills[o.kills]++
			inn[o.innocentsRefused]++
			slow += o.slowRefusals
			outs = append(outs, o)
		}
		known := sorted(outs, func(o outcome) time.Duration { return o.known })
		fmt.Printf("%+v: kills=%v innocents=%v slow=%d known med=%v p90=%v max=%v\n", c, kills, inn, slow, known[n/2], known[n*9/10], known[n-1])
	}
}

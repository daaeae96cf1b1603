package suspect_test

import (
	"fmt"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, c := range []scenario{
		{naive: true, poisons: 1},
		{poisons: 1}, {poisons: 1, loss: 0.05}, {poisons: 1, loss: 0.3}, {poisons: 4}, {poisons: 4, loss: 0.3}, {poisons: 1, cut: true},
	} {
		c.nodes, c.replicas, c.length = 4, 12, time.Minute
		for seed := range uint64(6) {
			c.seed = seed
			fmt.Printf("%+v: %+v\n", c, run(t, c))
		}
	}
}

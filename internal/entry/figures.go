package entry

import (
	"slices"

	"github.com/fennelcourse/fennelcourse/internal/routing"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

// setEngineFigures sets the published engine figures of each replica of a model that has them.
func setEngineFigures(entries []routing.Entry, set *rules.Set) {
	for i := range entries {
		at := slices.IndexFunc(set.Groups, func(g rules.Group) bool { return g.Name == entries[i].Replica.Group })
		if at >= 0 && set.Groups[at].Engine.IsSet() {
			entries[i].Engine = &set.Groups[at].Engine
		}
	}
}

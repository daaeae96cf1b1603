package gateway

import (
	"net/http"
	"sort"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

const modelsPath = "/v1/models"

// serveModels lists the models that a rule serves to the caller's team.
func (g *Gateway) serveModels(w http.ResponseWriter, r *http.Request, c caller) {
	if r.Method != http.MethodGet {
		g.refuse(w, r, c, fennelerr.New(fennelerr.InvalidRequest, "%s takes GET", modelsPath).WithRun(fennelerr.NotRun))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(g.opts.Protocol.Models(modelsOf(c.set, c.team))) // the caller may be gone: nothing left to tell
}

func modelsOf(set *rules.Set, team *rules.Team) []string {
	var names []string
	for i := range set.Groups {
		model := set.Groups[i].Model
		rt := set.Match(rules.Request{Path: engine.ChatPath, Model: model, Team: team.Name})
		if rt != nil && rt.Group != "" {
			names = append(names, model)
		}
	}
	sort.Strings(names)
	return names
}

package gateway

import (
	"net/http"
	"sort"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
	"github.com/fennelcourse/fennelcourse/internal/rules"
)

const modelsPath = "/v1/models"

// serveModels lists the models that the rules make available to the caller's team.
func (g *Gateway) serveModels(w http.ResponseWriter, r *http.Request, c caller) {
	if r.Method != http.MethodGet {
		g.refuse(w, r, c, fennelerr.New(fennelerr.InvalidRequest, "%s requires method GET", modelsPath).WithRun(fennelerr.NotRun))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(g.opts.Protocol.Models(servedModels(c.rules, c.team))) // if the caller disconnected, there is no one to report to
}

func servedModels(set *rules.Set, team *rules.Team) []string {
	var names []string
	for i := range set.Groups {
		model := set.Groups[i].Model
		route := set.Match(rules.Request{Path: engine.ChatPath, Model: model, Team: team.Name})
		if route != nil && route.Group != "" {
			names = append(names, model)
		}
	}
	sort.Strings(names)
	return names
}

package relay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/fennelcourse/fennelcourse/internal/call"
	"github.com/fennelcourse/fennelcourse/internal/cluster"
	"github.com/fennelcourse/fennelcourse/internal/rules"
	"github.com/fennelcourse/fennelcourse/internal/suspect"
)

// Target is the service that a call goes to and the group of its replicas that serves the call.
type Target struct {
	Service cluster.Service
	Group   cluster.GroupName
	// OfModel is true for replicas of a model and false for servers of a plain service.
	OfModel bool
}

// TargetOf returns the target of a call by a set of rules, which may be nil. A call that was sent to a service before keeps
// it as long as its route may go there, so that a change of weights moves no call in progress.
func TargetOf(set *rules.Set, c *call.Call, previous cluster.Service) Target {
	policy := c.Route.Policy
	if set != nil && set.Revision != c.RulesRevision {
		policy = set.PolicyInForce(c.Route)
	}
	service := previous
	if previous == "" || !policy.MayGoTo(previous) {
		service = policy.Pick(xxhash.Sum64String(c.ID))
	}
	if set == nil && c.Model != "" {
		return Target{Service: service, Group: rules.ModelGroupName(service, c.Model), OfModel: true}
	}
	group, ofModel := set.TargetGroup(service, c.Model)
	return Target{Service: service, Group: group, OfModel: ofModel}
}

// retarget has the call follow its route if that was moved to another service since. A begun answer stays
// with its kind of service: a plain service can't continue the answer of a model. It is called
// while no attempt is in progress, or with s.mu held.
func (s *session) retarget() {
	set := s.r.opts.Rules()
	t := TargetOf(set, s.call, s.target.Service)
	if t == s.target || s.started && t.OfModel != s.target.OfModel {
		return
	}
	if s.target.Service != "" {
		s.r.opts.Log.Info("call follows its route", "request", s.call.ID, "route", s.call.Route.Policy.Name, "from", s.target.Service, "service", t.Service, "group", t.Group)
	}
	s.target = t
	if s.call.Model != "" {
		s.suspect.Model = evidenceName(set, s.call.Model, t.Group)
		s.suspect.Parts = suspect.PartsOf(s.suspect.Model, s.call.PromptParts)
	}
}

// evidenceName returns the name under which the nodes keep evidence against parts of prompts: a crash of one
// service's replicas shows nothing of another service's with a model of the same name.
func evidenceName(set *rules.Set, model string, group cluster.GroupName) string {
	if set == nil {
		return model
	}
	return string(set.SharedName(group))
}

package rules

import (
	"fmt"
	"strings"
)

// Format returns a set built by Assemble in the form of a rules file: one rule a line,
// each with a comment naming askedBy. The lines also hold keys that Parse does not
// know, for what only a platform configuration can set (host, kind, timeout and the
// like).
func (s *Set) Format(askedBy string) string {
	var b strings.Builder
	line := func(format string, args ...any) {
		fmt.Fprintf(&b, format, args...)
		fmt.Fprintf(&b, "  # asked for by: %s\n", askedBy)
	}
	for _, t := range s.Teams {
		line("team name=%s tokens=%d%s", t.Name, 1+len(t.MoreTokensSHA256), optional("priority", t.Priority, NoPriority))
	}
	for _, service := range s.Services {
		line("service name=%s", service.Name)
	}
	for _, g := range s.Groups {
		line("group name=%s model=%s vms=%d domain=%s servers=%s demand=%g weigh=%s", g.Name, g.Model, g.VMs, domainValue(g.SameDomain), g.Servers, g.Demand, g.Weigh)
	}
	for _, r := range s.Routes {
		line("%s", r.format())
	}
	return b.String()
}

// format returns the route as a line of a rules file, without the comment.
func (r *Route) format() string {
	t := r.Policy
	if t == nil {
		return fmt.Sprintf("route path=%s model=%s team=%s", r.Path, r.Model, r.Team)
	}
	var to []string
	for _, w := range t.Split {
		to = append(to, fmt.Sprintf("%s:%d", w.Service, w.Weight))
	}
	out := fmt.Sprintf("route name=%s host=%s path=%s* to=%s kind=%s attempts=%d timeout=%s target=%s%s", t.Name, t.Host, r.Path,
		strings.Join(to, ","), t.Kind, t.MaxAttempts, t.Timeout, t.Target, optional("priority", t.Priority, 0))
	if t.Resumable {
		out += " resumable=yes"
	}
	if t.Public {
		out += " public=yes"
	}
	return out
}

func optional(key string, value, unset int) string {
	if value == unset {
		return ""
	}
	return fmt.Sprintf(" %s=%d", key, value)
}

func domainValue(same bool) string {
	if same {
		return "same"
	}
	return "any"
}

package rules

import "time"

// InForce is the set of rules that a node applies, with what is known of its age.
type InForce struct {
	// Set is nil until the node knows any rules.
	Set *Set
	// Age is the time since the store last confirmed that the set is the newest.
	Age time.Duration
	// Fresh reports whether Age is short enough to refuse what the set does not contain.
	Fresh bool
}

// LoggedAge returns the age for logs; "none" while the node knows no rules.
func (f InForce) LoggedAge() string {
	if f.Set == nil {
		return "none"
	}
	return f.Age.String()
}

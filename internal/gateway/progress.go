package gateway

import "time"

// minSilence is the shortest time without data from a backend server that is logged as a silence.
const minSilence = 200 * time.Millisecond

// progress is what the last log line says of a call that got no whole answer.
type progress struct {
	started time.Time
	// deadline is when the time for the call is up; zero for a streamed answer that has begun.
	deadline time.Time
	// lastActivity is when anything last came from the backend server, or the call was sent to it.
	lastActivity time.Time
	silence      silence
}

// silence is the time for which a backend server sent nothing before an attempt ended.
type silence struct {
	took time.Duration
	// from is the log field that names the server, and its value.
	from, name string
}

// recordSilence records how long the server has sent nothing.
func (p *progress) recordSilence(from, name string) {
	if took := time.Since(p.lastActivity); took >= minSilence {
		p.silence = silence{took, from, name}
	}
}

// fields returns the fields of the last log line.
func (p *progress) fields() []any {
	fields := []any{"held", time.Since(p.started)}
	if !p.deadline.IsZero() {
		fields = append(fields, "left", time.Until(p.deadline))
	}
	if p.silence.took > 0 {
		fields = append(fields, "silent", p.silence.took, p.silence.from, p.silence.name)
	}
	return fields
}

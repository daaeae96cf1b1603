package grouping

import (
	"crypto/rand"
	"strconv"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// newWriteID returns an id that no other write has.
func newWriteID() string { return rand.Text() }

// idSequence makes ids that are unique over all holders of a zone's lease: the
// fencing number never repeats, and seq rises within one term.
type idSequence struct {
	zone  cluster.ZoneID
	fence cluster.Fence
	seq   int64
}

func (s *idSequence) next(what string) string {
	s.seq++
	return string(s.zone) + "." + what + "." + strconv.FormatInt(int64(s.fence), 36) + "." + strconv.FormatInt(s.seq, 36)
}

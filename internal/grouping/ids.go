package grouping

import (
	"crypto/rand"
	"strconv"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

// newWriteID returns a random, unique write ID.
func newWriteID() string { return rand.Text() }

// idSequence generates IDs that are unique across all holders of a zone's lease: each holder
// has its own fencing token, and seq increases within its term.
type idSequence struct {
	zone  cluster.ZoneID
	fence cluster.Fence
	seq   int64
}

func (s *idSequence) next(what string) string {
	s.seq++
	return string(s.zone) + "." + what + "." + strconv.FormatInt(int64(s.fence), 36) + "." + strconv.FormatInt(s.seq, 36)
}

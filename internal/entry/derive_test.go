package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/fleet"
)

// A plain server whose entry is removed still finishes its calls. If it counted as lost,
// its calls would be moved, and one call would run on more servers than its route allows.
func TestUnlistedPlainServerIsNotLost(t *testing.T) {
	require.False(t, lostMember("i-06aab1d23d", nil))
	require.True(t, lostMember("model/7.7", nil), "a replica of a model without listed members")
	healthy := fleet.Replica{Name: "model/8", Epoch: 8, Size: 1, Members: []fleet.Server{{ID: "a"}}}
	require.False(t, lostMember(healthy.ID(), []fleet.Replica{healthy}))
}

package soak

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a soak that takes a missing or unreadable count for none.
func TestOnlyZeroCountsAreIdle(t *testing.T) {
	idle := ""
	for _, name := range idleGauges {
		idle += name + " 0\n"
	}
	counted, err := readCounted(strings.NewReader("other 3\n" + idle))
	require.NoError(t, err)
	require.Empty(t, counted)
	for _, value := range []string{"1", "-1", "NaN", "x", ""} {
		counted, err = readCounted(strings.NewReader(strings.Replace(idle, "attempts 0", "attempts "+value, 1)))
		require.NoError(t, err)
		require.Equal(t, []string{"fennel_relay_running_attempts=" + value}, counted)
	}
	_, err = readCounted(strings.NewReader(idle[strings.Index(idle, "\n")+1:]))
	require.ErrorContains(t, err, idleGauges[0])
}

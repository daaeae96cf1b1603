package entry

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/settings"
	"github.com/fennelcourse/fennelcourse/internal/store"
)

// Guards against final refusals (404, 401) by a configuration that may have been replaced.
func TestUnknownRouteIsNotRefusedByAnOldConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxChangeDelay = 2 * time.Second // in which a change must be in force
		p := testPlatform(t)
		_, err := p.Store.Txn(t.Context(), store.Txn{Then: []store.Op{store.Put(p.ConfigKey, []byte("1"), 0)}})
		require.NoError(t, err)
		core := NewCore(&settings.Settings{Node: "n", Zone: "a"}, p, CoreOptions{Log: slog.New(slog.DiscardHandler)})
		require.NoError(t, core.mirror.Refresh(t.Context()))
		time.Sleep(idleWatchTimeout + idleWatchPause)
		require.True(t, core.currentRules().Fresh, "between two answers of an idle watch")
		time.Sleep(maxChangeDelay - idleWatchTimeout - idleWatchPause)
		require.False(t, core.currentRules().Fresh)
		require.Equal(t, maxChangeDelay, core.currentRules().Age)
	})
}

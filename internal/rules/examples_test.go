package rules

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/cluster"
)

func TestExampleFilesParseAndRoute(t *testing.T) {
	for name, c := range map[string]struct {
		replicas, counter cluster.GroupName
		paid              cluster.Service
		payPath           string
		large             cluster.TeamID
		weigh             Weigh
	}{
		"urubici": {"assistente-fit", "balcao", "caixa", "/deposits/17", "bancada", WeighDowntime},
		"kucera":  {"poradce", "obchod", "platby", "/payments/17", "eshop", WeighStranded},
	} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".rules"))
			require.NoError(t, err)
			set, err := Parse(string(text))
			require.NoError(t, err)
			require.Len(t, set.Teams, 10)
			require.Equal(t, c.large, set.TeamByToken("example-token-"+string(c.large)).Name)
			require.Equal(t, 1, set.GroupByName(c.counter).Replicas, "3 replicas over 3 zones")
			for _, g := range set.Groups {
				require.Equal(t, c.weigh, g.Weigh)
				require.Equal(t, g.Name, set.Match(Request{Path: "/v1/chat/completions", Model: g.Model, Team: c.large}).Group)
			}
			paid := set.Match(Request{Path: c.payPath, Team: c.large})
			require.Equal(t, c.paid, paid.Service)
			require.Equal(t, OnceRequired, paid.Once)
			require.Nil(t, set.Match(Request{Path: "/v1/chat/completions", Model: "other", Team: c.large}))
		})
	}
}

// TestDocsExamples checks the operators' page: the rules files in it must parse, and the
// error messages in it must be those of the invalid files beside them.
func TestDocsExamples(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "rules.md"))
	require.NoError(t, err)
	blocks := strings.Split(string(page), "```")
	accepted := 0
	for i := 1; i < len(blocks); i += 2 {
		if text, ok := strings.CutPrefix(blocks[i], "rules\n"); ok {
			_, err := Parse(text)
			require.NoError(t, err, text)
			accepted++
		}
		text, ok := strings.CutPrefix(blocks[i], "bad-rules\n")
		if !ok {
			continue
		}
		_, err := Parse(text)
		require.Error(t, err)
		require.Contains(t, string(page), err.Error())
		accepted++
	}
	require.GreaterOrEqual(t, accepted, 3)
}

package openai

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/engine"
	"github.com/fennelcourse/fennelcourse/internal/fennelerr"
)

// Any body is either refused with a typed error with run state not-run, or converted to a
// body for the same model that requests a stream and that parse accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"assistente-fit","messages":[{"role":"user","content":"cold left foot"}],"max_tokens":12}`))
	f.Add([]byte(`{"model":"a","prompt":["x"],"n":2}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{engine.ChatPath, engine.CompletionsPath} {
			req, err := parse(path, body)
			if err != nil {
				refusal, ok := errors.Into[*fennelerr.Error](err)
				require.True(t, ok, "%T", err)
				require.Equal(t, fennelerr.NotRun, refusal.Run)
				continue
			}
			sent, err := req.engineBody("")
			require.NoError(t, err)
			reparsed, err := parse(path, sent)
			require.NoError(t, err)
			require.True(t, reparsed.stream)
			require.Equal(t, req.model, reparsed.model)
		}
	})
}

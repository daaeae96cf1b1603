package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

const configuration = standin.SmallConfig

func stampRequest(h http.Header, id, model string) { standin.SetRequestHeaders(h, id, model) }

// wholeAnswer is what a call's answer must be.
func wholeAnswer(c Call) string {
	if c.Unsafe {
		return "answer to " + c.ID
	}
	var b strings.Builder
	for i := 1; i <= soakPieces; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", i, i, c.ID)
	}
	return b.String()
}

// soakPieces is the length of a stream: some hundred ms, so that faults meet it.
const soakPieces = 30

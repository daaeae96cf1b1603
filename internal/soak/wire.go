package soak

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/fennelcourse/fennelcourse/platform/standin"
)

const configTemplate = standin.SmallConfig

// maxAttempts is the number of attempts that each route of the configuration allows.
const maxAttempts = 2

func setRequestHeaders(h http.Header, id, model string) { standin.SetRequestHeaders(h, id, model) }

// expectedAnswer returns the body of the correct response to a call.
func expectedAnswer(c Call) string {
	if c.Unsafe {
		return "answer to " + c.ID
	}
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", i, i, c.ID)
	}
	return b.String()
}

// streamEvents is the number of events in a stream. A stream then takes some hundred
// milliseconds, long enough for faults to occur during it.
const streamEvents = 30

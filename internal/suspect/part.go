package suspect

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Part identifies one part of the prompts for a model, by a hash of the model and the part's ID.
type Part uint64

// PartsOf returns the parts of a prompt that other requests may share: all but the last one.
func PartsOf(model string, ids []uint64) []Part {
	if len(ids) < 2 {
		return nil
	}
	parts := make([]Part, len(ids)-1)
	for i, id := range ids[:len(ids)-1] {
		b := binary.BigEndian.AppendUint64([]byte(model), id)
		parts[i] = Part(xxhash.Sum64(b))
	}
	return parts
}

// String returns the part in hex, as it appears in logs.
func (p Part) String() string { return key(p).String() }

// maxLoggedParts bounds the parts in one log line.
const maxLoggedParts = 8

// JoinParts lists parts for a log line.
func JoinParts(parts []Part) string {
	var text []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		text = append(text, p.String())
	}
	return strings.Join(text, ",")
}

package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxPrefixHashes bounds the number of hashed prefixes per prompt. Longer prompts are
// distinguished by their first MaxPrefixHashes*PrefixBlock bytes only.
const MaxPrefixHashes = 64

// Message is one message of a chat request, with the fields that form the prompt text.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// PromptText returns the text whose prefixes engines cache: for a chat the roles and
// contents of its messages in order, otherwise the completion's prompt. Content
// that is not a string is represented by its JSON text.
func PromptText(messages []Message, prompt json.RawMessage) string {
	if len(messages) == 0 {
		return contentText(prompt)
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(contentText(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

func contentText(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// PrefixHashes returns the hashes of the text's prefixes whose length is a multiple of
// PrefixBlock bytes, longest first; none for a text shorter than one block.
func PrefixHashes(text string) []uint64 {
	n := min(len(text)/PrefixBlock, MaxPrefixHashes)
	hashes := make([]uint64, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(text[i*PrefixBlock : (i+1)*PrefixBlock])
		hashes[n-1-i] = d.Sum64()
	}
	return hashes
}

// MessageHashes returns the hash of each message.
func MessageHashes(messages []Message) []uint64 {
	hashes := make([]uint64, len(messages))
	for i, m := range messages {
		hashes[i] = xxhash.Sum64String(PromptText([]Message{m}, nil))
	}
	return hashes
}

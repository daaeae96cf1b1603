package wire

import (
	"crypto/hmac"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Sign returns an authentication tag of the message by the first key, as text.
func (k *Keyring) Sign(message []byte) string {
	key := k.set.Load().signing
	return fmt.Sprintf("%d.%s", key.id, hex.EncodeToString(key.appendTag(nil, nil, message)))
}

// Verify reports whether the tag was made by Sign with one of the keys.
func (k *Keyring) Verify(message []byte, tag string) bool {
	id, text, _ := strings.Cut(tag, ".")
	number, err := strconv.ParseUint(id, 10, 32)
	if err != nil {
		return false
	}
	key := k.set.Load().byID[uint32(number)]
	given, err := hex.DecodeString(text)
	return key != nil && err == nil && hmac.Equal(given, key.appendTag(nil, nil, message))
}

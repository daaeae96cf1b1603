package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// MinSecretLength is the least length of a key's secret, in bytes.
const MinSecretLength = 16

// Key is one shared secret of all nodes of a system.
type Key struct {
	ID     uint32
	Secret []byte
}

// Keyring holds the keys in use; the first signs and all verify. To rotate
// without a restart and without losing datagrams, first add the new key behind
// the old one on all nodes, then move it to the front, then drop the old one.
type Keyring struct {
	set atomic.Pointer[keySet]
}

type keySet struct {
	signing *macKey
	byID    map[uint32]*macKey
}

// macKey pools the keyed hash states: keying costs more than hashing a small packet.
type macKey struct {
	id   uint32
	pool sync.Pool
}

// NewKeyring returns a ring that signs with the first key.
func NewKeyring(keys ...Key) (*Keyring, error) {
	k := &Keyring{}
	if err := k.Replace(keys...); err != nil {
		return nil, err
	}
	return k, nil
}

// Replace replaces all keys at once. On an error the old keys stay.
func (k *Keyring) Replace(keys ...Key) error {
	if len(keys) == 0 {
		return &ConfigError{Field: "keys", Cause: errors.New("no key given")}
	}
	set := &keySet{byID: make(map[uint32]*macKey, len(keys))}
	for _, key := range keys {
		if len(key.Secret) < MinSecretLength {
			return &ConfigError{Field: "keys", Cause: errors.Errorf("secret of key %d is shorter than %d bytes", key.ID, MinSecretLength)}
		}
		if set.byID[key.ID] != nil {
			return &ConfigError{Field: "keys", Cause: errors.Errorf("key %d is given twice", key.ID)}
		}
		set.byID[key.ID] = newMACKey(key)
	}
	set.signing = set.byID[keys[0].ID]
	k.set.Store(set)
	return nil
}

func newMACKey(key Key) *macKey {
	secret := append([]byte(nil), key.Secret...)
	m := &macKey{id: key.ID}
	m.pool.New = func() any { return hmac.New(sha256.New, secret) }
	return m
}

// tag appends to dst the authentication tag over the header's first bytes and the body.
func (m *macKey) tag(dst, head, body []byte) []byte {
	h := m.pool.Get().(hash.Hash)
	defer m.pool.Put(h)
	h.Reset()
	h.Write(head)
	h.Write(body)
	var sum [sha256.Size]byte
	return append(dst, h.Sum(sum[:0])[:tagSize]...)
}

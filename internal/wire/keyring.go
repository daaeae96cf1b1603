package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// MinSecretLength is the minimum length of a key's secret in bytes.
const MinSecretLength = 16

// Key is a secret shared by all nodes of a system.
type Key struct {
	ID     uint32
	Secret []byte
}

// Keyring holds the keys in use: the first one signs and all of them verify. To rotate
// keys without a restart and without losing datagrams, add the new key after the old
// one on all nodes, then move it to the front on all nodes, then remove the old one.
type Keyring struct {
	set atomic.Pointer[keySet]
}

type keySet struct {
	signing *macKey
	byID    map[uint32]*macKey
}

// macKey pools keyed hash states, because keying a hash costs more than hashing a small
// packet.
type macKey struct {
	id   uint32
	pool sync.Pool
}

// NewKeyring returns a keyring that signs with the first key.
func NewKeyring(keys ...Key) (*Keyring, error) {
	k := &Keyring{}
	if err := k.Replace(keys...); err != nil {
		return nil, err
	}
	return k, nil
}

// Replace replaces all keys atomically. On an error the current keys stay in use.
func (k *Keyring) Replace(keys ...Key) error {
	if len(keys) == 0 {
		return &ConfigError{Field: "keys", Cause: errors.New("no key configured")}
	}
	set := &keySet{byID: make(map[uint32]*macKey, len(keys))}
	for _, key := range keys {
		if len(key.Secret) < MinSecretLength {
			return &ConfigError{Field: "keys", Cause: errors.Errorf("secret of key %d is shorter than %d bytes", key.ID, MinSecretLength)}
		}
		if set.byID[key.ID] != nil {
			return &ConfigError{Field: "keys", Cause: errors.Errorf("duplicate key id %d", key.ID)}
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

// appendTag appends to dst the authentication tag of the header's authenticated part and
// the body.
func (m *macKey) appendTag(dst, header, body []byte) []byte {
	h := m.pool.Get().(hash.Hash)
	defer m.pool.Put(h)
	h.Reset()
	h.Write(header)
	h.Write(body)
	var sum [sha256.Size]byte
	return append(dst, h.Sum(sum[:0])[:tagSize]...)
}

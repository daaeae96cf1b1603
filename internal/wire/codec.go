package wire

import (
	"crypto/hmac"
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// authHeaderSize is the length of the part of the header that the tag authenticates:
// the version and the key ID.
const authHeaderSize = 1 + 4

// Seal encodes a datagram and signs it with the keyring's first key.
func (k *Keyring) Seal(d *wirepb.Datagram) ([]byte, error) {
	size := proto.Size(d)
	if size > MaxBody {
		return nil, &SendError{Size: size}
	}
	key := k.set.Load().signing
	packet := make([]byte, headerSize, headerSize+size)
	packet[0] = version1
	binary.BigEndian.PutUint32(packet[1:authHeaderSize], key.id)
	packet, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(packet, d)
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	key.appendTag(packet[authHeaderSize:authHeaderSize], packet[:authHeaderSize], packet[headerSize:])
	return packet, nil
}

// Open verifies and decodes a packet. It does not retain the packet. The result may
// still be a replay; see ReplayWindow.
func (k *Keyring) Open(packet []byte) (*wirepb.Datagram, error) {
	if len(packet) > MaxPacket {
		return nil, newDropError(Oversized)
	}
	if len(packet) < headerSize {
		return nil, newDropError(Truncated)
	}
	if packet[0] != version1 {
		return nil, newDropError(UnknownVersion)
	}
	key := k.set.Load().byID[binary.BigEndian.Uint32(packet[1:authHeaderSize])]
	if key == nil {
		return nil, newDropError(UnknownKey)
	}
	var want [tagSize]byte
	key.appendTag(want[:0], packet[:authHeaderSize], packet[headerSize:])
	if !hmac.Equal(want[:], packet[authHeaderSize:headerSize]) {
		return nil, newDropError(Forged)
	}
	d := &wirepb.Datagram{}
	if err := proto.Unmarshal(packet[headerSize:], d); err != nil {
		return nil, &DropError{Reason: Malformed, Cause: err}
	}
	if d.Node == "" || d.Zone == "" || d.Incarnation == 0 || d.Sequence == 0 {
		return nil, &DropError{Reason: Malformed, Node: d.Node}
	}
	return d, nil
}

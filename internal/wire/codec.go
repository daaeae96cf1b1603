package wire

import (
	"crypto/hmac"
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// headSize is the part of the header that the tag covers.
const headSize = 1 + 4

// Seal encodes and signs a datagram with the ring's first key.
func (k *Keyring) Seal(d *wirepb.Datagram) ([]byte, error) {
	size := proto.Size(d)
	if size > MaxBody {
		return nil, &SendError{Size: size}
	}
	key := k.set.Load().signing
	packet := make([]byte, headerSize, headerSize+size)
	packet[0] = version1
	binary.BigEndian.PutUint32(packet[1:headSize], key.id)
	packet, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(packet, d)
	if err != nil {
		return nil, &SendError{Cause: err}
	}
	key.tag(packet[headSize:headSize], packet[:headSize], packet[headerSize:])
	return packet, nil
}

// Open verifies and decodes a packet. It keeps no reference to it. The result
// may still be a replay: see Window.
func (k *Keyring) Open(packet []byte) (*wirepb.Datagram, error) {
	if len(packet) > MaxPacket {
		return nil, drop(Oversized)
	}
	if len(packet) < headerSize {
		return nil, drop(Truncated)
	}
	if packet[0] != version1 {
		return nil, drop(UnknownVersion)
	}
	key := k.set.Load().byID[binary.BigEndian.Uint32(packet[1:headSize])]
	if key == nil {
		return nil, drop(UnknownKey)
	}
	var want [tagSize]byte
	key.tag(want[:0], packet[:headSize], packet[headerSize:])
	if !hmac.Equal(want[:], packet[headSize:headerSize]) {
		return nil, drop(Forged)
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

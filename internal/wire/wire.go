// Package wire is the inner protocol between the system's own processes: small
// authenticated datagrams on gnet for heartbeats and what rides on them, and the
// TLS settings under which connect-go calls are made.
//
// A packet is a header and a protobuf body:
//
//	byte  0      version (1)
//	bytes 1..4   key id, big endian
//	bytes 5..20  HMAC-SHA256 over version, key id and body, cut to 16 bytes
//	bytes 21..   wirepb.Datagram
//
// A packet is never longer than MaxPacket, so that it travels unfragmented; a
// sender with more to say sends several datagrams. Datagrams are lost, repeated
// and reordered by the network, and recorded and sent again by an attacker; the
// receiver drops and counts all but the first copy of each. Delivery is never
// assumed by those who send.
package wire

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Sizes in bytes.
const (
	// MaxPacket fits every MTU in use with room for tunnels.
	MaxPacket  = 1200
	tagSize    = 16
	headerSize = 1 + 4 + tagSize
	// MaxBody is the room for the encoded wirepb.Datagram.
	MaxBody = MaxPacket - headerSize
)

const version1 = 1

// Bounds on the time stamped by the sender, checked by the receiver. The VMs'
// clocks must agree within DefaultMaxSkew; a node whose clock is further off is
// not heard, which shows in the dropped counters of its peers.
const (
	// DefaultMaxAge bounds how long a datagram may have travelled, or been kept by an attacker.
	DefaultMaxAge = 10 * time.Second
	// DefaultMaxSkew is the allowance for clocks that differ, in both directions.
	DefaultMaxSkew = 5 * time.Second
)

// Handler takes one accepted datagram. It runs on the receiving thread and must not block.
type Handler func(d *wirepb.Datagram)

// Package wire implements the internal protocol between the processes of a system:
// small authenticated datagrams on gnet for heartbeats and the state they carry, and the
// TLS configuration for connect-go calls.
//
// A packet is a header and a protobuf body:
//
//	byte  0      version (1)
//	bytes 1..4   key ID, big endian
//	bytes 5..20  HMAC-SHA256 of version, key ID and body, truncated to 16 bytes
//	bytes 21..   wirepb.Datagram
//
// A packet is never longer than MaxPacket, to avoid IP fragmentation; a sender with more
// data sends several datagrams. The network may lose, duplicate and reorder datagrams,
// and an attacker may record and replay them. The receiver accepts the first copy of a
// datagram and drops and counts all others. Senders must not rely on delivery.
package wire

import (
	"time"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

// Sizes in bytes.
const (
	// MaxPacket fits every MTU in use, with room for tunnel headers.
	MaxPacket  = 1200
	tagSize    = 16
	headerSize = 1 + 4 + tagSize
	// MaxBody is the maximum size of the encoded wirepb.Datagram.
	MaxBody = MaxPacket - headerSize
)

const version1 = 1

// Limits on the send time in a datagram, checked by the receiver. The VMs' clocks must
// agree within DefaultMaxSkew. The datagrams of a node with a larger clock error are
// dropped, which is visible in the drop counters of its peers.
const (
	// DefaultMaxAge limits how long a datagram may be in transit or held by an attacker.
	DefaultMaxAge = 10 * time.Second
	// DefaultMaxSkew is the tolerated clock difference in either direction.
	DefaultMaxSkew = 5 * time.Second
)

// Handler processes one accepted datagram. It runs on the receiving goroutine and must
// not block.
type Handler func(d *wirepb.Datagram)

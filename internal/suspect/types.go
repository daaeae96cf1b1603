// Package suspect finds the requests that crash replicas. A crash makes all of
// the replica's requests in flight suspects; a suspect is retried alone; success
// clears it and a second crash quarantines its fingerprint on every node.
package suspect

import "encoding/hex"

// Fingerprint identifies a request by its content: team, path and body.
type Fingerprint [16]byte

// String returns the fingerprint in hex, as it appears in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

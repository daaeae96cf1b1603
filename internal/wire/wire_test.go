package wire

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/fennelcourse/fennelcourse/internal/wire/wirepb"
)

var (
	keyA = Key{ID: 1, Secret: []byte("0123456789abcdef")}
	keyB = Key{ID: 2, Secret: []byte("fedcba9876543210")}
)

func newTestKeyring(t testing.TB, keys ...Key) *Keyring {
	t.Helper()
	k, err := NewKeyring(keys...)
	require.NoError(t, err)
	return k
}

func newTestDatagram(sequence uint64, sent time.Time) *wirepb.Datagram {
	return &wirepb.Datagram{Node: "n1", Zone: "z1", Incarnation: 7, Sequence: sequence, SentUnixMs: sent.UnixMilli()}
}

func reasonOf(err error) DropReason {
	if d, ok := err.(*DropError); ok {
		return d.Reason
	}
	return ""
}

// Packets may be corrupted or truncated by the network, or forged without the key. If
// one of them were accepted, it could declare nodes dead or block callers' requests.
func TestOpenRejectsInvalidPackets(t *testing.T) {
	keys := newTestKeyring(t, keyA)
	good, err := keys.Seal(newTestDatagram(1, time.Now()))
	require.NoError(t, err)
	flipped := bytes.Clone(good)
	flipped[len(flipped)-1] ^= 1
	wrongVersion := bytes.Clone(good)
	wrongVersion[0] = 9
	otherKey, err := newTestKeyring(t, keyB).Seal(newTestDatagram(1, time.Now()))
	require.NoError(t, err)
	sameID, err := newTestKeyring(t, Key{ID: keyA.ID, Secret: keyB.Secret}).Seal(newTestDatagram(1, time.Now()))
	require.NoError(t, err)
	noSender, err := keys.Seal(&wirepb.Datagram{Zone: "z1"})
	require.NoError(t, err)

	for name, c := range map[string]struct {
		packet []byte
		want   DropReason
	}{
		"whole":             {good, ""},
		"empty":             {nil, Truncated},
		"incomplete header": {good[:headerSize-1], Truncated},
		"truncated body":    {good[:len(good)-3], Forged},
		"bit flipped":       {flipped, Forged},
		"other version":     {wrongVersion, UnknownVersion},
		"unknown key":       {otherKey, UnknownKey},
		"wrong secret":      {sameID, Forged},
		"no sender":         {noSender, Malformed},
		"too long":          {append(bytes.Clone(good), make([]byte, MaxPacket)...), Oversized},
	} {
		_, err := keys.Open(c.packet)
		require.Equal(t, c.want, reasonOf(err), name)
	}
}

func TestSealRejectsOversizedDatagram(t *testing.T) {
	d := newTestDatagram(1, time.Now())
	d.Members = []*wirepb.Member{{Node: string(make([]byte, MaxBody))}}
	_, err := newTestKeyring(t, keyA).Seal(d)
	sendErr, ok := err.(*SendError)
	require.True(t, ok)
	require.Greater(t, sendErr.Size, MaxBody)
}

// Operators rotate the datagram keys of running nodes. If a node signed with a key that
// other nodes do not have yet, they would consider it dead.
func TestKeyRotationLosesNoDatagrams(t *testing.T) {
	sender, receiver := newTestKeyring(t, keyA), newTestKeyring(t, keyA)
	deliver := func() {
		packet, err := sender.Seal(newTestDatagram(1, time.Now()))
		require.NoError(t, err)
		_, err = receiver.Open(packet)
		require.NoError(t, err)
	}
	steps := [][]Key{{keyA, keyB}, {keyB, keyA}, {keyB}}
	for _, keys := range steps {
		require.NoError(t, receiver.Replace(keys...))
		deliver()
		require.NoError(t, sender.Replace(keys...))
		deliver()
	}
	require.Error(t, sender.Replace())
	require.Error(t, sender.Replace(keyA, keyA))
	require.Error(t, sender.Replace(Key{ID: 3, Secret: []byte("short")}))
	deliver()
}

// An attacker replays recorded datagrams, at once or later, or a node's old process
// resumes after its successor has sent datagrams. If they were accepted, a dead node
// would appear alive, or a lifted quarantine would be restored.
func TestReplayWindow(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	steps := []struct {
		name        string
		incarnation uint64
		sequence    uint64
		sent        time.Duration
		want        DropReason
	}{
		{"first", 7, 10, 0, ""},
		{"replayed", 7, 10, 0, Replayed},
		{"reordered", 7, 8, 0, ""},
		{"reordered and replayed", 7, 8, 0, Replayed},
		{"sequence gap", 7, 500, 0, ""},
		{"last sequence in the window", 7, 437, 0, ""},
		{"behind the window", 7, 436, 0, TooOld},
		{"above the age limit", 7, 501, -DefaultMaxAge - DefaultMaxSkew - time.Millisecond, TooOld},
		{"at the age limit", 7, 502, -DefaultMaxAge - DefaultMaxSkew, ""},
		{"clock ahead", 7, 503, DefaultMaxSkew + time.Millisecond, FromFuture},
		{"clock ahead within the tolerance", 7, 503, DefaultMaxSkew, ""},
		{"restarted", 8, 1, 0, ""},
		{"old process resumes", 7, 600, 0, OldIncarnation},
	}
	w := NewReplayWindow(0, 0)
	for _, s := range steps {
		d := &wirepb.Datagram{Node: "n1", Incarnation: s.incarnation, Sequence: s.sequence, SentUnixMs: now.Add(s.sent).UnixMilli()}
		require.Equal(t, s.want, reasonOf(w.Accept(d, now)), s.name)
	}
}

// The number of senders is limited. The window must not forget a sender while a replay
// of one of its datagrams would still be accepted.
func TestReplayWindowForgetsOnlyExpiredSenders(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	w := NewReplayWindow(0, 0)
	accept := func(node int, at time.Time) DropReason {
		d := &wirepb.Datagram{Node: string(rune('0' + node)), Incarnation: 1, Sequence: 1, SentUnixMs: at.UnixMilli()}
		return reasonOf(w.Accept(d, at))
	}
	for i := range maxSenders {
		require.Empty(t, accept(i, now))
	}
	require.Equal(t, TooManySenders, accept(maxSenders, now))
	require.Equal(t, Replayed, accept(0, now))
	require.Empty(t, accept(maxSenders, now.Add(time.Minute)))
}

func FuzzOpen(f *testing.F) {
	keys := newTestKeyring(f, keyA)
	good, err := keys.Seal(newTestDatagram(1, time.Unix(1_800_000_000, 0)))
	require.NoError(f, err)
	f.Add(good, false)
	f.Add(good[:headerSize], false)
	f.Add([]byte{}, false)
	f.Add(protowire.AppendVarint([]byte{0x52, 0x05}, 1<<40), true)
	f.Fuzz(func(t *testing.T, data []byte, sign bool) {
		packet := data
		if sign {
			packet = make([]byte, headerSize, headerSize+len(data))
			packet[0], packet[4] = version1, byte(keyA.ID)
			packet = append(packet, data...)
			keys.set.Load().signing.appendTag(packet[authHeaderSize:authHeaderSize], packet[:authHeaderSize], packet[headerSize:])
		}
		d, err := keys.Open(packet)
		if err != nil {
			require.NotEmpty(t, reasonOf(err))
			return
		}
		if size := proto.Size(d); size <= MaxBody {
			_, err = keys.Seal(d)
			require.NoError(t, err)
		}
		_ = NewReplayWindow(0, 0).Accept(d, time.Unix(1_800_000_000, 0))
	})
}

// benchDatagram has the size of a heartbeat in a zone of 25 nodes.
func benchDatagram() *wirepb.Datagram {
	d := newTestDatagram(1, time.Now())
	for range 12 {
		d.Replicas = append(d.Replicas, &wirepb.ReplicaStatus{Replica: "assistente-fit-serra-a-12", Generation: 4711, Running: 3})
	}
	return d
}

func BenchmarkSeal(b *testing.B) {
	keys, d := newTestKeyring(b, keyA), benchDatagram()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = keys.Seal(d)
	}
}

func BenchmarkOpen(b *testing.B) {
	keys := newTestKeyring(b, keyA)
	packet, err := keys.Seal(benchDatagram())
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = keys.Open(packet)
	}
}

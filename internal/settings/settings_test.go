package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/fennelcourse/fennelcourse/internal/settings"
)

const secret = "00112233445566778899aabbccddeeff"

// minimalFile sets only the required keys.
const minimalFile = `node: serra-a-1
zone: serra-a
listen: {callers: "127.0.0.1:8080", control: "127.0.0.1:8444", datagrams: "127.0.0.1:8445"}
platform: {store: ["http://127.0.0.1:2379"], vm_list: "http://127.0.0.1:7380"}
peers: {keys: [{id: 1, secret: "` + secret + `"}]}
tls: {off: true}
`

func TestDefaults(t *testing.T) {
	s, err := settings.Parse([]byte(minimalFile))
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, s.Platform.Timeout)
	require.Equal(t, 5*time.Second, s.Platform.VMListEvery)
	require.Equal(t, settings.Requests{MaxBody: 4 << 20, Deadline: 30 * time.Second, CallTimeout: 20 * time.Second, ClaimRetention: 24 * time.Hour}, s.Requests)
	require.Equal(t, settings.Control{PlacementLease: 10 * time.Second, ConfirmWithin: 8 * time.Second, LoadsPerMinute: 60}, s.Control)
	require.Equal(t, time.Second, s.Peers.Heartbeat)
	require.Equal(t, 5*time.Second, s.Drain.Notice)
	require.Equal(t, "info", s.Log.Level)
}

func TestInvalidSettings(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	tests := []struct {
		name, replace, with string
		// want lists the errors' fields and found values, in order.
		want []settings.FieldError
	}{
		{"empty file", minimalFile, "", []settings.FieldError{
			{Field: "listen.callers"}, {Field: "listen.control"}, {Field: "listen.datagrams"}, {Field: "node"}, {Field: "peers.keys"},
			{Field: "platform.store"}, {Field: "platform.vm_list"}, {Field: "tls.ca"}, {Field: "tls.cert"}, {Field: "tls.key"}, {Field: "zone"}}},
		{"unknown key", "zone:", "zoen:", []settings.FieldError{{Field: "line 2, column 1", Found: "zoen"}}},
		{"unknown inner key", "{off: true}", "{of: true}", []settings.FieldError{{Field: "line 6, column 7", Found: "of"}}},
		{"duplicate key", "zone: serra-a", "node: b", []settings.FieldError{{Field: "line 2, column 1", Found: "(not shown)"}}},
		{"second document", "tls: {off: true}\n", "tls: {off: true}\n---\nnode: b\n", []settings.FieldError{{Field: "---", Found: "a second document"}}},
		{"name with slash", "node: serra-a-1", "node: a/1", []settings.FieldError{{Field: "node", Found: "a/1"}}},
		{"host name as a listen address", "127.0.0.1:8080", "localhost:8080", []settings.FieldError{{Field: "listen.callers", Found: "localhost:8080"}}},
		{"port out of range", "127.0.0.1:8080", "127.0.0.1:80800", []settings.FieldError{{Field: "listen.callers", Found: "127.0.0.1:80800"}}},
		{"control on the unspecified address", "127.0.0.1:8444", "0.0.0.0:8444", []settings.FieldError{{Field: "listen.control", Found: "0.0.0.0:8444"}}},
		{"datagrams on the unspecified address", "127.0.0.1:8445", "[::]:8445", []settings.FieldError{{Field: "listen.datagrams", Found: "[::]:8445"}}},
		{"store without scheme", "http://127.0.0.1:2379", "127.0.0.1:2379", []settings.FieldError{{Field: "platform.store[0]", Found: "127.0.0.1:2379"}}},
		{"seed", "peers: {", "peers: {seeds: [x], ", []settings.FieldError{{Field: "peers.seeds[0]", Found: "x"}}},
		{"duration without unit", "platform: {", "platform: {timeout: 2, ", []settings.FieldError{{Field: "line 4, column 21", Found: "a value read as uint64"}}},
		{"duration with a wrong unit", "platform: {", "platform: {timeout: 2ns, ", []settings.FieldError{{Field: "platform.timeout", Found: "2ns"}}},
		{"negative drain notice", "tls:", "drain: {notice: -1s}\ntls:", []settings.FieldError{{Field: "drain.notice", Found: "-1s"}}},
		{"placement lease too short", "tls:", "control: {placement_lease: 1s}\ntls:", []settings.FieldError{{Field: "control.placement_lease", Found: "1s"}}},
		{"negative load rate", "tls:", "control: {loads_per_minute: -1}\ntls:", []settings.FieldError{{Field: "control.loads_per_minute", Found: "-1"}}},
		{"negative max body", "tls:", "requests: {max_body: -1}\ntls:", []settings.FieldError{{Field: "requests.max_body", Found: "-1"}}},
		{"level", "tls:", "log: {level: loud}\ntls:", []settings.FieldError{{Field: "log.level", Found: "loud"}}},
		{"tls file together with off", "{off: true}", "{off: true, ca: x}", []settings.FieldError{{Field: "tls.off", Found: "true"}}},
		{"tls without key", "{off: true}", "{cert: x, ca: x}", []settings.FieldError{{Field: "tls.key"}}},
		{"secret too short", secret, "0011", []settings.FieldError{{Field: "peers.keys[0].secret", Found: "(not shown)"}}},
		{"secret file missing", `secret: "` + secret, `secret_file: "` + missing, []settings.FieldError{{Field: "peers.keys[0].secret_file", Found: missing}}},
		{"no secret", `, secret: "` + secret + `"`, "", []settings.FieldError{{Field: "peers.keys[0]", Found: "neither"}}},
		{"both secrets", "{id: 1,", "{id: 1, secret_file: x,", []settings.FieldError{{Field: "peers.keys[0]", Found: "both"}}},
		{"two keys with the same id", "[{id: 1,", `[{id: 1, secret: "` + secret + `"}, {id: 1,`, []settings.FieldError{{Field: "peers.keys[1].id", Found: "1"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(minimalFile, tt.replace, tt.with, 1)
			require.NotEqual(t, minimalFile, text)
			_, err := settings.Parse([]byte(text))
			fieldErrs, ok := errors.Into[settings.Errors](err)
			require.True(t, ok, "%v", err)
			var got []settings.FieldError
			for _, fieldErr := range fieldErrs {
				e, ok := errors.Into[*settings.FieldError](fieldErr)
				require.True(t, ok, "%v", fieldErr)
				require.NotEmpty(t, e.Want)
				got = append(got, settings.FieldError{Field: e.Field, Found: e.Found})
			}
			require.Equal(t, tt.want, got)
		})
	}
}

func TestNoticeThatTakesTheWholeGracePeriodIsInvalid(t *testing.T) {
	const file = "node: n\nzone: z\nregion: r\nlisten: {callers: \"127.0.0.1:0\", ready: \"127.0.0.1:0\"}\nplatform: {driver: managed, address: \"127.0.0.1:1\"}\nprocess: {grace: 8s}\n"
	_, err := settings.Parse([]byte(file + "drain: {notice: 7s}\n"))
	require.NoError(t, err)
	_, err = settings.Parse([]byte(file + "drain: {notice: 8s}\n"))
	require.ErrorContains(t, err, "drain.notice")
}

// Guards against secrets in error messages. A YAML error next to a key's secret is
// printed on the terminal and, on a reload, logged; it must not quote the secret.
func TestErrorsOmitSecrets(t *testing.T) {
	for _, text := range []string{
		strings.Replace(minimalFile, "id: 1,", "idd: 1,", 1),
		strings.Replace(minimalFile, "{id: 1, secret", "{id: x, secret", 1),
		strings.Replace(minimalFile, `"}]}`, `"}]`, 1),
		strings.Replace(minimalFile, secret, "zz"+secret, 1),
	} {
		_, err := settings.Parse([]byte(text))
		require.Error(t, err)
		require.NotContains(t, err.Error(), secret)
		require.NotContains(t, err.Error(), "\n")
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		key := filepath.Join(t.TempDir(), "key")
		require.NoError(t, os.WriteFile(key, []byte(secret+"\n"), 0o600))
		s, err := settings.Parse([]byte(strings.Replace(string(text), "/etc/fennel/datagram-1.key", key, 1)))
		require.NoError(t, err, file)
		require.Contains(t, file, string(s.Node))
		require.Contains(t, string(s.Node), string(s.Zone))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalFile))
	f.Add([]byte("peers: {keys: [{id: 1}"))
	f.Add([]byte("node: &a [*a]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse(text)
		if err == nil {
			require.NotEmpty(t, s.Node)
			require.NotEmpty(t, s.Peers.Keys)
			return
		}
		_, ok := errors.Into[settings.Errors](err)
		require.True(t, ok, "%v", err)
	})
}

package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"bilberryshelf/setup"
)

const goodEntry = `name = "entry-1"
listen = "10.0.0.7:7000"
inner-listen = "10.0.0.7:7100"

[place]
region = "recife"
failure-domain = "recife-a"

[platform]
tables-url = "http://10.0.0.9:9100"
objects-url = "http://10.0.0.9:9100/objects"
instances-url = "http://10.0.0.9:9100/instances"

[limits]
max-body = "2MiB"

[timing]
hello-every = "500ms"

[[tokens]]
name = "nodes"
role = "node"
token = "secret"
`

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestDefaultsAreMerged(t *testing.T) {
	en, err := setup.ReadEntry(write(t, goodEntry))
	require.NoError(t, err)
	require.Equal(t, setup.Size(2<<20), en.Limits.MaxBody)
	require.Equal(t, 500*time.Millisecond, en.Timing.HelloEvery.Std())
	require.Equal(t, setup.DefaultEntry().Timing.PollEvery, en.Timing.PollEvery)
}

func TestFaultsNameLineAndKey(t *testing.T) {
	for _, tc := range []struct {
		name, from, to string
		line           int
		key, text      string
	}{
		{"unknown key", `max-body = "2MiB"`, `max-boddy = "2MiB"`, 15, "max-boddy", "no such setting"},
		{"bad unit", `"2MiB"`, `"2megs"`, 15, "max-body", "64KiB"},
		{"bad duration", `"500ms"`, `"soon"`, 18, "hello-every", "250ms"},
		{"missing value", `region = "recife"`, ``, 5, "place.region", "missing"},
		{"a host name, not an IP address", "10.0.0.7:7000", "entry.example:7000", 2, "listen", "IP address"},
		{"same address twice", "10.0.0.7:7100", "10.0.0.7:7000", 3, "inner-listen", "same as listen"},
		{"no node token", `role = "node"`, `role = "caller"`, 1, "tokens", "exactly one"},
		{"unknown role", `role = "node"`, `role = "king"`, 22, "tokens[0].role", "king"},
		{"empty token", `token = "secret"`, `token-env = "BILBERRYSHELF_NOT_SET"`, 20, "tokens[0].token", "empty"},
		{"not a URL", `"http://10.0.0.9:9100"`, `"10.0.0.9"`, 10, "platform.tables-url", "http://"},
		{"zero duration", `"500ms"`, `"0s"`, 18, "timing.hello-every", "more than 0s"},
		{"keys remembered longer than removed targets", `hello-every = "500ms"`, `key-hold = "61m"`, 18, "timing.key-hold", "1h0m0s"},
		{"a size beyond 64 bits", `"2MiB"`, `"9000000000000GiB"`, 15, "max-body", "64KiB"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Contains(t, goodEntry, tc.from)
			file := write(t, strings.Replace(goodEntry, tc.from, tc.to, 1))
			_, err := setup.ReadEntry(file)
			var faults setup.Faults
			require.True(t, errors.As(err, &faults), "%v", err)
			found := false
			for _, fa := range faults {
				if fa.Line == tc.line && strings.HasSuffix(fa.Key, tc.key) && strings.Contains(fa.Text, tc.text) {
					found = true
					require.True(t, strings.HasPrefix(fa.Error(), file+":"))
				}
			}
			require.True(t, found, "%v", faults)
		})
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	_, err := setup.ReadGuard(write(t, "target = 't'\n"))
	var faults setup.Faults
	require.True(t, errors.As(err, &faults))
	require.Greater(t, len(faults), 5)
}

// A timeout of zero would let each call time out, or each order count as done at once.
func TestGuardTimeouts(t *testing.T) {
	for _, key := range []string{"health-timeout", "longest-order"} {
		_, err := setup.ReadGuard(write(t, "[timing]\n"+key+" = '0s'\n"))
		require.ErrorContains(t, err, ":2: timing."+key+": must be more than 0s")
	}
	_, err := setup.ReadGuard(write(t, "[timing]\nkey-hold = '2h'\n"))
	require.ErrorContains(t, err, ":2: timing.key-hold: must be at most 1h0m0s")
}

func TestSizes(t *testing.T) {
	for text, bytes := range map[string]setup.Size{"512B": 512, "64KiB": 65536, "8MiB": 8 << 20, "1GiB": 1 << 30} {
		var si setup.Size
		require.NoError(t, si.UnmarshalText([]byte(text)))
		require.Equal(t, bytes, si)
		require.Equal(t, text, si.String())
	}
	require.Equal(t, "1500B", setup.Size(1500).String())
	require.Equal(t, "0B", setup.Size(0).String())
	var si setup.Size
	require.Error(t, si.UnmarshalText([]byte("-1B")))
}

package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/setup"
)

// templateFields replaces the fields of the templates in deploy as the platform does.
var templateFields = strings.NewReplacer(
	"{{node_name}}", "front-a-1", "{{region}}", "r", "{{zone}}", "r-a", "{{ip}}", "10.0.0.1",
	"{{listen.front}}", "10.0.0.1:8144", "{{listen.readiness}}", "10.0.0.1:8140", "{{internal_ports.0}}", "7660",
	"{{provider.address}}", "10.0.0.9:8142", "{{limits.memory_mb}}", "164", "{{limits.cpu_share}}", "0.8",
	"{{bounds.grace_s}}", "8", "{{app}}", "10.0.0.1:8147", "{{service}}", "lm",
)

func render(t *testing.T, template string, replacements ...string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "deploy", template))
	require.NoError(t, err)
	text := templateFields.Replace(string(raw))
	require.NotContains(t, text, "{{", "a field that the platform does not fill in")
	file := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(file, []byte(strings.NewReplacer(replacements...).Replace(text)), 0o600))
	return file
}

// The templates in deploy must give valid settings.
func TestTemplates(t *testing.T) {
	en, err := setup.ReadNodeEntry(render(t, "entry.toml.tmpl"))
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:7660", en.Listen.Inner)
	require.Equal(t, 8*time.Second, en.Timing.Grace.Std())
	require.EqualValues(t, 164<<20, en.Instance.Memory)
	gu, err := setup.ReadNodeGuard(render(t, "guard.toml.tmpl"))
	require.NoError(t, err)
	require.Equal(t, "lm", gu.Engine.Service)
	require.Equal(t, "10.0.0.1:8147", gu.Engine.Address)
}

// Each fault must be reported with the file and the key.
func TestNodeFaults(t *testing.T) {
	for _, tc := range []struct{ old, new, key string }{
		{`name = "front-a-1"`, `name = ""`, "name"},
		{"10.0.0.1:8144", "front-a-1:8144", "listen.callers"},
		{"10.0.0.9:8142", "", "store.address"},
		{`"164MiB"`, `"164"`, "instance.memory"},
		{"cores = 0.8", "cores = 0.0", "instance.cores"},
		{`grace = "8s"`, `grace = "0s"`, "timing.grace"},
		{"[timing]", "[times]", "times"},
		{"[timing]", "[limits]\nmax-head = \"1KiB\"\n[timing]", "limits.max-head: must be at least 4KiB"},
		{"[timing]", "[limits]\nmax-held-bytes = \"512KiB\"\n[timing]", "limits.max-held-bytes: must be at least 1MiB"},
		{"[timing]", "[limits]\nmax-page = \"1MiB\"\n[timing]", "limits.max-page: must be at least 2MiB"},
	} {
		_, err := setup.ReadNodeEntry(render(t, "entry.toml.tmpl", tc.old, tc.new))
		require.ErrorContains(t, err, tc.key)
		require.ErrorContains(t, err, "settings.toml:")
	}
}

package subcmd_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/subcmd"
)

func run(args ...string) (code int, out, errs string) {
	var outText, errText strings.Builder
	code = subcmd.Main(args, &outText, &errText)
	return code, outText.String(), errText.String()
}

// Every subcommand prints help with an example and its exit codes, and a wrong
// command line gets the documented exit code.
func TestHelpAndExitCodes(t *testing.T) {
	for _, name := range []string{
		"entry", "guard", "apply", "status", "loan", "recall", "weights", "settle", "check-settings", "version", "demo",
	} {
		code, out, _ := run(name, "--help")
		require.Equal(t, subcmd.ExitOK, code, name)
		require.Contains(t, out, "Example: bilberryshelf "+name)
		require.Contains(t, strings.ToLower(strings.Join(strings.Fields(out), " ")), "exit code", name)
	}
	code, _, errs := run("no-such-command")
	require.Equal(t, subcmd.ExitUsage, code)
	require.NotEmpty(t, errs)
	code, out, _ := run("version")
	require.Equal(t, subcmd.ExitOK, code)
	require.Contains(t, out, "go1")
}

func TestCheckSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "guard.toml")
	require.NoError(t, os.WriteFile(file, []byte("target = 't'\nlissten = 'x'\n"), 0o600))
	code, _, errs := run("check-settings", "--guard", file)
	require.Equal(t, subcmd.ExitUsage, code)
	require.Contains(t, errs, file+":2: lissten")
	code, _, _ = run("entry", "--settings", file)
	require.Equal(t, subcmd.ExitUsage, code, "a daemon with invalid settings does not start")
}

// The demonstration prints this line only after all of its checks passed.
func TestDemo(t *testing.T) {
	code, out, errs := run("demo")
	require.Equal(t, subcmd.ExitOK, code, errs)
	require.Contains(t, out, "all results as expected")
}

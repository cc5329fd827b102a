package subcmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/subcmd"
)

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	one := write("one", "at=2026-01-01T00:00:03Z node=a msg=last id=r1\nat=2026-01-01T00:00:01Z node=a msg=first job=r1\nat=2026-01-01T00:00:02Z id=r2\nbroken id=r1\n")
	two := write("two", "at=2026-01-01T00:00:02Z node=b msg=middle id=r1\n\x00\xff\n")
	var out, errs bytes.Buffer
	require.Equal(t, subcmd.ExitOK, subcmd.Main([]string{"explain", "r1", one, two}, &out, &errs))
	require.Equal(t, "at=2026-01-01T00:00:01Z node=a msg=first job=r1\nat=2026-01-01T00:00:02Z node=b msg=middle id=r1\n"+
		"at=2026-01-01T00:00:03Z node=a msg=last id=r1\n1 lines without a time were left out\n", out.String())
	require.Equal(t, subcmd.ExitFailed, subcmd.Main([]string{"explain", "r9", one}, &out, &errs))
	require.Equal(t, subcmd.ExitFailed, subcmd.Main([]string{"explain", "r1", filepath.Join(dir, "none")}, &out, &errs))
}

func TestSteps(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "log")
	require.NoError(t, os.WriteFile(file, []byte(`at=2026-01-01T00:00:00Z msg="job submitted" id=j1 step=3 items=1 err=null
at=2026-01-01T00:00:00.5Z msg="run begun" job=j1 id=i1 pace=40ms
at=2026-01-01T00:00:05Z msg="item completed" job=j1 id=i1 events=100 scored-for=100ms
at=2026-01-01T00:00:05.4Z msg="job ended" id=j1
`), 0o600))
	var out, errs bytes.Buffer
	require.Equal(t, subcmd.ExitOK, subcmd.Main([]string{"steps", file}, &out, &errs))
	require.Regexp(t, `j1 +3 +1/1 +0.50 +5.40 +0.50 +4.00 +0.40 +0.00 +0.10 +0.40 +100 +1`, out.String())
	require.NoError(t, os.WriteFile(file, []byte("at=2026-01-01T00:00:00Z msg=ready\n"), 0o600))
	require.Equal(t, subcmd.ExitFailed, subcmd.Main([]string{"steps", file}, &out, &errs))
	require.Equal(t, subcmd.ExitFailed, subcmd.Main([]string{"steps", filepath.Join(dir, "none")}, &out, &errs))
}

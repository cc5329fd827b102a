package logs_test

import (
	"bytes"
	stdlog "log"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/logs"
)

// Lines of the standard library are structured and short, however much a peer sent.
func TestRedirectStandard(t *testing.T) {
	flags, out := stdlog.Flags(), stdlog.Writer()
	defer func() { stdlog.SetFlags(flags); stdlog.SetOutput(out) }()
	var buf bytes.Buffer
	logs.RedirectStandard(log.NewLogfmtLogger(&buf))
	stdlog.Printf("Unsolicited response received: %s", strings.Repeat("x", 4096))
	require.Contains(t, buf.String(), `msg="from the standard library" text="Unsolicited response received: xxx`)
	require.Contains(t, buf.String(), "bytes=4127")
	require.Less(t, buf.Len(), 400)
	require.Equal(t, 1, strings.Count(buf.String(), "\n"))
}

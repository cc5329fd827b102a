package logs

import (
	"bytes"
	stdlog "log"

	"github.com/go-kit/log"
)

// maxStandardLine is the length to which a line of the standard library is cut, in bytes.
// net/http quotes what a peer sent, up to a whole buffer.
const maxStandardLine = 256

// RedirectStandard has the logger of the standard library write to lg as ordinary lines.
// net/http reports broken connections there; by default it would write without a limit on
// rate or length to standard error, and block on it.
func RedirectStandard(lg log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standard{lg})
}

// standard passes on the lines of the standard library's logger.
type standard struct{ logger log.Logger }

// Write logs one line.
func (st standard) Write(line []byte) (int, error) {
	text := bytes.TrimSpace(line)
	Info(st.logger, "from the standard library", "text", string(text[:min(len(text), maxStandardLine)]), "bytes", len(text))
	return len(line), nil
}

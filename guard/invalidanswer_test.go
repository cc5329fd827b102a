package guard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/engine"
	"bilberryshelf/wire"
)

// invalidHeads are the first lines of responses that are not valid HTTP.
var invalidHeads = map[string]string{
	"status 000": "HTTP/1.1 000\r\n", "status with a sign": "HTTP/1.1 +20\r\n", "status 099": "HTTP/1.1 099\r\n", "status 600": "HTTP/1.1 600 Odd\r\n",
	"blank in a name": "HTTP/1.1 200 OK\r\nX Bad: 1\r\n", "blank after a name": "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n",
	"blank after a length": "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", "blank after a coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\n", "blank in the name of an interim field": "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
	"status 101": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n",
}

// invalidAnswers returns complete responses but for their first lines.
func invalidAnswers(body string) map[string]string {
	out := map[string]string{}
	for name, head := range invalidHeads {
		out[name] = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		out[name+", chunks"] = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
		out[name+", no length"] = head + "\r\n" + body
	}
	return out
}

// Guards against a response that is not valid HTTP and that the guard passes on as an answer.
func TestInvalidAnswerIsNotForwarded(t *testing.T) {
	for name, text := range invalidAnswers("answer") {
		t.Run(name, func(t *testing.T) {
			gu := rawGuard(t, func(conn *net.TCPConn, _ *bufio.Reader) { _, _ = io.WriteString(conn, text) })
			out := &frames{}
			an, er := gu.forward(t.Context(), &wire.DispatchRequest{Path: "/lots", Method: "POST", Key: "k"}, &run{key: "k"}, out)
			require.NotNil(t, er)
			require.Equal(t, core.MayHaveRun, er.Verdict)
			if !strings.HasPrefix(name, "control byte") { // the HTTP library reports that one as it does no answer
				require.Equal(t, core.CodeAnswerCut, er.Code)
			}
			require.Nil(t, an, "nothing is stored under the key")
			require.Empty(t, out.sent)
		})
	}
}

// Guards against a health check or an order that counts as answered by a response that is not
// valid HTTP.
func TestInvalidAnswerToControl(t *testing.T) {
	for name, text := range invalidAnswers(`{"start":"s"}`) {
		t.Run(name, func(t *testing.T) {
			gu := rawGuard(t, func(conn *net.TCPConn, _ *bufio.Reader) { _, _ = io.WriteString(conn, text) })
			_, err := gu.target.Health(t.Context())
			require.Error(t, err)
			require.Error(t, gu.target.Load(t.Context(), engine.Order{Version: 2}))
		})
	}
}

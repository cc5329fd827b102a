package client_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/client"
	"bilberryshelf/core"
	"bilberryshelf/fake"
)

// Guards against a response that is not valid HTTP and that a trainer or an operator takes for an
// answer, or for a refusal, which would promise that the call has not run.
func TestInvalidAnswers(t *testing.T) {
	for name, lines := range map[string]string{
		"status 000": "000\r\n", "status 101": "101 Switching Protocols\r\n", "status 600": "600 Odd\r\n",
		"blank in a name": "200 OK\r\nX Bad: 1\r\n", "blank after a coding": "200 OK\r\nTransfer-Encoding : chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			li, err := fake.ListenRaw(func(conn *net.TCPConn, rd *bufio.Reader) {
				if _, err := http.ReadRequest(rd); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+lines+"\r\n"+`{"error":{"code":"full","verdict":"not-run"}}`)
				}
			})
			require.NoError(t, err)
			defer li.Close()
			cl := client.Client{URL: "http://" + li.Addr().String()}
			err = cl.Call(t.Context(), http.MethodPost, "/v1/steps", nil, &struct{}{}, client.Options{})
			require.Error(t, err)
			require.NotEqual(t, core.NotRun, core.AsError(err).Verdict)
		})
	}
}

package server_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/server"
)

// A caller that never reads must not have megabytes in the system's send buffer, behind which
// the progress of a slow reader is not seen.
func TestSendBuffer(t *testing.T) {
	accepted := make(chan int, 1)
	se := &server.Server{SendBuffer: 128 << 10, Handler: http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(out).SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		total := 0
		for count, err := 0, error(nil); err == nil && total < 16<<20; total += count {
			count, err = out.Write(make([]byte, 4<<10))
		}
		accepted <- total
	})}
	require.NoError(t, se.Listen("127.0.0.1:0"))
	go func() { _ = se.Run() }()
	defer se.Abort()
	conn, err := net.Dial("tcp", se.Addr())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	require.Less(t, <-accepted, 1<<20)
}

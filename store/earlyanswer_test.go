package store_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/store"
)

// Guards against a write that counts as done although the store broke the connection after an
// early answer without a length.
func TestEarlyAnswerCutByReset(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reset": func(conn *net.TCPConn) { time.Sleep(20 * time.Millisecond); _ = conn.SetLinger(0) },
		"end of the answer, then reset": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			url := rawPlatform(t, func(conn *net.TCPConn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nEtag: \"1\"\r\n\r\n")
				end(conn)
			})
			ob := store.NewObjects(store.Access{URL: url, KeyID: "k", Secret: "s", Timeout: 10 * time.Second}, "books")
			done := 0
			for range 25 {
				if ob.Write(t.Context(), "book", make([]byte, 12<<20)) == nil {
					done++
				}
			}
			require.Zero(t, done, "writes of 25 that count as done")
		})
	}
}

package store_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fake"
	"bilberryshelf/store"
)

// Guards against a response of the platform that is not valid HTTP and counts as an answer, to a
// read or to a write.
func TestInvalidAnswers(t *testing.T) {
	for name, lines := range map[string]string{
		"status 000": "000\r\n", "status 101": "101 Switching Protocols\r\n", "status 600": "600 Odd\r\n",
		"blank in a name": "200 OK\r\nX Bad: 1\r\n", "blank after a name": "200 OK\r\nContent-Length : 3\r\n",
	} {
		for call, do := range map[string]func(ac store.Access) error{
			"get": func(ac store.Access) error { _, err := store.NewTable(ac, "t").Get(t.Context(), "k"); return err },
			"transact": func(ac store.Access) error {
				return store.NewTable(ac, "t").Transact(t.Context(), []store.Put{{Key: "k", Row: store.Row{"value": "v"}}})
			},
			"read":  func(ac store.Access) error { _, err := store.NewObjects(ac, "b").Read(t.Context(), "k"); return err },
			"write": func(ac store.Access) error { return store.NewObjects(ac, "b").Write(t.Context(), "k", []byte("v")) },
			"list":  func(ac store.Access) error { _, err := store.NewList(ac).Fetch(t.Context()); return err },
		} {
			t.Run(call+"/"+name, func(t *testing.T) {
				body := "{}"
				if call == "list" {
					body = "[]"
				}
				url := rawPlatform(t, func(conn *net.TCPConn, rd *bufio.Reader) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s", lines, body)
					_ = conn.CloseWrite()
					_, _ = io.Copy(io.Discard, rd)
				})
				err := do(store.Access{URL: url, KeyID: "k", Secret: "s", Timeout: 5 * time.Second})
				require.Error(t, err)
				require.NotErrorIs(t, err, store.ErrNoRow)
				require.NotErrorIs(t, err, store.ErrCondition)
			})
		}
	}
}

// rawPlatform passes each connection to serve, after the head of a request, and closes it
// afterwards.
func rawPlatform(t *testing.T, serve func(conn *net.TCPConn, rd *bufio.Reader)) (url string) {
	t.Helper()
	li, err := fake.ListenRaw(fake.AfterHead(serve))
	require.NoError(t, err)
	t.Cleanup(func() { _ = li.Close() })
	return "http://" + li.Addr().String()
}

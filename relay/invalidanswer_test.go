package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fake"
	"bilberryshelf/relay"
	"bilberryshelf/strict"
	"bilberryshelf/table"
)

// rawPeer passes each connection to serve, after the head of a request, and closes it afterwards.
func rawPeer(t *testing.T, serve func(conn *net.TCPConn, rd *bufio.Reader)) *relay.Client {
	t.Helper()
	li, err := fake.ListenRaw(fake.AfterHead(serve))
	require.NoError(t, err)
	t.Cleanup(func() { _ = li.Close() })
	return relay.NewClient(&http.Client{Transport: strict.New(&http.Transport{})}, li.Addr().String())
}

func write(size int) table.Tx {
	return table.Tx{Puts: []table.Put{{ID: table.ID{Table: "t", Key: "k"}, Value: make([]byte, size)}}}
}

const peerHead = "Content-Type: application/proto\r\n"

// Guards against a write through a peer that counts as done although the peer broke the connection
// after an early answer without a length. An empty message is valid.
func TestEarlyAnswerOfPeerCutByReset(t *testing.T) {
	for name, ended := range map[string]bool{"reset": false, "end of the answer, then reset": true} {
		t.Run(name, func(t *testing.T) {
			peer := rawPeer(t, func(conn *net.TCPConn, _ *bufio.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+peerHead+"\r\n")
				if ended {
					_ = conn.CloseWrite()
				}
				time.Sleep(20 * time.Millisecond)
				_ = conn.SetLinger(0)
			})
			for range 10 {
				_, err := peer.Commit(t.Context(), write(12<<20))
				require.Error(t, err)
				require.NotErrorIs(t, err, table.ErrRefused, "the outcome is not known")
			}
		})
	}
}

// Guards against a response of a peer that is not valid HTTP and counts as an answer.
func TestInvalidAnswerOfPeer(t *testing.T) {
	for name, lines := range map[string]string{
		"status 000": "000\r\n", "status 101": "101 Switching Protocols\r\n", "status 600": "600 Odd\r\n",
		"blank in a name": "200 OK\r\nX Bad: 1\r\n", "blank after a length": "200 OK\r\nContent-Length : 3\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			peer := rawPeer(t, func(conn *net.TCPConn, rd *bufio.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 "+lines+peerHead+"\r\n")
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, rd)
			})
			_, err := peer.Commit(t.Context(), write(1))
			require.Error(t, err)
			require.NotErrorIs(t, err, table.ErrRefused, "the outcome is not known")
			_, err = peer.List(t.Context(), table.Range{Table: "t"})
			require.Error(t, err)
		})
	}
}

package guard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/meter"
	"bilberryshelf/setup"
	"bilberryshelf/wire"
)

// rawGuard returns a guard of a target that passes each connection to serve, after the head of a
// request, and closes it afterwards.
func rawGuard(t *testing.T, serve func(conn *net.TCPConn, rd *bufio.Reader)) *Guard {
	t.Helper()
	li, err := fake.ListenRaw(fake.AfterHead(serve))
	require.NoError(t, err)
	t.Cleanup(func() { _ = li.Close() })
	se := setup.DefaultGuard()
	se.Engine.URL = "http://" + li.Addr().String()
	return New(se, core.SystemClock{}, log.NewNopLogger(), &meter.Set{}, nil, nil)
}

// Guards against an answer without a length that the guard passes on as complete although its
// connection was reset while the request was still being sent.
func TestEarlyAnswerCutByReset(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reset": func(conn *net.TCPConn) { _ = conn.SetLinger(0) },
		// The kernel resets a connection that is closed before everything received was read.
		"close": func(*net.TCPConn) {},
	} {
		for _, answer := range []string{"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: part\n\n"} {
			t.Run(fmt.Sprintf("%s, %q", name, answer), func(t *testing.T) {
				var answers atomic.Int64
				gu := rawGuard(t, func(conn *net.TCPConn, _ *bufio.Reader) {
					_, _ = io.WriteString(conn, answer)
					if answers.Add(1)%2 == 0 { // the answer ends before the reset
						_ = conn.CloseWrite()
					}
					time.Sleep(20 * time.Millisecond)
					end(conn)
				})
				complete := 0
				for range 20 {
					out := &frames{}
					_, er := gu.forward(t.Context(), &wire.DispatchRequest{Path: "/lots", Method: "POST", Body: make([]byte, 12<<20)}, &run{}, out)
					if er == nil || slices.ContainsFunc(out.sent, isEnd) {
						complete++
					} else {
						require.Equal(t, core.MayHaveRun, er.Verdict)
					}
				}
				require.Zero(t, complete, "broken answers of 20 that count as complete")
			})
		}
	}
}

// isEnd reports whether a frame completes an answer.
func isEnd(frame *wire.DispatchFrame) bool { return frame.GetEnd() != nil || frame.GetWhole() != nil }

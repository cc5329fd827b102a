package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/limit"
	"bilberryshelf/server"
)

// start serves until the end of the test.
func start(t *testing.T, se *server.Server) {
	t.Helper()
	require.NoError(t, se.Listen("127.0.0.1:0"))
	go func() { _ = se.Run() }()
	t.Cleanup(se.Abort)
}

// client is a connection of a test.
type client struct {
	net.Conn
	t  *testing.T
	rd *bufio.Reader
}

func dial(t *testing.T, se *server.Server) *client {
	t.Helper()
	conn, err := net.Dial("tcp", se.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &client{Conn: conn, t: t, rd: bufio.NewReader(conn)}
}

func (cl *client) send(format string, values ...any) {
	cl.t.Helper()
	_, err := fmt.Fprintf(cl, format, values...)
	require.NoError(cl.t, err)
}

// receive reads one response.
func (cl *client) receive() (*http.Response, string) {
	cl.t.Helper()
	res, err := http.ReadResponse(cl.rd, nil)
	require.NoError(cl.t, err)
	body, err := io.ReadAll(res.Body)
	require.NoError(cl.t, err)
	return res, string(body)
}

// requireClosed expects the end of the connection without another response.
func (cl *client) requireClosed() {
	cl.t.Helper()
	rest, err := io.ReadAll(cl.rd)
	require.Empty(cl.t, string(rest))
	var timeout net.Error
	if err != nil { // a reset is an end too
		require.NotErrorAs(cl.t, err, &timeout)
	}
}

// echo answers with the body of the request.
var echo = http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		http.Error(out, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = out.Write(body)
})

func limited(size int) *server.Server {
	return &server.Server{Handler: echo, Limits: server.Limits{MaxHeader: size, AreFinal: true}}
}

// Headers beyond the limit are refused with a status after which no client retries; those
// within it are not, whatever their separators take on the wire. The same holds for the target.
func TestHeaderLimit(t *testing.T) {
	const size = 4096
	se := limited(size)
	start(t, se)
	for _, tc := range []struct {
		name, target, lines string
		status              int
	}{
		{"a long line", "/", "A: " + strings.Repeat("x", size-1) + "\r\n", http.StatusOK},
		{"a line too long", "/", "A: " + strings.Repeat("x", size) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"short lines", "/", strings.Repeat("a:\r\n", size), http.StatusOK},
		{"a short line too many", "/", strings.Repeat("a:\r\n", size+1), http.StatusRequestHeaderFieldsTooLarge},
		{"short lines with spaces", "/", strings.Repeat("a: b\r\n", size/2), http.StatusOK},
		{"a long target", "/" + strings.Repeat("x", size-1), strings.Repeat("a:\r\n", size), http.StatusOK},
		{"a target too long", "/" + strings.Repeat("x", size), "", http.StatusRequestHeaderFieldsTooLarge},
		{"lines without end", "/", strings.Repeat("a:\r\n", 8*size), http.StatusRequestHeaderFieldsTooLarge},
		{"a line without end", "/", "A: " + strings.Repeat("x", 8*size), http.StatusRequestHeaderFieldsTooLarge},
		{"spaces without end", "/", "A:" + strings.Repeat(" ", 8*size), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cl := dial(t, se)
			cl.send("GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", tc.target, tc.lines)
			res, _ := cl.receive()
			require.Equal(t, tc.status, res.StatusCode)
			require.Empty(t, res.Header.Get("Retry-After"))
		})
	}
}

// What exceeds limits that are not known yet may be permitted, so that it is not refused
// finally.
func TestUnknownLimits(t *testing.T) {
	se := &server.Server{Handler: echo, Limits: server.Limits{MaxHeader: 1000}}
	start(t, se)
	cl := dial(t, se)
	cl.send("GET / HTTP/1.1\r\nHost: h\r\nA: %s\r\n\r\n", strings.Repeat("x", 20_000))
	res, _ := cl.receive()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	retryAfter, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, retryAfter)
	cl.requireClosed()
}

// The limits of a head apply to each head of a connection; empty lines and requests that come
// together are served.
func TestHeadsOfOneConnection(t *testing.T) {
	se := limited(500)
	se.Conns = &limit.ConnBudget{MaxBytes: 1 << 20}
	start(t, se)
	cl := dial(t, se)
	for number := range 50 {
		cl.send("POST / HTTP/1.1\r\nHost: h\r\nA: %s\r\nContent-Length: 2\r\n\r\n%02d", strings.Repeat("x", 400), number)
		_, body := cl.receive()
		require.Equal(t, fmt.Sprintf("%02d", number), body)
	}
	cl.send("\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n2\r\n0\r\nt: 1\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n3")
	for _, want := range []string{"1", "2", "3"} {
		_, body := cl.receive()
		require.Equal(t, want, body)
	}
	cl.send("GET / HTTP/1.1\r\nHost: h\r\nA: %s\r\n", strings.Repeat("x", 10_000))
	res, _ := cl.receive()
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, res.StatusCode)
}

// A client that does not finish its head, or sends nothing, is disconnected after the time that
// the limits in force allow, also if they change.
func TestHeaderTimeout(t *testing.T) {
	timeouts := make(chan time.Duration, 1)
	timeouts <- time.Hour
	se := &server.Server{Handler: echo, CurrentLimits: func() server.Limits {
		timeout := <-timeouts
		timeouts <- timeout
		return server.Limits{HeaderTimeout: timeout, IdleTimeout: timeout, AreFinal: true}
	}}
	start(t, se)
	first := dial(t, se)
	first.send("GET / HTTP/1.1\r\n")
	first.send("Host: h\r\n\r\n")
	_, _ = first.receive()
	<-timeouts
	timeouts <- time.Millisecond
	slow, silent := dial(t, se), dial(t, se)
	slow.send("GET / HTTP/1.1\r\n")
	slow.requireClosed()
	silent.requireClosed()
}

// Idle connections, then stalled requests, yield to new connections; a request that was
// received completely is served to its end.
func TestConnectionsYield(t *testing.T) {
	release := make(chan struct{})
	se := limited(4096)
	se.Conns = &limit.ConnBudget{MaxConns: 2}
	se.Handler = http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/wait" {
			<-release
		}
		echo(out, req)
	})
	start(t, se)
	idle, busy := dial(t, se), dial(t, se)
	idle.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")
	_, _ = idle.receive()
	busy.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { conns, _ := se.Conns.Count(); return conns == 2 }, time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // until the request is received

	partial := dial(t, se)
	partial.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	idle.requireClosed()
	time.Sleep(limit.MinWait + 50*time.Millisecond)
	last := dial(t, se)
	last.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	res, _ := last.receive()
	require.Equal(t, http.StatusOK, res.StatusCode)
	res, _ = partial.receive()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	close(release)
	res, _ = busy.receive()
	require.Equal(t, http.StatusOK, res.StatusCode)
}

// A client that sends without reading the responses must not fill the system's buffers, and a
// large body must still arrive.
func TestReceiveBuffer(t *testing.T) {
	release := make(chan struct{})
	se := limited(4096)
	se.ReceiveBuffer = 16 << 10
	se.Handler = http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodGet {
			<-release
		}
		size, _ := io.Copy(io.Discard, req.Body)
		_, _ = fmt.Fprint(out, size)
	})
	start(t, se)
	greedy := dial(t, se)
	require.NoError(t, greedy.Conn.(*net.TCPConn).SetWriteBuffer(4<<10))
	greedy.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, greedy.SetWriteDeadline(time.Now().Add(500*time.Millisecond)))
	sent, err := 0, error(nil)
	for err == nil && sent < 4<<20 {
		var count int
		count, err = greedy.Write(make([]byte, 1<<10))
		sent += count
	}
	require.Less(t, sent, 256<<10)
	close(release)

	large := dial(t, se)
	const size = 8 << 20
	large.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	_, body := large.receive()
	require.Equal(t, strconv.Itoa(size), body)
}

// Clients that have stalled in the middle of a request must not delay a planned stop.
func TestCloseCutsStalledClients(t *testing.T) {
	se := limited(4096)
	start(t, se)
	head, body := dial(t, se), dial(t, se)
	head.send("GET / HTTP/1.1\r\n")
	body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	require.Eventually(t, func() bool { conns, _ := se.Conns.Count(); return conns == 2 }, time.Second, time.Millisecond)
	time.Sleep(limit.MinWait + 50*time.Millisecond)
	started := time.Now()
	se.Close(nil)
	require.Less(t, time.Since(started), 3*time.Second)
	for _, cl := range []*client{head, body} {
		res, _ := cl.receive()
		require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	}
}

// Guards against requests that are cut off when a server is closed, although the process may
// run for longer than the default time.
func TestShutdownTimeout(t *testing.T) {
	t.Parallel()
	const work = 6 * time.Second
	began := make(chan struct{})
	se := &server.Server{ShutdownTimeout: 2 * work, Handler: http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		close(began)
		time.Sleep(work)
		_, _ = out.Write([]byte("whole")) // the client reports a failure
	})}
	require.NoError(t, se.Listen("127.0.0.1:0"))
	go func() { _ = se.Run() }()
	go func() {
		<-began
		se.Close(nil)
	}()
	res, err := http.Get("http://" + se.Addr())
	require.NoError(t, err)
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(raw))
}

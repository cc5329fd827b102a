// Package server runs HTTP servers with limits as actors of an oklog/run group.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"

	"bilberryshelf/meter"
)

// Server is an HTTP server with its own listener. A zero timeout selects the default of this
// package, a zero MaxHeader that of the HTTP library. A zero MaxConnections means no limit.
// MaxHeader is in bytes.
type Server struct {
	Handler http.Handler
	// H2C enables HTTP/2 without TLS in addition to HTTP/1.
	H2C            bool
	MaxHeader      int
	MaxConnections int
	HeaderTimeout  time.Duration
	// Traffic counts the bytes of all connections.
	Traffic     meter.Traffic
	IdleTimeout time.Duration
	// SendBuffer is the size of the system's buffer for what a connection sends, in bytes;
	// zero leaves it to the system.
	SendBuffer int

	http     *http.Server
	listener net.Listener
}

const (
	// defaultHeaderTimeout bounds the time to read the headers of a request.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is the time after which an idle connection is closed.
	defaultIdleTimeout = 2 * time.Minute
	// shutdownTimeout bounds the wait for requests in flight when the server is closed.
	shutdownTimeout = 5 * time.Second
	// maxConcurrentStreams bounds the concurrent requests on one HTTP/2 connection.
	maxConcurrentStreams = 10000
)

// Listen binds the address. Requests are served only after Run is called. A handler that
// depends on the address may be set in between.
func (se *Server) Listen(addr string) error {
	li, err := listen(addr, se.SendBuffer)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	li = se.Traffic.Listener(li)
	if se.MaxConnections > 0 {
		li = netutil.LimitListener(li, se.MaxConnections)
	}
	if se.HeaderTimeout == 0 {
		se.HeaderTimeout = defaultHeaderTimeout
	}
	if se.IdleTimeout == 0 {
		se.IdleTimeout = defaultIdleTimeout
	}
	se.listener = li
	se.http = &http.Server{
		Handler:           http.HandlerFunc(func(out http.ResponseWriter, req *http.Request) { se.Handler.ServeHTTP(out, req) }),
		MaxHeaderBytes:    se.MaxHeader,
		ReadHeaderTimeout: se.HeaderTimeout, IdleTimeout: se.IdleTimeout,
	}
	if se.H2C {
		var protocols http.Protocols
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
		se.http.Protocols = &protocols
		se.http.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams, MaxReadFrameSize: 1 << 20}
	}
	return nil
}

// Addr returns the address of the listener.
func (se *Server) Addr() string { return se.listener.Addr().String() }

// Run serves until Close.
func (se *Server) Run() error {
	err := se.http.Serve(se.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Close stops the server gracefully. It aborts requests that are still in flight after
// shutdownTimeout.
func (se *Server) Close(error) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if se.http.Shutdown(ctx) != nil {
		_ = se.http.Close()
	}
}

// Abort closes the server and all connections immediately.
func (se *Server) Abort() { _ = se.http.Close() }

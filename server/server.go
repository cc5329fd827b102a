// Package server runs HTTP servers with limits as parts of an oklog/run group.
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

// Server is an HTTP server on a listener of its own. The zero values of the
// limits mean the library's defaults.
type Server struct {
	Handler http.Handler
	// H2C also serves HTTP/2 without TLS.
	H2C            bool
	MaxHeader      int
	MaxConnections int
	HeaderTimeout  time.Duration
	// Traffic counts the bytes of all connections.
	Traffic     meter.Traffic
	IdleTimeout time.Duration

	http     *http.Server
	listener net.Listener
}

const (
	// defaultHeaderTimeout bounds how long a client may take over a header.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout closes connections without requests.
	defaultIdleTimeout = 2 * time.Minute
	// shutdownTimeout is how long open requests may take after an interrupt.
	shutdownTimeout = 5 * time.Second
	// maxConcurrentStreams bounds the requests at once on one HTTP/2 connection.
	maxConcurrentStreams = 10000
)

// Listen binds the address. Nothing is served before Run; the handler may be
// set in between, when it needs to know the address.
func (se *Server) Listen(addr string) error {
	li, err := net.Listen("tcp", addr)
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

// Addr is the address that is listened on.
func (se *Server) Addr() string { return se.listener.Addr().String() }

// Run serves until Close.
func (se *Server) Run() error {
	err := se.http.Serve(se.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Close ends the server; open requests get a moment to finish.
func (se *Server) Close(error) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if se.http.Shutdown(ctx) != nil {
		_ = se.http.Close()
	}
}

// Abort closes the server and every connection at once.
func (se *Server) Abort() { _ = se.http.Close() }

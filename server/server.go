// Package server runs HTTP servers with limits as actors of an oklog/run group.
package server

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"bilberryshelf/core"
	"bilberryshelf/limit"
	"bilberryshelf/logs"
	"bilberryshelf/meter"
)

// Limits bounds what clients may send before a request is served.
type Limits struct {
	// MaxHeader is the largest size of the names and values of a request's headers, in bytes.
	// Separators do not count, and the request line counts apart.
	MaxHeader int
	// HeaderTimeout bounds the time from the first byte of a head to its end.
	HeaderTimeout time.Duration
	// IdleTimeout is the time without a request after which a connection is closed.
	IdleTimeout time.Duration
	// AreFinal is set unless the limits that apply are not known yet. What exceeds the
	// defaults is then refused with 503, since it may be permitted.
	AreFinal bool
}

// withDefaults returns the limits with the zero fields replaced.
func (li Limits) withDefaults() Limits {
	if li.MaxHeader <= 0 {
		li.MaxHeader = DefaultMaxHeader
	}
	if li.HeaderTimeout <= 0 {
		li.HeaderTimeout = defaultHeaderTimeout
	}
	if li.IdleTimeout <= 0 {
		li.IdleTimeout = defaultIdleTimeout
	}
	return li
}

// Server is an HTTP server with its own listener. Zero limits select the defaults of this
// package.
type Server struct {
	Handler http.Handler
	// H2C enables HTTP/2 without TLS in addition to HTTP/1.
	H2C    bool
	Limits Limits
	// CurrentLimits, if set, returns the limits in force instead of Limits.
	CurrentLimits func() Limits
	// Conns bounds the connections, which other servers may share; nil means no limit.
	Conns *limit.ConnBudget
	// Refuse writes the refusal of a request whose head was parsed; nil selects a plain one.
	Refuse func(out http.ResponseWriter, req *http.Request, err *core.Error)
	// Traffic counts the bytes of all connections.
	Traffic meter.Traffic
	// Meters and Logger are optional.
	Meters *meter.Set
	Logger log.Logger
	// SendBuffer is the size of the system's buffer for what a connection sends, in bytes;
	// zero leaves it to the system.
	SendBuffer int
	// ReceiveBuffer is the size of the system's buffer for what a connection receives, in
	// bytes; zero leaves it to the system. It grows while a large body is read.
	ReceiveBuffer int

	// ShutdownTimeout bounds the wait for requests in flight when the server is closed; zero
	// selects the default.
	ShutdownTimeout time.Duration

	// grown bounds the grown receive buffers.
	grown limit.ByteBudget
	// lingering is the number of connections that wait after a refusal.
	lingering atomic.Int32
	// closing is set when the server is closed.
	closing  atomic.Bool
	http     *http.Server
	listener net.Listener
}

// The defaults of Limits. DefaultMaxHeader is in bytes.
const (
	DefaultMaxHeader     = 1 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
)

const (
	// cutInterval is the time between two looks for stalled clients while the server is closed.
	cutInterval = 100 * time.Millisecond
	// defaultShutdownTimeout is the default of Server.ShutdownTimeout.
	defaultShutdownTimeout = 5 * time.Second
	// maxConcurrentStreams bounds the concurrent requests on one HTTP/2 connection.
	maxConcurrentStreams = 10000
)

// Listen binds the address. Requests are served only after Run is called. A handler that
// depends on the address may be set in between.
func (se *Server) Listen(addr string) error {
	li, err := listen(addr, se.SendBuffer, se.ReceiveBuffer)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	if se.Conns == nil {
		se.Conns = &limit.ConnBudget{}
	}
	se.grown.Max = int64(grownShare * float64(se.Conns.MaxBytes))
	if se.Logger == nil {
		se.Logger = log.NewNopLogger()
	}
	se.listener = &boundedListener{Listener: li, server: se}
	se.http = &http.Server{
		Handler: http.HandlerFunc(se.serve), IdleTimeout: se.limits().IdleTimeout,
		// Heads of HTTP/1 are bounded by the connections.
		MaxHeaderBytes: math.MaxInt32,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if cc, isClient := conn.(*clientConn); isClient && state == http.StateIdle {
				cc.await()
			}
		},
	}
	if se.H2C {
		var protocols http.Protocols
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
		se.http.Protocols = &protocols
		se.http.MaxHeaderBytes, se.http.ReadHeaderTimeout = se.limits().MaxHeader, se.limits().HeaderTimeout
		se.http.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams, MaxReadFrameSize: 1 << 20}
	}
	return nil
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func (se *Server) limits() Limits {
	if se.CurrentLimits != nil {
		return se.CurrentLimits().withDefaults()
	}
	return se.Limits.withDefaults()
}

// serve passes a request to the handler if its head is within the limits and finds a place.
func (se *Server) serve(out http.ResponseWriter, req *http.Request) {
	cc, isClient := req.Context().Value(connKey{}).(*clientConn)
	if !isClient || req.ProtoMajor != 1 {
		se.Handler.ServeHTTP(out, req)
		return
	}
	if cc.mustClose() {
		out.Header().Set("Connection", "close")
	}
	failed := cc.begin(req)
	if failed == nil {
		se.Handler.ServeHTTP(out, req)
		return
	}
	se.countRefusal(failed.Code, failed.Text, cc.RemoteAddr())
	out.Header().Set("Connection", "close")
	if se.Refuse != nil {
		se.Refuse(out, req, failed)
		return
	}
	setRetryAfter(out.Header(), failed)
	http.Error(out, failed.Text, statusOf(failed))
}

func (se *Server) countRefusal(code core.Code, text string, client net.Addr) {
	if se.Meters != nil {
		se.Meters.Count("connections-refused", string(code), 1)
	}
	logs.Info(se.Logger, "connection refused", "listener", se.Addr(), "client", client, "code", code, "text", text)
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

// Close stops the server gracefully. Clients that have stalled in the middle of a request are
// cut off. It aborts requests that are still in flight after ShutdownTimeout.
func (se *Server) Close(error) {
	timeout := se.ShutdownTimeout
	if timeout <= 0 {
		timeout = defaultShutdownTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	se.closing.Store(true)
	go se.cutStalled(ctx)
	if se.http.Shutdown(ctx) != nil {
		_ = se.http.Close()
	}
}

func (se *Server) cutStalled(ctx context.Context) {
	tick := time.NewTicker(cutInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		se.Conns.CutStalled(time.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// Abort closes the server and all connections immediately.
func (se *Server) Abort() {
	se.closing.Store(true)
	_ = se.http.Close()
}

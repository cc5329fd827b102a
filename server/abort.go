package server

import (
	"net"
	"net/http"
)

// lingerer is a connection that can be reset.
type lingerer interface{ SetLinger(seconds int) error }

// Abort ends a request whose response is not complete, so that its client cannot take it for
// complete. It does not return. Where the end of the connection frames the response, as for
// HTTP/1.0, it resets the connection; what is not sent yet is lost.
func Abort(out http.ResponseWriter, req *http.Request) {
	if !req.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(out).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if li, can := conn.(lingerer); can {
		_ = li.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close() // nothing more is sent
}

// SetLinger sets what happens to unsent data when the connection is closed.
func (cc *clientConn) SetLinger(seconds int) error {
	if li, can := cc.raw.(lingerer); can {
		return li.SetLinger(seconds)
	}
	return nil
}

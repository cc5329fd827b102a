// Package strict makes the HTTP client of the standard library reject responses that are not
// complete.
//
// A response without a length ends with its connection. If the connection is reset while the
// request is still being written, the write receives the error of the reset, and the read that
// follows sees an ordinary end. Such a response counts as complete only if the whole request was
// written without an error.
package strict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is an HTTP transport that rejects incomplete responses. Make it with New. It is safe
// for concurrent use.
type Transport struct{ base *http.Transport }

// New returns a transport that sends requests with base. It replaces base.DialContext, so base
// must not be used or changed afterwards.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		co, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newConn(co), nil
	}
	return &Transport{base: base}
}

// Default is the transport of clients without settings of their own.
var Default = New(http.DefaultTransport.(*http.Transport).Clone())

// RoundTrip sends a request and returns the head of the response.
func (tr *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ex := &exchange{}
	res, err := tr.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: ex.gotConn, WroteRequest: ex.wroteRequest,
	})))
	if err != nil {
		return nil, err
	}
	res.Request = req
	if endsWithConnection(res) {
		ex.conn().awaitRequest()
	}
	return res, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (tr *Transport) CloseIdleConnections() { tr.base.CloseIdleConnections() }

// endsWithConnection reports whether the end of the connection ends the body of a response.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// exchange is the state of one request. The library may send a request on another connection if
// the first one broke before anything was sent.
type exchange struct {
	mutex sync.Mutex
	used  *conn
}

func (ex *exchange) gotConn(info httptrace.GotConnInfo) {
	ex.mutex.Lock()
	defer ex.mutex.Unlock()
	if ex.used, _ = info.Conn.(*conn); ex.used != nil {
		ex.used.beginRequest()
	}
}

func (ex *exchange) wroteRequest(httptrace.WroteRequestInfo) { ex.conn().endRequest() }

// conn returns the connection in use; nil if it is not one of this package.
func (ex *exchange) conn() *conn {
	ex.mutex.Lock()
	defer ex.mutex.Unlock()
	return ex.used
}

// Package strict makes the HTTP client of the standard library reject responses that are not
// complete or not valid. The errors promise nothing about the request: it may have run.
//
// A response without a length ends with its connection. If the connection is reset while the
// request is still being written, the write receives the error of the reset, and the read that
// follows sees an ordinary end. Such a response counts as complete only if the whole request was
// written without an error.
//
// The library accepts any status code of three characters that make a number, and passes on a
// switch of protocols that was not asked for. RFC 9110, section 15, defines the codes from 100 to
// 599; a response with another one is an error, as is any interim one in place of the final one.
package strict

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the error of a response that is not valid HTTP.
var ErrInvalid = errors.New("invalid HTTP response")

// CheckStatus returns an error unless a final response may have this status code.
func CheckStatus(code int) error {
	if code < http.StatusOK || code > maxStatus {
		return errors.Wrapf(ErrInvalid, "status code %03d", code)
	}
	return nil
}

// maxStatus is the largest status code that RFC 9110 defines.
const maxStatus = 599

// Transport is an HTTP transport that rejects responses which are incomplete or invalid. Make it
// with New. It is safe for concurrent use.
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
	if err := CheckStatus(res.StatusCode); err != nil {
		ex.reject(res)
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

// reject closes the connection of a response. Closing the body is not enough: after a response
// without one the connection is already idle.
func (ex *exchange) reject(res *http.Response) {
	if cn := ex.conn(); cn != nil {
		_ = cn.Close() // nothing more is read; a failed close loses nothing
	}
	_ = res.Body.Close()
}

// conn returns the connection in use; nil if it is not one of this package.
func (ex *exchange) conn() *conn {
	ex.mutex.Lock()
	defer ex.mutex.Unlock()
	return ex.used
}

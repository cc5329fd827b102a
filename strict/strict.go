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
//
// The library also accepts blanks in and after the names of fields, and then does not recognize the
// field: the body is framed without its length or coding, and a refusal looks like an answer. RFC
// 9112, section 5.1, requires a proxy that forwards such a response to remove the blanks after a
// name first. By then the library has framed the body, so the response is an error, also if the
// name is in an interim response or in the trailers.
package strict

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks the error of a response that is not valid HTTP.
var ErrInvalid = errors.New("invalid HTTP response")

// maxStatus is the largest status code that RFC 9110 defines.
const maxStatus = 599

// CheckStatus returns an error unless a final response may have this status code.
func CheckStatus(code int) error {
	if code < http.StatusOK || code > maxStatus {
		return errors.Wrapf(ErrInvalid, "status code %03d", code)
	}
	return nil
}

// CheckName returns an error unless the name of a header field is a token (RFC 9110, section 5.1).
func CheckName(name string) error {
	if name == "" || strings.ContainsFunc(name, func(ch rune) bool { return !isTokenChar(ch) }) {
		return errors.Wrapf(ErrInvalid, "name of a field %.100q", name)
	}
	return nil
}

func isTokenChar(ch rune) bool {
	return 'a' <= ch && ch <= 'z' || 'A' <= ch && ch <= 'Z' || ch == '-' || '0' <= ch && ch <= '9' || strings.ContainsRune("!#$%&'*+.^_`|~", ch)
}

func checkNames(fields map[string][]string) error {
	for name := range fields {
		if err := CheckName(name); err != nil {
			return err
		}
	}
	return nil
}

// checkHead returns an error unless the head of a final response is valid.
func checkHead(res *http.Response) error {
	if err := CheckStatus(res.StatusCode); err != nil {
		return err
	}
	return checkNames(res.Header)
}

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
	ex := &exchange{maxInterim: tr.base.MaxResponseHeaderBytes}
	res, err := tr.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: ex.gotConn, WroteRequest: ex.wroteRequest, Got1xxResponse: ex.gotInterim,
	})))
	if err != nil {
		return nil, err
	}
	if err := checkHead(res); err != nil {
		_ = res.Body.Close() // nothing more is read; a failed close loses nothing
		ex.close(res)
		return nil, err
	}
	res.Request = req
	switch {
	case res.ContentLength >= 0 || res.ProtoMajor != 1: // HTTP/2 frames every body
	case len(res.TransferEncoding) > 0:
		res.Body = &chunkedBody{ReadCloser: res.Body, res: res, ex: ex}
	default: // the end of the connection ends the body
		ex.conn().awaitRequest()
	}
	return res, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (tr *Transport) CloseIdleConnections() { tr.base.CloseIdleConnections() }

// chunkedBody is the body of a response in chunks, which may be followed by trailers.
type chunkedBody struct {
	io.ReadCloser
	res *http.Response
	ex  *exchange
}

// Read returns an error in place of io.EOF if the trailers are invalid.
func (cb *chunkedBody) Read(into []byte) (int, error) {
	count, err := cb.ReadCloser.Read(into)
	if err != io.EOF {
		return count, err
	}
	if err := checkNames(cb.res.Trailer); err != nil {
		cb.ex.close(cb.res)
		return count, err
	}
	return count, io.EOF
}

// exchange is the state of one request. The library may send a request on another connection if
// the first one broke before anything was sent.
type exchange struct {
	mutex sync.Mutex
	used  *conn
	// interim is the size of the heads of interim responses, maxInterim its limit, in bytes.
	interim, maxInterim int64
}

func (ex *exchange) gotConn(info httptrace.GotConnInfo) {
	ex.mutex.Lock()
	defer ex.mutex.Unlock()
	co := info.Conn
	if tc, ok := co.(*tls.Conn); ok {
		co = tc.NetConn()
	}
	ex.used, _ = co.(*conn)
	ex.used.beginRequest()
}

func (ex *exchange) wroteRequest(httptrace.WroteRequestInfo) { ex.conn().endRequest() }

// gotInterim checks an interim response. Since the library does not limit the sizes of the heads that
// it reports, gotInterim does.
func (ex *exchange) gotInterim(code int, fields textproto.MIMEHeader) error {
	if err := checkNames(fields); err != nil {
		return err
	}
	ex.interim += int64(len("HTTP/1.1 100 \r\n\r\n"))
	for name, values := range fields {
		for _, value := range values {
			ex.interim += int64(len(name) + len(": \r\n") + len(value))
		}
	}
	limit := ex.maxInterim
	if limit <= 0 {
		limit = defaultMaxInterim
	}
	if ex.interim > limit {
		return errors.Wrapf(ErrInvalid, "interim responses, the last with status %d, exceed %d bytes", code, limit)
	}
	return nil
}

// defaultMaxInterim is the library's limit of the head of a response if none is set, in bytes.
const defaultMaxInterim = 10 << 20

// close closes the connection of a response, unless others share it. Closing the body is not enough:
// at its end, and after a response without one, the connection is already idle.
func (ex *exchange) close(res *http.Response) {
	if cn := ex.conn(); cn != nil && res.ProtoMajor == 1 {
		_ = cn.Close() // nothing more is read; a failed close loses nothing
	}
}

// conn returns the connection in use; nil if it is not one of this package.
func (ex *exchange) conn() *conn {
	ex.mutex.Lock()
	defer ex.mutex.Unlock()
	return ex.used
}

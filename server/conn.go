package server

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
	"bilberryshelf/limit"
)

const (
	// readBuffer is the size of the HTTP library's buffer of what a connection receives, in
	// bytes. A read may return that much beyond the end of a head.
	readBuffer = 4 << 10
	// headSizeFactor is the ratio of the largest head on the wire to Limits.MaxHeader. The
	// separators of a header line take three bytes, the shortest name one, and the request
	// line may take MaxHeader too.
	headSizeFactor = 5
	// timeoutMargin is added to the timeouts of clients, for the time on the way.
	timeoutMargin = time.Second
	// pendingInterval is the time between two requests for memory that others are to free.
	pendingInterval = 2 * time.Millisecond
	// refusalTimeout bounds the writing of a refusal, lingerTimeout the wait for its client
	// to close. Closing at once would discard a refusal that the client has not read.
	refusalTimeout = time.Second
	lingerTimeout  = 250 * time.Millisecond
	// lingerBytes bounds what is read and dropped meanwhile.
	lingerBytes = 64 << 10
	// maxLingering bounds the connections that wait so at a time; others are closed at once.
	maxLingering = 64
	// bodyReceiveBuffer is the size of the system's buffer while a large body is read, in
	// bytes. A smaller one would slow down bodies from other regions.
	bodyReceiveBuffer = 128 << 10
	// grownBytes is what the system takes for a buffer of that size.
	grownBytes = 2 * bodyReceiveBuffer
	// grownShare is the ratio of what grown buffers may take to what connections may take.
	grownShare = 0.25
)

// RetryAfter returns when a request that found no place may come again. Connections that
// have stalled yield by then. It is spread so that clients do not come back together.
func RetryAfter() time.Duration { return 2*limit.MinWait + rand.N(2*limit.MinWait) }

// errRefused ends a connection without a response of the HTTP library, since one was written.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the request was refused")}

// boundedListener accepts connections within the budget of a server.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. Connections without a place are closed, which tells their
// clients that nothing was read.
func (bl *boundedListener) Accept() (net.Conn, error) {
	for {
		raw, err := bl.Listener.Accept()
		if err != nil {
			return nil, err
		}
		cc := &clientConn{Conn: bl.server.Traffic.Conn(raw), raw: raw, server: bl.server, waitsSince: time.Now()}
		if cc.share = bl.server.Conns.Open(cc.waitsSince, cc.evict); cc.share != nil {
			return cc, nil
		}
		_ = raw.Close() // there is nothing to lose
		bl.server.countRefusal(core.CodeFull, "no place for a connection", raw.RemoteAddr())
	}
}

// clientConn is a connection that counts what the heads of its requests take. It reads heads
// on behalf of the HTTP library, which bounds neither the time from the first byte of a head
// nor the memory of all heads together.
type clientConn struct {
	net.Conn
	raw    net.Conn
	server *Server
	share  *limit.Conn

	mutex sync.Mutex
	head  headCount
	// rest is the cost of the bytes that were read last and may belong to the next head.
	rest int64
	// serving is set from the start of a handler until the connection waits for the next
	// request.
	serving bool
	// waitsSince is when the wait for the head or for its first byte began.
	waitsSince time.Time
	// deadline is the read deadline that the HTTP library or a handler has set.
	deadline time.Time
	// preface tells how much of the preface of HTTP/2 was received; isHTTP2 is set when it is
	// complete, and such a connection is not bounded here.
	preface int
	isHTTP2 bool
	// refused is set when a refusal was written, lingers when the client may send more while
	// the connection is closed.
	refused, lingers bool
	// hasGrown is set while the system's buffer has the size for a large body.
	hasGrown bool
	// isCut is set when the connection must yield.
	isCut atomic.Bool
	// lingering ensures that the wait after a refusal happens once.
	lingering sync.Once
}

// evict cuts the connection off. A blocked read returns at once. The budget calls it while it
// is locked, so that it must not lock the connection.
func (cc *clientConn) evict() {
	cc.isCut.Store(true)
	_ = cc.Conn.SetReadDeadline(past) // fails only on a closed connection
}

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// SetReadDeadline implements net.Conn. Neither a connection that was cut off nor the limit of
// the time for a head can be overridden.
func (cc *clientConn) SetReadDeadline(deadline time.Time) error {
	cc.mutex.Lock()
	defer cc.mutex.Unlock()
	cc.deadline = deadline
	return cc.applyDeadline()
}

func (cc *clientConn) applyDeadline() error {
	deadline := cc.deadline
	if !cc.serving && !cc.isHTTP2 {
		if latest := cc.headDeadline(); deadline.IsZero() || latest.Before(deadline) {
			deadline = latest
		}
	}
	err := cc.Conn.SetReadDeadline(deadline)
	if cc.isCut.Load() { // after setting the other deadline, which evict must not lose to
		return cc.Conn.SetReadDeadline(past)
	}
	return err
}

// headDeadline returns when the head must be complete, or begin if nothing of it was received.
func (cc *clientConn) headDeadline() time.Time {
	li := cc.server.limits()
	if cc.head.started {
		return cc.waitsSince.Add(li.HeaderTimeout + timeoutMargin)
	}
	return cc.waitsSince.Add(max(li.HeaderTimeout, li.IdleTimeout) + timeoutMargin)
}

// Read implements net.Conn.
func (cc *clientConn) Read(buf []byte) (int, error) {
	cc.mutex.Lock()
	err := cc.applyDeadline()
	refused := cc.refused
	cc.mutex.Unlock()
	if refused {
		return 0, errRefused
	}
	if err != nil {
		return 0, err
	}
	count, err := cc.Conn.Read(buf)
	cc.mutex.Lock()
	defer cc.mutex.Unlock()
	if failed := cc.received(buf[:count], len(buf)); failed != nil {
		return 0, failed
	}
	return count, err
}

// received counts bytes that were read into a buffer of the given size.
func (cc *clientConn) received(chunk []byte, size int) error {
	switch {
	case cc.isHTTP2 || cc.server.H2C && cc.isPreface(chunk):
		return nil
	case cc.serving:
		return cc.receivedBody(chunk, size)
	case cc.isCut.Load() && cc.head.size == 0: // no request waits for a response
		cc.server.countRefusal(core.CodeFull, "idle connection yields", cc.RemoteAddr())
		cc.refused = true
		return errRefused
	case cc.isCut.Load():
		return cc.refuse(noRoom("the head of the request yields to others"))
	case len(chunk) > 0:
		return cc.receivedHead(chunk, size)
	default:
		return nil
	}
}

// receivedHead counts bytes of a head.
func (cc *clientConn) receivedHead(chunk []byte, size int) error {
	now, before, wasStarted := time.Now(), cc.head.cost(), cc.head.started
	cc.rest = cc.head.add(chunk)
	if !wasStarted && cc.head.started {
		cc.waitsSince = now
	}
	grant := cc.share.GrowHead(now, cc.head.cost()-before)
	for ; grant == limit.Pending && time.Since(now) < limit.MinWait; grant = cc.share.GrowHead(time.Now(), cc.head.cost()-before) {
		time.Sleep(pendingInterval)
	}
	li := cc.server.limits()
	switch {
	case size == 1:
		return nil // the HTTP library's check for closed connections, beside the serving goroutine
	case cc.head.size > headSizeFactor*li.MaxHeader+readBuffer:
		return cc.refuse(tooLarge(li))
	case grant != limit.Granted:
		return cc.refuse(noRoom(headsFull))
	default:
		return nil
	}
}

// receivedBody counts bytes that were read while a request is served: those of its body, and
// of the next request if its client does not wait for the response.
func (cc *clientConn) receivedBody(chunk []byte, size int) error {
	switch {
	case size > readBuffer:
		cc.rest = 0 // read past the buffer of the HTTP library
	case size == 1:
		cc.rest += headCost(chunk)
	default:
		cc.rest = headCost(chunk)
	}
	if len(chunk) > 0 {
		cc.share.Progress(time.Now(), len(chunk))
	}
	if cc.isCut.Load() && len(chunk) == 0 {
		return errors.WithStack(limit.ErrCutOff)
	}
	return nil
}

const prefaceHTTP2 = "PRI * HTTP/2.0\r\n"

// isPreface reports whether all that was received is the beginning of an HTTP/2 connection.
// It is not cut off after its preface, since requests of other processes share it.
func (cc *clientConn) isPreface(chunk []byte) bool {
	if cc.head.started || cc.preface < 0 {
		return false
	}
	rest := prefaceHTTP2[cc.preface:]
	count := min(len(chunk), len(rest))
	if string(chunk[:count]) != rest[:count] {
		cc.preface = -1
		return false
	}
	if cc.preface += count; cc.preface == len(prefaceHTTP2) {
		cc.isHTTP2 = true
		_ = cc.share.Receive() // one that was cut off before ends with its next read
	}
	return true
}

// refuse writes a response to a request whose head was not read to its end.
func (cc *clientConn) refuse(failed *core.Error) error {
	cc.refused = true
	cc.server.countRefusal(failed.Code, failed.Text, cc.RemoteAddr())
	res := http.Response{
		StatusCode: statusOf(failed), ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body: io.NopCloser(strings.NewReader(failed.Text + "\n")), ContentLength: int64(len(failed.Text) + 1), Close: true,
	}
	setRetryAfter(res.Header, failed)
	// The client may be gone.
	_ = cc.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_ = res.Write(cc.Conn)
	return errRefused
}

// statusOf returns the status of a refusal. It promises that the request has not run.
func statusOf(failed *core.Error) int {
	if failed.Code == core.CodeHeaderTooLarge {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusServiceUnavailable
}

func setRetryAfter(header http.Header, failed *core.Error) {
	if failed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failed.RetryAfter.Seconds(), 'f', 3, 64))
	}
}

// mustClose reports whether the connection must be closed after the response: others find no
// place, or its client has sent much of another head without waiting, which the HTTP library
// would parse uncounted.
func (cc *clientConn) mustClose() bool {
	isShort := cc.server.Conns.IsShort(time.Now())
	cc.mutex.Lock()
	defer cc.mutex.Unlock()
	mustClose := isShort || cc.rest >= limit.LargeHead
	cc.lingers = mustClose && cc.rest > 0
	return mustClose
}

// begin starts to serve a request whose head was parsed. It returns an error if the head is
// beyond the limits, if there is no place for it, or if the connection was cut off meanwhile.
func (cc *clientConn) begin(req *http.Request) *core.Error {
	cc.mutex.Lock()
	cc.serving = true
	_ = cc.applyDeadline() // fails only on a closed connection
	cc.mutex.Unlock()
	if req.Body != nil && req.Body != http.NoBody {
		req.Body = &requestBody{ReadCloser: req.Body, conn: cc, req: req, length: req.ContentLength}
	}
	size, lines := headerSize(req.Header)
	if li := cc.server.limits(); li.AreFinal && max(size, len(req.RequestURI)) > li.MaxHeader {
		return tooLarge(li)
	}
	grant := cc.share.SetHead(time.Now(), limit.HeadCost(size+len(req.RequestURI), lines+1))
	hasBody := req.Body != nil && req.Body != http.NoBody
	if grant != limit.Granted || !hasBody && !cc.share.Receive() {
		return noRoom(headsFull)
	}
	return nil
}

// headsFull is the text of the refusal of a head that finds no place.
const headsFull = "other requests take the memory for heads"

func tooLarge(li Limits) *core.Error {
	if !li.AreFinal {
		return core.Refuse(core.CodeNotReady, "the limits are not known yet").WithRetryAfter(RetryAfter())
	}
	return core.Refuse(core.CodeHeaderTooLarge, "headers are larger than %d bytes", li.MaxHeader)
}

func noRoom(text string) *core.Error {
	return core.Refuse(core.CodeFull, "%s", text).WithRetryAfter(RetryAfter())
}

// await begins the wait for the next request.
func (cc *clientConn) await() {
	cc.mutex.Lock()
	defer cc.mutex.Unlock()
	if cc.isHTTP2 {
		return
	}
	cc.serving, cc.head, cc.waitsSince = false, headCount{}, time.Now()
	if cc.share.Await(cc.waitsSince, cc.rest) != limit.Granted {
		cc.evict()
	}
	cc.shrinkReceiveBuffer()
}

// growReceiveBuffer lets a large body arrive as fast as the link permits, if the memory for
// grown buffers is not used up.
func (cc *clientConn) growReceiveBuffer() {
	cc.mutex.Lock()
	defer cc.mutex.Unlock()
	if !cc.hasGrown && cc.server.ReceiveBuffer > 0 && cc.server.grown.Acquire(0, grownBytes) {
		cc.hasGrown = true
		cc.setReceiveBuffer(bodyReceiveBuffer)
	}
}

func (cc *clientConn) shrinkReceiveBuffer() {
	if cc.hasGrown {
		cc.hasGrown = false
		cc.server.grown.Release(grownBytes)
		cc.setReceiveBuffer(cc.server.ReceiveBuffer)
	}
}

func (cc *clientConn) setReceiveBuffer(bytes int) {
	if tcp, isTCP := cc.raw.(*net.TCPConn); isTCP {
		_ = tcp.SetReadBuffer(bytes) // the size before serves too
	}
}

// Close implements net.Conn. After a refusal it waits shortly for the client to read it.
func (cc *clientConn) Close() error {
	cc.lingering.Do(cc.linger)
	cc.mutex.Lock()
	cc.shrinkReceiveBuffer()
	cc.mutex.Unlock()
	cc.share.Close()
	return cc.Conn.Close()
}

func (cc *clientConn) linger() {
	cc.mutex.Lock()
	lingers := cc.lingers || cc.refused && cc.head.size > 0
	cc.mutex.Unlock()
	tcp, isTCP := cc.raw.(*net.TCPConn)
	if !lingers || !isTCP {
		return
	}
	defer cc.server.lingering.Add(-1)
	if cc.server.lingering.Add(1) > maxLingering || cc.server.closing.Load() {
		return
	}
	_ = cc.share.SetHead(time.Now(), 0) // nothing of the request is in memory any more
	// The connection is closed in any case.
	if tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(tcp, lingerBytes), make([]byte, readBuffer))
	}
}

// headCount counts what was received of a head.
type headCount struct {
	size, lines int
	// started is set after the first byte of the request line. Clients may send empty lines
	// before it.
	started bool
}

// add counts a chunk up to the end of the head. It returns the cost of what follows.
func (hc *headCount) add(chunk []byte) (rest int64) {
	head := chunk
	if !hc.started {
		if head = bytes.TrimLeft(chunk, "\r\n"); len(head) == 0 {
			hc.size += len(chunk)
			return 0
		}
		hc.size += len(chunk) - len(head)
		hc.started = true
	}
	end := headEnd(head)
	hc.size += end
	hc.lines += bytes.Count(head[:end], newline)
	return headCost(head[end:])
}

func (hc *headCount) cost() int64 { return limit.HeadCost(hc.size, hc.lines) }

var newline = []byte("\n")

// headEnd returns the length of the part of a chunk that belongs to the head. An end that is
// split between two chunks is not found, so that the second one is counted whole.
func headEnd(chunk []byte) int {
	end := len(chunk)
	for _, mark := range []string{"\n\r\n", "\n\n"} {
		if at := bytes.Index(chunk[:end], []byte(mark)); at >= 0 {
			end = at + len(mark)
		}
	}
	return end
}

func headCost(chunk []byte) int64 {
	return limit.HeadCost(len(chunk), bytes.Count(chunk, newline))
}

// headerSize returns the size of the names and values of headers, in bytes, and the number of
// lines. It is less than on the wire, so that no permitted request is refused.
func headerSize(header http.Header) (size, lines int) {
	for name, values := range header {
		for _, value := range values {
			size, lines = size+len(name)+len(value), lines+1
		}
	}
	return size, lines
}

// requestBody tells the connection when the body of a request was received completely.
type requestBody struct {
	io.ReadCloser
	conn *clientConn
	req  *http.Request
	// length is the announced size in bytes, negative if there is none.
	length int64
}

// Read implements io.Reader.
func (rb *requestBody) Read(buf []byte) (int, error) {
	if rb.length < 0 || rb.length > int64(rb.conn.server.ReceiveBuffer) {
		rb.conn.growReceiveBuffer()
	}
	count, err := rb.ReadCloser.Read(buf)
	if err != io.EOF {
		return count, err
	}
	rb.req.Trailer = nil // nobody reads trailers, and many lines take as much as in a head
	if !rb.conn.share.Receive() {
		return count, errors.WithStack(limit.ErrCutOff)
	}
	return count, io.EOF
}

package strict

import (
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// conn is a connection that remembers a failed write.
type conn struct {
	net.Conn

	mutex   sync.Mutex
	changed *sync.Cond
	// writing is set during a call of Write, sent after the current request was written.
	writing, sent, closed bool
	writeErr              error
	// awaits is set if the end of the connection counts only after the request was written.
	awaits bool
}

func newConn(co net.Conn) *conn {
	cn := &conn{Conn: co}
	cn.changed = sync.NewCond(&cn.mutex)
	return cn
}

// update changes the state. A nil conn has none.
func (cn *conn) update(change func()) {
	if cn == nil {
		return
	}
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	change()
	cn.changed.Broadcast()
}

func (cn *conn) beginRequest() { cn.update(func() { cn.sent = false }) }
func (cn *conn) endRequest()   { cn.update(func() { cn.sent = true }) }

// awaitRequest makes Read report the end of the connection only after the request was written,
// and report a failed write instead. The connection is not used for another request.
func (cn *conn) awaitRequest() { cn.update(func() { cn.awaits = true }) }

// Write records its error.
func (cn *conn) Write(raw []byte) (int, error) {
	cn.update(func() { cn.writing = true })
	count, err := cn.Conn.Write(raw)
	cn.update(func() {
		cn.writing = false
		if err != nil {
			cn.writeErr = err
		}
	})
	return count, err
}

// Read returns the error of a failed write in place of io.EOF, if the end of the connection ends
// the response.
func (cn *conn) Read(into []byte) (int, error) {
	count, err := cn.Conn.Read(into)
	if err == io.EOF {
		err = cn.end()
	}
	return count, err
}

func (cn *conn) end() error {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	for cn.awaits && !cn.closed && cn.writeErr == nil && (cn.writing || !cn.sent) {
		cn.changed.Wait()
	}
	switch {
	case !cn.awaits:
		return io.EOF
	case cn.writeErr != nil:
		return errors.Wrap(cn.writeErr, "the connection broke while the request was sent")
	case cn.closed:
		return net.ErrClosed
	default:
		return io.EOF
	}
}

// Close ends a Read that waits for the request to be written.
func (cn *conn) Close() error {
	err := cn.Conn.Close()
	cn.update(func() { cn.closed = true })
	return err
}

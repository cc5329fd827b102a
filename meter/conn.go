package meter

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Traffic counts the bytes of connections under one label. Create it with Set.Traffic; the
// zero value counts nothing.
type Traffic struct {
	in, out metrics.Counter
}

// Traffic returns the counters of bytes-in and bytes-out under a label.
func (se *Set) Traffic(label string) Traffic {
	return Traffic{
		in:  metrics.GetOrRegisterCounter(se.full("bytes-in", label), se.registryOf()),
		out: metrics.GetOrRegisterCounter(se.full("bytes-out", label), se.registryOf()),
	}
}

// Conn returns a connection that counts the bytes read and written.
func (tr Traffic) Conn(conn net.Conn) net.Conn {
	if tr.in == nil {
		return conn
	}
	return &countedConn{Conn: conn, traffic: tr}
}

// Listener returns a listener whose connections count the bytes read and written.
func (tr Traffic) Listener(li net.Listener) net.Listener {
	return &countedListener{Listener: li, traffic: tr}
}

type countedListener struct {
	net.Listener
	traffic Traffic
}

// Accept implements net.Listener.
func (li *countedListener) Accept() (net.Conn, error) {
	conn, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return li.traffic.Conn(conn), nil
}

type countedConn struct {
	net.Conn
	traffic Traffic
}

// Read implements net.Conn.
func (co *countedConn) Read(buf []byte) (int, error) {
	count, err := co.Conn.Read(buf)
	co.traffic.in.Inc(int64(count))
	return count, err
}

// Write implements net.Conn.
func (co *countedConn) Write(buf []byte) (int, error) {
	count, err := co.Conn.Write(buf)
	co.traffic.out.Inc(int64(count))
	return count, err
}

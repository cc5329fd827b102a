package fake

import (
	"bufio"
	"net"

	"github.com/cockroachdb/errors"
)

// ListenRaw listens on a loopback address, passes each connection to serve with a reader of it,
// and closes it afterwards. It is for responses that an HTTP server does not send.
func ListenRaw(serve func(conn *net.TCPConn, rd *bufio.Reader)) (net.Listener, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	go func() {
		for {
			conn, err := li.Accept()
			if err != nil {
				return // the listener is closed
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn), bufio.NewReader(conn))
			}()
		}
	}()
	return li, nil
}

// skipHead reads the head of a request and leaves its body unread.
func skipHead(rd *bufio.Reader) error {
	for {
		line, err := rd.ReadString('\n')
		if err != nil || line == "\r\n" {
			return err
		}
	}
}

// AfterHead returns a function that reads the head of a request and then calls serve.
func AfterHead(serve func(conn *net.TCPConn, rd *bufio.Reader)) func(conn *net.TCPConn, rd *bufio.Reader) {
	return func(conn *net.TCPConn, rd *bufio.Reader) {
		if skipHead(rd) == nil {
			serve(conn, rd)
		}
	}
}

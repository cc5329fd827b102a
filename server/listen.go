package server

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listen binds an address. With a send buffer of its own size, a connection's buffer does
// not grow. The system lets a blocked writer go on only after a third of the buffer is free,
// which takes a slow but steady reader many seconds where the buffer has grown to some MB.
// With a receive buffer of its own size, a client cannot fill one that has grown. Zero sizes
// leave the buffers to the system.
func listen(addr string, sendBuffer, receiveBuffer int) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) { // accepted connections inherit the options
			if sendBuffer > 0 {
				optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
			}
			if receiveBuffer > 0 && optErr == nil {
				optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			}
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	return lc.Listen(context.Background(), "tcp", addr)
}

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
func listen(addr string, sendBuffer int) (net.Listener, error) {
	var lc net.ListenConfig
	if sendBuffer > 0 {
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) { // accepted connections inherit the option
				optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
			})
			if err != nil {
				return err
			}
			return optErr
		}
	}
	return lc.Listen(context.Background(), "tcp", addr)
}

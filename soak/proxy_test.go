package soak_test

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

// linkMode is what a proxy does to its connections.
type linkMode string

const (
	passThrough linkMode = "pass"
	// slow delays each piece by lag.
	slow linkMode = "slow"
	// stalled forwards nothing and keeps connections open.
	stalled linkMode = "silent"
	// oneWay forwards what the client sends and nothing back.
	oneWay linkMode = "one-way"
)

const chunkDelay = 150 * time.Millisecond

// proxy is a loopback link between a process and a server.
type proxy struct {
	addr   string
	target string

	mutex sync.Mutex
	mode  linkMode
	conns map[net.Conn]bool
}

func newProxy(t require.TestingT, target string) *proxy {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pr := &proxy{addr: li.Addr().String(), target: target, mode: passThrough, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := li.Accept()
			if err != nil {
				return
			}
			go pr.serve(conn)
		}
	}()
	return pr
}

func (pr *proxy) setMode(mo linkMode) {
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	pr.mode = mo
}

// reset cuts all open connections.
func (pr *proxy) reset() {
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	for conn := range pr.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (pr *proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", pr.target)
	if err != nil {
		_ = near.Close()
		return
	}
	pr.mutex.Lock()
	pr.conns[near], pr.conns[far] = true, true
	pr.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { pr.copy(far, near, false) })
	group.Go(func() { pr.copy(near, far, true) })
	group.Wait()
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	delete(pr.conns, near)
	delete(pr.conns, far)
}

func (pr *proxy) copy(to, from net.Conn, back bool) {
	defer to.Close()   // the link ends
	defer from.Close() // the link ends
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && pr.applyMode(back) {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			return
		}
	}
}

// applyMode holds a piece up as the mode says; false drops it.
func (pr *proxy) applyMode(back bool) bool {
	pr.mutex.Lock()
	mo := pr.mode
	pr.mutex.Unlock()
	switch {
	case mo == stalled || (mo == oneWay && back):
		return false
	case mo == slow:
		time.Sleep(chunkDelay)
	}
	return true
}

package soak_test

import (
	"net"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

// linkMode is how a proxy treats its connections.
type linkMode string

const (
	passThrough linkMode = "pass"
	// slow delays each chunk by chunkDelay.
	slow linkMode = "slow"
	// stalled forwards nothing and keeps connections open.
	stalled linkMode = "silent"
	// oneWay forwards from the client to the server only.
	oneWay linkMode = "one-way"
)

const chunkDelay = 150 * time.Millisecond

// proxy forwards loopback connections from a process to a server.
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

// reset closes all open connections with a TCP reset.
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

func (pr *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", pr.target)
	if err != nil {
		_ = client.Close()
		return
	}
	pr.mutex.Lock()
	pr.conns[client], pr.conns[server] = true, true
	pr.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { pr.copy(server, client, false) })
	group.Go(func() { pr.copy(client, server, true) })
	group.Wait()
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	delete(pr.conns, client)
	delete(pr.conns, server)
}

func (pr *proxy) copy(to, from net.Conn, toClient bool) {
	defer to.Close()   // when one direction ends, both connections are closed
	defer from.Close() // when one direction ends, both connections are closed
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 && pr.applyMode(toClient) {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyMode delays a chunk in slow mode. It returns false if the chunk must be
// dropped.
func (pr *proxy) applyMode(toClient bool) bool {
	pr.mutex.Lock()
	mo := pr.mode
	pr.mutex.Unlock()
	switch {
	case mo == stalled || (mo == oneWay && toClient):
		return false
	case mo == slow:
		time.Sleep(chunkDelay)
	}
	return true
}

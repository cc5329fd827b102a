package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// extraDelay is how long after an answer an extra one is sent.
const extraDelay = 100 * time.Millisecond

// extraAnswer is a refusal as `fleetbench wire` shows it. It belongs to no request.
const extraAnswer = "HTTP/1.1 503 Service Unavailable\r\nBilberryshelf-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// serveRaw serves plain requests on connections of its own, so that an extra answer can be sent
// late, whatever the connection is in use for by then. All other answers echo the id of their
// request.
func (wo *worker) serveRaw(addr string, extraEach int) error {
	li, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	var (
		mutex   sync.Mutex
		answers int
	)
	for {
		co, err := li.Accept()
		if err != nil {
			return err
		}
		go wo.serveConn(co, func() bool {
			mutex.Lock()
			defer mutex.Unlock()
			answers++
			return extraEach > 0 && answers%extraEach == 0
		})
	}
}

func (wo *worker) serveConn(co net.Conn, spoilt func() bool) {
	defer co.Close()
	var writing sync.Mutex
	send := func(raw string) error {
		writing.Lock()
		defer writing.Unlock()
		_, err := io.WriteString(co, raw)
		return err
	}
	for lines := bufio.NewReader(co); ; {
		req, err := http.ReadRequest(lines)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if send(wo.answer(req, body)) != nil {
			return
		}
		if spoilt() {
			id := req.Header.Get("Bilberryshelf-Request-Id")
			go func() {
				time.Sleep(extraDelay)
				wo.note("sends-extra after-the-answer-to %s", id)
				_ = send(extraAnswer)
			}()
		}
	}
}

// answer runs a request, or refuses it, and returns the answer.
func (wo *worker) answer(req *http.Request, body []byte) string {
	id := req.Header.Get("Bilberryshelf-Request-Id")
	if expected := req.Header.Get("Bilberryshelf-Expect-Instance"); expected != wo.id {
		return "HTTP/1.1 421 Misdirected Request\r\nBilberryshelf-Request-Id: " + id + "\r\nBilberryshelf-Instance-Id: " + wo.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	if _, admitted := wo.begin(); !admitted {
		return "HTTP/1.1 503 Service Unavailable\r\nBilberryshelf-Request-Id: " + id + "\r\nBilberryshelf-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	defer wo.end()
	wo.note("runs %s %s %s after=", id, req.Method, req.RequestURI)
	time.Sleep(wo.work)
	wo.note("ended %s", id)
	text := fmt.Sprintf("answer to %s: %s", id, body)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nBilberryshelf-Request-Id: %s\r\nBilberryshelf-Response-Stamp: stamp.%s\r\nBilberryshelf-Server-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		id, id, wo.load(), wo.slots, len(text), text)
}

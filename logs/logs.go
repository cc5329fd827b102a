// Package logs writes structured lines without ever holding up their writer.
//
//  1. A line that finds the queue full is dropped and counted.
//  2. Lines above MostPerSecond are dropped and counted, so that a fault that
//     repeats cannot take the processor.
//  3. The count of dropped lines is written when lines flow again.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// queueDepth is the lines that may wait for a slow reader.
	queueDepth = 1024
	// MostPerSecond bounds the lines a second; a burst of one queue may exceed it.
	MostPerSecond = 300
)

// Writer is an io.Writer that never blocks. Make it with New.
type Writer struct {
	lines   chan []byte
	stop    chan struct{}
	limit   *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
}

// New starts a writer on an output. Close ends it.
func New(out io.Writer) *Writer {
	wr := &Writer{
		lines: make(chan []byte, queueDepth), stop: make(chan struct{}), limit: rate.NewLimiter(MostPerSecond, queueDepth), done: make(chan struct{}),
	}
	go wr.run(out)
	return wr
}

// Write queues one line.
func (wr *Writer) Write(line []byte) (int, error) {
	if !wr.limit.Allow() {
		wr.dropped.Add(1)
		return len(line), nil
	}
	select {
	case wr.lines <- append([]byte(nil), line...):
	default:
		wr.dropped.Add(1)
	}
	return len(line), nil
}

func (wr *Writer) run(out io.Writer) {
	defer close(wr.done)
	for {
		select {
		case line := <-wr.lines:
			wr.put(out, line)
		case <-wr.stop:
			for len(wr.lines) > 0 {
				wr.put(out, <-wr.lines)
			}
			return
		}
	}
}

func (wr *Writer) put(out io.Writer, line []byte) {
	if count := wr.dropped.Swap(0); count > 0 {
		fmt.Fprintf(out, "level=warn msg=\"lines dropped\" count=%d\n", count) //nolint:errcheck // there is nowhere else to say it
	}
	_, _ = out.Write(line) // there is nowhere else to say it
}

// Close writes what is queued and ends the writer. Later lines are lost.
func (wr *Writer) Close() {
	close(wr.stop)
	<-wr.done
}

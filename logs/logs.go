// Package logs writes structured lines without ever holding up their writer.
//
//  1. A line that finds the queue full is dropped and counted.
//  2. Ordinary lines (below level warn) above MostPerSecond are dropped and
//     counted, before they are encoded. Lines of level warn and above are not
//     sampled: a failure is missing only if the reader stands still.
//  3. The count of dropped lines is written when lines flow again, and kept as a
//     metric.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"bilberryshelf/meter"
)

const (
	// queueDepth is the lines that may wait for a slow reader.
	queueDepth = 1024
	// MaxPerSecond bounds the ordinary lines a second; a burst of one queue may
	// exceed it.
	MaxPerSecond = 300
)

// The labels of dropped lines.
const (
	ordinary = "ordinary"
	failure  = "failure"
)

// Writer writes lines from a queue. Make it with New.
type Writer struct {
	lines   chan []byte
	stop    chan struct{}
	limit   *rate.Limiter
	dropped atomic.Int64
	meters  *meter.Set
	done    chan struct{}
}

// New starts a writer on an output. Close ends it. Dropped lines are counted in
// the meters.
func New(out io.Writer, me *meter.Set) *Writer {
	wr := &Writer{
		lines: make(chan []byte, queueDepth), stop: make(chan struct{}), limit: rate.NewLimiter(MaxPerSecond, queueDepth),
		meters: me, done: make(chan struct{}),
	}
	go wr.run(out)
	return wr
}

// Logger is a logger whose lines go to the writer.
func (wr *Writer) Logger() log.Logger {
	return &logger{
		writer:   wr,
		ordinary: log.NewLogfmtLogger(queue{writer: wr, kind: ordinary}),
		failure:  log.NewLogfmtLogger(queue{writer: wr, kind: failure}),
	}
}

// logger sorts lines by their level.
type logger struct {
	writer            *Writer
	ordinary, failure log.Logger
}

// Log queues one line.
func (lo *logger) Log(keyvals ...any) error {
	if isFailure(keyvals) {
		return lo.failure.Log(keyvals...)
	}
	if !lo.writer.limit.Allow() {
		lo.writer.drop(ordinary)
		return nil
	}
	return lo.ordinary.Log(keyvals...)
}

func isFailure(keyvals []any) bool {
	for at := 0; at+1 < len(keyvals); at += 2 {
		if keyvals[at] == level.Key() {
			return keyvals[at+1] == level.WarnValue() || keyvals[at+1] == level.ErrorValue()
		}
	}
	return false
}

// queue takes the encoded lines of one kind.
type queue struct {
	writer *Writer
	kind   string
}

// Write queues one line.
func (qu queue) Write(line []byte) (int, error) {
	select {
	case qu.writer.lines <- append([]byte(nil), line...):
	default:
		qu.writer.drop(qu.kind)
	}
	return len(line), nil
}

func (wr *Writer) drop(kind string) {
	wr.dropped.Add(1)
	wr.meters.Count("log-lines-dropped", kind, 1)
}

func (wr *Writer) run(out io.Writer) {
	defer close(wr.done)
	for {
		select {
		case line := <-wr.lines:
			wr.writeLine(out, line)
		case <-wr.stop:
			for len(wr.lines) > 0 {
				wr.writeLine(out, <-wr.lines)
			}
			return
		}
	}
}

func (wr *Writer) writeLine(out io.Writer, line []byte) {
	if count := wr.dropped.Swap(0); count > 0 {
		fmt.Fprintf(out, "level=warn msg=\"lines dropped\" count=%d\n", count) // there is nowhere else to say it
	}
	_, _ = out.Write(line) // there is nowhere else to say it
}

// Close writes what is queued and ends the writer. Later lines are lost.
func (wr *Writer) Close() {
	close(wr.stop)
	<-wr.done
}

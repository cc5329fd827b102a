// Package logs writes structured log lines and never blocks the code that logs.
//
//  1. A line is dropped and counted if the queue is full.
//  2. Ordinary lines (below level warn) above MaxPerSecond are dropped and counted
//     before they are encoded. Failures (level warn and above) are not rate-limited:
//     they are dropped only if the output blocks until the queue is full.
//  3. The number of dropped lines is written before the next line, and is kept as a
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
	// queueDepth is the number of lines that may wait for a slow output.
	queueDepth = 1024
	// MaxPerSecond is the maximum number of ordinary lines per second. A burst of up to
	// queueDepth lines may exceed it.
	MaxPerSecond = 300
)

// The labels of dropped lines.
const (
	ordinary = "ordinary"
	failure  = "failure"
)

// Writer writes lines from a queue. Create it with New.
type Writer struct {
	lines   chan []byte
	stop    chan struct{}
	limit   *rate.Limiter
	dropped atomic.Int64
	meters  *meter.Set
	done    chan struct{}
}

// New starts a writer to an output. Close stops it. Dropped lines are counted in the
// meters.
func New(out io.Writer, me *meter.Set) *Writer {
	wr := &Writer{
		lines: make(chan []byte, queueDepth), stop: make(chan struct{}), limit: rate.NewLimiter(MaxPerSecond, queueDepth),
		meters: me, done: make(chan struct{}),
	}
	go wr.run(out)
	return wr
}

// Logger returns a logger that queues its lines in the writer.
func (wr *Writer) Logger() log.Logger {
	return &logger{
		writer:   wr,
		ordinary: log.NewLogfmtLogger(queue{writer: wr, kind: ordinary}),
		failure:  log.NewLogfmtLogger(queue{writer: wr, kind: failure}),
	}
}

// logger separates ordinary lines from failures by level.
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

// queue queues the encoded lines of one kind.
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
		fmt.Fprintf(out, "level=warn msg=\"lines dropped\" count=%d\n", count) // there is nowhere else to report an error
	}
	_, _ = out.Write(line) // there is nowhere else to report an error
}

// Close writes the queued lines and stops the writer. Later lines are lost.
func (wr *Writer) Close() {
	close(wr.stop)
	<-wr.done
}

package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/stretchr/testify/require"

	"bilberryshelf/logs"
	"bilberryshelf/meter"
)

// blockedWriter is a pipe that nobody reads until it is opened.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (bl *blockedWriter) Write(line []byte) (int, error) {
	<-bl.unblock
	return bl.Buffer.Write(line)
}

// A reader that stands still holds up nobody; what was lost is counted.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bl := &blockedWriter{unblock: make(chan struct{})}
		wr := logs.New(bl, &meter.Set{})
		lg := level.Warn(wr.Logger()) // failures: only the reader bounds them
		began := time.Now()
		const lines = 5000
		for at := range lines {
			require.NoError(t, lg.Log("line", at))
		}
		require.Zero(t, time.Since(began))
		close(bl.unblock)
		synctest.Wait()
		time.Sleep(time.Second)
		require.NoError(t, lg.Log("msg", "last"))
		wr.Close()
		text := bl.String()
		require.Contains(t, text, "msg=last\n")
		written := strings.Count(text, "line=")
		lost := 0
		for _, part := range strings.Split(text, "count=")[1:] {
			var count int
			_, err := fmt.Sscan(part, &count)
			require.NoError(t, err)
			lost += count
		}
		require.Equal(t, lines, written+lost)
	})
}

// The volume of ordinary lines is bounded also for a reader that keeps up; of
// the failures among them none is lost, and the metrics count what was dropped.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var (
			out bytes.Buffer
			me  meter.Set
		)
		wr := logs.New(&out, &me)
		lg := log.With(wr.Logger(), "node", "n") // context before the level
		const seconds = 20
		for at := range seconds * 1000 {
			require.NoError(t, level.Info(lg).Log("msg", "served"))
			if at%10 == 0 {
				require.NoError(t, level.Warn(lg).Log("msg", "refused"))
			}
			time.Sleep(time.Millisecond)
		}
		wr.Close()
		text := out.String()
		served := strings.Count(text, "msg=served\n")
		require.LessOrEqual(t, served, seconds*logs.MaxPerSecond+1024)
		require.Equal(t, seconds*100, strings.Count(text, "msg=refused\n"))
		var metrics bytes.Buffer
		me.Write(&metrics)
		require.Contains(t, metrics.String(), fmt.Sprintf("bilberryshelf_log_lines_dropped_total{of=\"ordinary\"} %d\n", seconds*1000-served))
	})
}

package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/logs"
)

// blocked is a pipe that nobody reads until it is opened.
type blocked struct {
	open chan struct{}
	bytes.Buffer
}

func (bl *blocked) Write(line []byte) (int, error) {
	<-bl.open
	return bl.Buffer.Write(line)
}

// A reader that stands still holds up nobody; what was lost is counted.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bl := &blocked{open: make(chan struct{})}
		wr := logs.New(bl)
		began := time.Now()
		const lines = 5000
		for at := range lines {
			_, err := fmt.Fprintf(wr, "line %d\n", at)
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(began))
		close(bl.open)
		synctest.Wait()
		time.Sleep(time.Second)
		_, _ = wr.Write([]byte("last\n"))
		wr.Close()
		text := bl.String()
		require.Contains(t, text, "last\n")
		written := strings.Count(text, "line ")
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

// The volume is bounded also for a reader that keeps up.
func TestBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		wr := logs.New(&out)
		const seconds = 20
		for range seconds * 1000 {
			_, _ = wr.Write([]byte("line\n"))
			time.Sleep(time.Millisecond)
		}
		wr.Close()
		require.LessOrEqual(t, strings.Count(out.String(), "line\n"), seconds*logs.MostPerSecond+1024)
	})
}

package calls

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/meter"
)

// emptyStreamer answers with a stream without events, after a delay.
type emptyStreamer struct{ delay time.Duration }

func (em emptyStreamer) Stream(_ context.Context, _ fleet.Target, _ Request, _ int, begin func(Response) error, _ func(int, []byte) error) error {
	time.Sleep(em.delay)
	return begin(Response{Status: 200})
}

type discardSink struct{}

func (discardSink) Begin(Response)     {}
func (discardSink) Event([]byte) error { return nil }

// A stream without events counts with the time until its end, not as answered in no time:
// that would draw requests to its target.
func TestLatencyOfEmptyStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 500 * time.Millisecond
		ba := &Balancer{}
		ba.Update(time.Now(), []fleet.Target{{ID: "t0", Service: "lm", Slots: 6}})
		fo := &Forwarder{
			Streamer: emptyStreamer{delay}, Clock: core.SystemClock{}, Logger: log.NewNopLogger(), Meters: &meter.Set{},
			Balancer: ba, IntN: func(int) int { return 0 },
		}
		re := Request{ID: "r", Deadline: time.Now().Add(time.Minute), Route: conf.Route{Kind: conf.Stream, Shares: []conf.Share{{Service: "lm", Weight: 1}}, Attempts: 1}}
		require.Nil(t, fo.Stream(context.Background(), re, discardSink{}))
		require.InDelta(t, latencyWeight*float64(delay), float64(ba.stats["t0"].latency), float64(time.Millisecond))
	})
}

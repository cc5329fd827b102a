package entry

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/meter"
	"bilberryshelf/setup"
	"bilberryshelf/wire"
	"bilberryshelf/wire/wireconnect"
)

// settleRecorder is a guard client that records the settle request.
type settleRecorder struct {
	wireconnect.GuardServiceClient
	req *wire.SettleRequest
}

func (sr *settleRecorder) Settle(_ context.Context, req *wire.SettleRequest) (*wire.SettleResponse, error) {
	sr.req = req
	return &wire.SettleResponse{State: "unknown"}, nil
}

// manualClock is a clock that the test sets.
type manualClock struct{ now time.Time }

func (mc *manualClock) Now() time.Time { return mc.now }

func (mc *manualClock) After(time.Duration) <-chan time.Time { return nil }

// A settle request contains the attempt's own deadline, no matter how late it is
// sent. A guard deletes attempts some time after their deadline and needs it to
// distinguish an attempt that it never received from one that it has deleted.
func TestSettleSendsAttemptDeadline(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	en := New(setup.DefaultEntry(), clock, log.NewNopLogger(), &meter.Set{}, Platform{})
	guard := &settleRecorder{}
	rs := en.newRetryState(&request{deadline: clock.now.Add(time.Hour)}, nil)
	rs.placement = placement{endpoint: &endpoint{client: guard, guardTime: clock.now, helloAt: clock.now}}
	sent := en.dispatchRequest(rs)
	clock.now = clock.now.Add(10 * time.Minute)
	en.settle(context.Background(), rs)
	require.Equal(t, sent.DeadlineNanos, guard.req.ForbidUntilNanos)
	require.Equal(t, core.AttemptID(sent.Id), core.AttemptID(guard.req.Id))
}

// No attempt may start after its caller's deadline, even if the entry was
// suspended just before it built the dispatch.
func TestNoAttemptAfterCallerDeadline(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	en := New(setup.DefaultEntry(), clock, log.NewNopLogger(), &meter.Set{}, Platform{})
	rs := en.newRetryState(&request{deadline: clock.now.Add(time.Second)}, nil)
	rs.placement = placement{endpoint: &endpoint{guardTime: clock.now, helloAt: clock.now}}
	callers := clock.now.Add(time.Second).UnixNano()
	require.Equal(t, callers, en.dispatchRequest(rs).DeadlineNanos)
	clock.now = clock.now.Add(time.Minute)
	require.Equal(t, callers, en.dispatchRequest(rs).DeadlineNanos, "it must be refused on arrival")
}

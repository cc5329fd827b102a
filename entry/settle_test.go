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

// asked is a guard that keeps the settle question.
type asked struct {
	wireconnect.GuardServiceClient
	req *wire.SettleRequest
}

func (as *asked) Settle(_ context.Context, req *wire.SettleRequest) (*wire.SettleResponse, error) {
	as.req = req
	return &wire.SettleResponse{State: "unknown"}, nil
}

// hand is a clock that is set by hand.
type hand struct{ now time.Time }

func (ha *hand) Now() time.Time { return ha.now }

func (ha *hand) After(time.Duration) <-chan time.Time { return nil }

// A settle question names the deadline of the attempt itself, however late it
// is asked: a guard forgets attempts some time after it, and must be able to
// tell one that it never saw from one that it has forgotten.
func TestSettleNamesTheAttemptsDeadline(t *testing.T) {
	clock := &hand{now: time.Unix(1000, 0)}
	en := New(setup.DefaultEntry(), clock, log.NewNopLogger(), &meter.Set{}, Platform{})
	guard := &asked{}
	ch := en.newChase(&request{deadline: clock.now.Add(time.Hour)}, nil)
	ch.at = place{contact: &contact{client: guard, guardTime: clock.now, heard: clock.now}}
	sent := en.dispatch(ch)
	clock.now = clock.now.Add(10 * time.Minute)
	en.settle(context.Background(), ch)
	require.Equal(t, sent.DeadlineNanos, guard.req.ForbidUntilNanos)
	require.Equal(t, core.AttemptID(sent.Id), core.AttemptID(guard.req.Id))
}

// No attempt may start after its caller's patience, even if the entry was
// frozen just before it made the dispatch.
func TestNoAttemptAfterTheCallersDeadline(t *testing.T) {
	clock := &hand{now: time.Unix(1000, 0)}
	en := New(setup.DefaultEntry(), clock, log.NewNopLogger(), &meter.Set{}, Platform{})
	ch := en.newChase(&request{deadline: clock.now.Add(time.Second)}, nil)
	ch.at = place{contact: &contact{guardTime: clock.now, heard: clock.now}}
	callers := clock.now.Add(time.Second).UnixNano()
	require.Equal(t, callers, en.dispatch(ch).DeadlineNanos)
	clock.now = clock.now.Add(time.Minute)
	require.Equal(t, callers, en.dispatch(ch).DeadlineNanos, "it is refused on arrival")
}

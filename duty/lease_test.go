package duty_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/duty"
	"bilberryshelf/fake"
	"bilberryshelf/meter"
)

// bootClock is a clock that counts suspensions of a test.
type bootClock struct {
	began     time.Time
	suspended atomic.Int64
}

func (bo *bootClock) SinceBoot() time.Duration {
	return time.Since(bo.began) + time.Duration(bo.suspended.Load())
}

// start starts a candidate that waits this long once the lease is available.
func start(ctx context.Context, rows *fake.Rows, name, node string, wait time.Duration) (*duty.Runner, *bootClock) {
	boot := &bootClock{began: time.Now()}
	ru := &duty.Runner{
		Lease: duty.Lease{Name: name, Node: node}, Store: rows, Clock: core.SystemClock{}, Boot: boot,
		Candidacy: func(time.Time) duty.Candidacy { return duty.Candidacy{Eligible: true, Wait: wait} },
		Logger:    log.NewNopLogger(), Meters: &meter.Set{},
	}
	go ru.Run(ctx)
	return ru, boot
}

func permits(ru *duty.Runner) (token uint64, ok bool) { return ru.Permit(time.Now()) }

// The runner must acquire, keep, release and take over the lease through the store, and send
// nothing in the states in which the lease may be another's.
func TestRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		rows := &fake.Rows{}
		first, boot := start(ctx, rows, "a/1", "a", 0)
		second, _ := start(ctx, rows, "b/1", "b", 700*time.Millisecond)
		time.Sleep(2900 * time.Millisecond)
		_, ok := permits(first)
		require.False(t, ok, "a call before the lease time has passed")
		time.Sleep(time.Second)
		token, ok := permits(first)
		require.True(t, ok)
		require.EqualValues(t, 1, token)

		boot.suspended.Add(int64(2500 * time.Millisecond))
		_, ok = permits(first)
		require.False(t, ok, "a call right after a suspension")
		time.Sleep(1500 * time.Millisecond)
		_, ok = permits(first)
		require.True(t, ok, "no call although the lease was renewed after the suspension")

		rows.Set(fake.RowFaults{Hang: true})
		time.Sleep(2600 * time.Millisecond)
		_, ok = permits(first)
		require.False(t, ok, "a call without renewals")
		rows.Set(fake.RowFaults{})
		time.Sleep(3 * time.Second)
		_, ok = permits(first)
		require.True(t, ok, "the lease was lost by an outage of the store")

		first.Release(ctx)
		_, ok = permits(first)
		require.False(t, ok, "a call after the release")
		time.Sleep(2900 * time.Millisecond)
		_, ok = permits(second)
		require.False(t, ok, "a call within the lease time of the holder before")
		time.Sleep(2200 * time.Millisecond)
		token, ok = permits(second)
		require.True(t, ok)
		require.EqualValues(t, 2, token)
		cancel()
		synctest.Wait()
	})
}

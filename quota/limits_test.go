package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
	"bilberryshelf/quota"
)

var target = fleet.Target{ID: "a", StartedAt: 1}

func TestNewLimit(t *testing.T) {
	for number, want := range map[float64]quota.Limit{1.5: 1.5, 0: 0.2, 0.01: 0.2, 1e300: 1e300} {
		li, ok := quota.NewLimit(number)
		require.True(t, ok, number)
		require.Equal(t, want, li)
	}
	for _, number := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		_, ok := quota.NewLimit(number)
		require.False(t, ok, number)
	}
}

// A response that arrives late must not override one to a later request, whether it names
// a limit or not.
func TestLateResponseKeepsNewerLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	var changes []quota.Limit
	ls := &quota.Limits{OnChange: func(_ fleet.Target, _, is quota.Limit) { changes = append(changes, is) }}
	ls.Observe(target, now, quota.Reading{})
	ls.Observe(target, now.Add(2*time.Second), quota.Reading{Limit: 3})
	ls.Observe(target, now.Add(time.Second), quota.Reading{})
	require.Equal(t, quota.Limit(3), ls.Limit(target))
	ls.Observe(target, now.Add(3*time.Second), quota.Reading{Limit: 2})
	ls.Observe(target, now.Add(4*time.Second), quota.Reading{})
	ls.Observe(target, now.Add(3*time.Second), quota.Reading{Limit: 2})
	require.Zero(t, ls.Limit(target))
	require.Equal(t, []quota.Limit{3, 2, 0}, changes)

	ls.Observe(target, now.Add(5*time.Second), quota.Reading{Limit: 2})
	require.Zero(t, ls.Limit(fleet.Target{ID: "a", StartedAt: 2}), "another incarnation has no limit")
	require.Zero(t, (*quota.Limits)(nil).Limit(target))
}

func TestMalformedLimitChangesNothing(t *testing.T) {
	now, reports := time.Unix(1000, 0), 0
	ls := &quota.Limits{OnMalformed: func(fleet.Target, string) { reports++ }}
	ls.Observe(target, now, quota.Reading{Limit: 3})
	for range 3 {
		ls.Observe(target, now.Add(time.Second), quota.Reading{Malformed: "many"})
	}
	require.Equal(t, quota.Limit(3), ls.Limit(target))
	require.Equal(t, 1, reports, "reported once")
}

// Limits that an issuer announces reach an entry that knows none, newer ones replace older
// ones, and the end of a limit is announced as well.
func TestAnnouncedLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	var is quota.Issuer
	text, err := is.Announce(now)
	require.NoError(t, err)
	require.Empty(t, text)
	is.Issue(now, "e", quota.Ask{Target: target, Limit: 3}, quota.Primary)
	is.Issue(now, "e", quota.Ask{Target: fleet.Target{ID: "b"}, Limit: 4}, quota.Deputy)
	text, err = is.Announce(now.Add(time.Second))
	require.NoError(t, err)

	ls := &quota.Limits{}
	require.NoError(t, ls.Adopt(now.Add(time.Second), text))
	require.Equal(t, quota.Limit(3), ls.Limit(target))
	require.Zero(t, ls.Limit(fleet.Target{ID: "b"}), "a deputy announces nothing")
	ls.Observe(target, now.Add(2*time.Second), quota.Reading{Limit: 5})
	require.NoError(t, ls.Adopt(now.Add(time.Second), text))
	require.Equal(t, quota.Limit(5), ls.Limit(target), "an older announcement")

	is.Issue(now.Add(4*time.Second), "e", quota.Ask{Target: target, Limit: 0}, quota.Primary)
	text, err = is.Announce(now.Add(5 * time.Second))
	require.NoError(t, err)
	require.NoError(t, ls.Adopt(now.Add(5*time.Second), text))
	require.Zero(t, ls.Limit(target))
	require.Error(t, ls.Adopt(now, []byte{0xff}))
	text, err = is.Announce(now.Add(time.Minute))
	require.NoError(t, err)
	require.Empty(t, text, "nobody has asked for long")
}

// A claim that came during the pause after an Ask was forgotten until the next one: nobody
// looked again at the end of the pause.
func TestClaimDuringThePause(t *testing.T) {
	now := time.Unix(1000, 0)
	ls := &quota.Limits{}
	due := ls.Due()
	ls.Observe(target, now, quota.Reading{Limit: 2})
	<-due
	asks, _ := ls.Asks(now)
	require.Len(t, asks, 1, "the limit is reported")
	ls.Granted(now, asks[0], quota.Grant{Limit: 2, RetryAfter: time.Second})
	<-due
	_, next := ls.Asks(now)
	require.Zero(t, next, "nothing to ask")
	ls.Claim(now.Add(time.Millisecond), target, "r1", 0, 1)
	require.Len(t, due, 1, "the next Asks tells when the pause ends")
	<-due
	asks, next = ls.Asks(now.Add(time.Millisecond))
	require.Empty(t, asks)
	require.False(t, next.IsZero())
}

package quota_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/quota"
)

// replay has entries ask for permits in random order, as often as they would, and returns
// when permits were issued to each entry and priority.
func replay(random *rand.Rand, li quota.Limit, entries, duration int, counts func(entry int) map[int]int, role func(step int) quota.Role) map[string][]time.Time {
	var is quota.Issuer
	now := time.Unix(1000, 0)
	issued := map[string][]time.Time{}
	for step := range duration * 10 {
		for _, en := range random.Perm(entries) {
			as := quota.Ask{Target: target, Limit: li, Counts: counts(en)}
			gr := is.Issue(now.Add(time.Duration(random.Intn(50))*time.Millisecond), fmt.Sprint(en), as, role(step))
			for priority, count := range gr.Counts {
				key := fmt.Sprint(en, "/", priority)
				for range count {
					issued[key] = append(issued[key], now)
				}
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	return issued
}

func always(ro quota.Role) func(int) quota.Role { return func(int) quota.Role { return ro } }

func total(issued map[string][]time.Time) int {
	sum := 0
	for _, at := range issued {
		sum += len(at)
	}
	return sum
}

// 88 entries that all have work share limits down to less than one a second exactly, and
// none of them is left out.
func TestReplayManyEntriesFewPermits(t *testing.T) {
	for _, li := range []quota.Limit{0.5, 1.5, 40} {
		issued := replay(rand.New(rand.NewSource(1)), li, 88, 30, func(int) map[int]int { return map[int]int{0: 3} }, always(quota.Primary))
		require.InDelta(t, 30*float64(li), total(issued), 2+float64(li), "limit %v", li)
		if each := 30 * float64(li) / 88; each > 1 {
			for en := range 88 {
				require.InDelta(t, each, len(issued[fmt.Sprint(en, "/0")]), each/2+1, "entry %d, limit %v", en, li)
			}
		}
	}
}

// Scoring calls of one entry in bursts of a hundred neither starve the callers of the
// others nor are starved by them.
func TestReplayScoringBurstBesideCallers(t *testing.T) {
	issued := replay(rand.New(rand.NewSource(1)), 10, 8, 60, func(en int) map[int]int {
		if en == 0 {
			return map[int]int{1: 100}
		}
		return map[int]int{0: 5}
	}, always(quota.Primary))
	require.InDelta(t, 600, total(issued), 20)
	scoring := len(issued["0/1"])
	require.InDelta(t, 600/4, scoring, 30, "each fourth permit goes to the priority that waited longest")
	for en := 1; en < 8; en++ {
		require.InDelta(t, (600-scoring)/7, len(issued[fmt.Sprint(en, "/0")]), 15)
	}
}

// An issuer whose view of the live entries changed and a deputy issue less, so that two of
// them together stay below one and a half times the limit.
func TestTwoIssuersExceedTheLimit(t *testing.T) {
	all := map[quota.Role]int{}
	for _, ro := range []quota.Role{quota.Primary, quota.Newcomer, quota.Deputy} {
		all[ro] = total(replay(rand.New(rand.NewSource(1)), 10, 3, 60, func(int) map[int]int { return map[int]int{0: 9} }, always(ro)))
	}
	require.InDelta(t, 600, all[quota.Primary], 20)
	require.LessOrEqual(t, all[quota.Primary]+all[quota.Newcomer], 900+20)
	require.LessOrEqual(t, all[quota.Primary]+all[quota.Deputy], 900)
}

// A process that was paused must not send on permits that have lapsed meanwhile.
func TestPermitsOutliveAPause(t *testing.T) {
	now := time.Unix(1000, 0)
	ls := &quota.Limits{}
	require.True(t, ls.Take(now, target, 0), "without a limit none is needed")
	ls.Observe(target, now, quota.Reading{Limit: 2})
	require.False(t, ls.Take(now, target, 0))
	ls.Claim(now, target, "r1", 0, 3)
	asks, _ := ls.Asks(now)
	require.Len(t, asks, 1)
	require.Equal(t, map[int]int{0: 3}, asks[0].Counts)
	again, _ := ls.Asks(now)
	require.Empty(t, again, "one at a time")
	ls.Granted(now.Add(10*time.Millisecond), asks[0], quota.Grant{Limit: 2, Counts: map[int]int{0: 3}})
	require.True(t, ls.Take(now.Add(20*time.Millisecond), target, 0))
	require.False(t, ls.Take(now.Add(20*time.Millisecond), target, 1), "issued for a more urgent request")
	require.True(t, ls.Take(now.Add(20*time.Millisecond), target, -1), "a more urgent one goes first")
	require.True(t, ls.Take(now.Add(quota.PermitTTL-1), target, 0))
	require.False(t, ls.Take(now.Add(quota.PermitTTL), target, 0))
}

// A grant that took long holds from when it was asked for, and the limit that it carries is
// adopted if it is newer, whatever this entry read before.
func TestGrantCarriesNewerLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	ls := &quota.Limits{}
	ls.Observe(target, now, quota.Reading{Limit: 2})
	ls.Claim(now, target, "r1", 0, 1)
	asks, _ := ls.Asks(now)
	ls.Granted(now.Add(quota.PermitTTL), asks[0], quota.Grant{Limit: 2, Counts: map[int]int{0: 1}})
	require.False(t, ls.Take(now.Add(quota.PermitTTL), target, 0), "too late to be used")

	now = now.Add(time.Second)
	ls.Claim(now, target, "r1", 0, 1)
	asks, _ = ls.Asks(now)
	ls.Granted(now, asks[0], quota.Grant{Limit: 0, ReadAge: 2 * time.Second})
	require.Equal(t, quota.Limit(2), ls.Limit(target), "an older end of the limit")
	now = now.Add(time.Second)
	ls.Claim(now, target, "r1", 0, 1)
	asks, _ = ls.Asks(now)
	ls.Granted(now, asks[0], quota.Grant{Limit: 0, ReadAge: time.Second})
	require.Zero(t, ls.Limit(target))
	require.True(t, ls.Take(now, target, 0))
}

package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/limit"
)

// A workspace that fills a service neither keeps the others out while capacity is short nor
// is refused while there is enough.
func TestFairShare(t *testing.T) {
	var fs limit.FairShare
	now := time.Unix(1000, 0)
	for range 20 {
		require.True(t, fs.Begin(now, "greedy"), "no target refuses")
	}
	fs.Refused(now)
	require.True(t, fs.Begin(now, "greedy"), "it is the only one")
	fs.End("greedy")
	require.True(t, fs.Begin(now, "small"), "below its share")
	fs.Refused(now) // a capacity of 21, 2 of it are for others
	require.False(t, fs.Begin(now, "greedy"))
	fs.End("greedy")
	require.False(t, fs.Begin(now, "greedy"), "the reserve is not free")
	fs.End("greedy")
	fs.End("greedy")
	require.True(t, fs.Begin(now, "greedy"), "it may use what the others do not")
	require.False(t, fs.Begin(now, "greedy"))
	for range 9 {
		require.True(t, fs.Begin(now, "small"))
	}
	later := now.Add(limit.ShortageWindow + time.Millisecond)
	require.False(t, fs.Begin(later.Add(-time.Millisecond), "greedy"))
	require.True(t, fs.Begin(later, "greedy"), "no target refused within the window")
}

// A workspace whose requests are refused at once is active although none is in flight.
func TestFairShareRefusedWorkspace(t *testing.T) {
	var fs limit.FairShare
	now := time.Unix(1000, 0)
	for range 6 {
		require.True(t, fs.Begin(now, "greedy"))
	}
	require.True(t, fs.Begin(now, "small"))
	fs.End("small")
	fs.Refused(now)
	require.False(t, fs.Begin(now.Add(limit.ShortageWindow), "greedy"))
	fs.Refused(now.Add(2 * limit.ShortageWindow))
	require.True(t, fs.Begin(now.Add(2*limit.ShortageWindow), "greedy"), "the small one has stopped asking")
}

package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/poison"
)

var start = time.Unix(1000, 0)

func newList() *poison.List { return &poison.List{TTL: time.Minute, Max: 100} }

func TestPoisonRequestCostsTwoTargets(t *testing.T) {
	li := newList()
	li.RecordDeath(start, []uint64{1, 2, 3}, false)
	for _, di := range []uint64{1, 2, 3} {
		require.Equal(t, poison.Suspect, li.Lookup(start, di))
	}
	li.RecordSuccess(start, 2)
	require.Equal(t, poison.Cleared, li.Lookup(start, 2))
	li.RecordDeath(start, []uint64{1}, true)
	require.Equal(t, poison.Condemned, li.Lookup(start, 1))
	require.Empty(t, li.Lookup(start, 4))
}

// Requests that share targets with a crashing one are never condemned, however many
// targets die.
func TestConcurrentRequestsAreNotCondemned(t *testing.T) {
	li := newList()
	for range 20 {
		li.RecordDeath(start, []uint64{1, 2}, false)
	}
	require.Equal(t, poison.Suspect, li.Lookup(start, 2))
	li.RecordDeath(start, []uint64{1, 2}, true)
	require.Equal(t, poison.Suspect, li.Lookup(start, 2), "two ran there, so neither ran alone")
}

func TestExpiry(t *testing.T) {
	li := newList()
	li.RecordDeath(start, []uint64{1}, true)
	require.Equal(t, poison.Condemned, li.Lookup(start.Add(time.Minute), 1))
	require.Empty(t, li.Lookup(start.Add(time.Minute+1), 1))
	require.Empty(t, li.Reports(start.Add(time.Hour), 10))
}

func TestMergeOrder(t *testing.T) {
	until := start.Add(time.Minute)
	for _, tc := range []struct{ own, theirs, merged poison.State }{
		{poison.Suspect, poison.Condemned, poison.Condemned},
		{poison.Condemned, poison.Cleared, poison.Condemned},
		{poison.Suspect, poison.Cleared, poison.Cleared},
		{poison.Cleared, poison.Suspect, poison.Cleared},
	} {
		li := newList()
		li.Merge(start, []poison.Report{{Digest: 1, State: tc.own, Expires: until}})
		li.Merge(start, []poison.Report{{Digest: 1, State: tc.theirs, Expires: until}})
		require.Equal(t, tc.merged, li.Lookup(start, 1))
	}
	li := newList()
	require.Zero(t, li.Merge(start, []poison.Report{{Digest: 1, State: "nonsense", Expires: until}, {Digest: 2, State: poison.Suspect, Expires: start.Add(-1)}}))
}

// A target that dies with a cleared request makes it a suspect again. An older report of
// another list, which still has it as cleared, must not undo that, in either order.
func TestNewerSuspicionCounts(t *testing.T) {
	cleared := poison.Report{Digest: 1, State: poison.Cleared, Expires: start.Add(time.Minute)}
	suspect := poison.Report{Digest: 1, State: poison.Suspect, Expires: start.Add(time.Minute + time.Second)}
	for _, reports := range [][]poison.Report{{cleared, suspect}, {suspect, cleared}} {
		li := newList()
		for _, re := range reports {
			li.Merge(start, []poison.Report{re})
		}
		require.Equal(t, poison.Suspect, li.Lookup(start, 1))
	}
	cleared.Expires = start.Add(time.Minute + 2*time.Second)
	li := newList()
	li.Merge(start, []poison.Report{suspect})
	li.Merge(start, []poison.Report{cleared})
	require.Equal(t, poison.Cleared, li.Lookup(start, 1), "it ran alone later and was answered")
}

// A full list drops the states that expire first.
func TestBound(t *testing.T) {
	li := &poison.List{TTL: time.Minute, Max: 3}
	for di := range uint64(10) {
		li.RecordDeath(start.Add(time.Duration(di)*time.Second), []uint64{di}, false)
	}
	reports := li.Reports(start.Add(10*time.Second), 10)
	require.Len(t, reports, 3)
	require.Equal(t, uint64(9), reports[0].Digest)
}

func ExampleList() {
	li := poison.List{TTL: time.Minute}
	now := time.Unix(0, 0)
	li.RecordDeath(now, []uint64{7, 8}, false)
	fmt.Println(li.Lookup(now, 7))
	li.RecordDeath(now, []uint64{7}, true)
	fmt.Println(li.Lookup(now, 7))
	// Output:
	// suspect
	// condemned
}

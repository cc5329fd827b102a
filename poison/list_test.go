package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/poison"
)

var start = time.Unix(1000, 0)

func list() *poison.List { return &poison.List{Lapse: time.Minute, Most: 100} }

func TestGuiltyCostsTwoTargets(t *testing.T) {
	li := list()
	li.Death(start, []uint64{1, 2, 3}, false)
	for _, di := range []uint64{1, 2, 3} {
		require.Equal(t, poison.Suspect, li.Judge(start, di))
	}
	li.Survived(start, 2)
	require.Equal(t, poison.Cleared, li.Judge(start, 2))
	li.Death(start, []uint64{1}, true)
	require.Equal(t, poison.Condemned, li.Judge(start, 1))
	require.Empty(t, li.Judge(start, 4))
}

// Neighbours are never condemned, however often they are near a death.
func TestInnocentsAreNotCondemned(t *testing.T) {
	li := list()
	for range 20 {
		li.Death(start, []uint64{1, 2}, false)
	}
	require.Equal(t, poison.Suspect, li.Judge(start, 2))
	li.Death(start, []uint64{1, 2}, true)
	require.Equal(t, poison.Suspect, li.Judge(start, 2), "two were there, so neither was alone")
}

func TestLapse(t *testing.T) {
	li := list()
	li.Death(start, []uint64{1}, true)
	require.Equal(t, poison.Condemned, li.Judge(start.Add(time.Minute), 1))
	require.Empty(t, li.Judge(start.Add(time.Minute+1), 1))
	require.Empty(t, li.Reports(start.Add(time.Hour), 10))
}

func TestMergeOrder(t *testing.T) {
	until := start.Add(time.Minute)
	for _, tc := range []struct{ mine, theirs, merged poison.State }{
		{poison.Suspect, poison.Condemned, poison.Condemned},
		{poison.Condemned, poison.Cleared, poison.Condemned},
		{poison.Suspect, poison.Cleared, poison.Cleared},
		{poison.Cleared, poison.Suspect, poison.Cleared},
	} {
		li := list()
		li.Merge(start, []poison.Report{{Digest: 1, State: tc.mine, Until: until}})
		li.Merge(start, []poison.Report{{Digest: 1, State: tc.theirs, Until: until}})
		require.Equal(t, tc.merged, li.Judge(start, 1))
	}
	li := list()
	require.Zero(t, li.Merge(start, []poison.Report{{Digest: 1, State: "nonsense", Until: until}, {Digest: 2, State: poison.Suspect, Until: start.Add(-1)}}))
}

// The list is bounded; what lapses first goes first.
func TestBound(t *testing.T) {
	li := &poison.List{Lapse: time.Minute, Most: 3}
	for di := range uint64(10) {
		li.Death(start.Add(time.Duration(di)*time.Second), []uint64{di}, false)
	}
	reports := li.Reports(start.Add(10*time.Second), 10)
	require.Len(t, reports, 3)
	require.Equal(t, uint64(9), reports[0].Digest)
}

func ExampleList() {
	li := poison.List{Lapse: time.Minute}
	now := time.Unix(0, 0)
	li.Death(now, []uint64{7, 8}, false)
	fmt.Println(li.Judge(now, 7))
	li.Death(now, []uint64{7}, true)
	fmt.Println(li.Judge(now, 7))
	// Output:
	// suspect
	// condemned
}

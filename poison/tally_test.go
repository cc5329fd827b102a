package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/poison"
	"bilberryshelf/table"
)

// crash is a loss whose target is found dead.
func crash(ta *poison.Tally, digest uint64, target string, attempt uint64) []poison.Loss {
	ta.Lost(start, digest, target, attempt)
	return ta.Died(start, target)
}

func TestTallyCondemns(t *testing.T) {
	var ta poison.Tally
	crash(&ta, 1, "a", 1)
	crash(&ta, 1, "a", 2)
	crash(&ta, 1, "a", 3)
	require.False(t, ta.Condemned(start, 1), "one bad target does not soon condemn")
	crash(&ta, 2, "b", 4)
	require.False(t, ta.Condemned(start, 1), "the loss of another request")
	crash(&ta, 1, "b", 5)
	require.True(t, ta.Condemned(start, 1))
	require.False(t, ta.Condemned(start, 2))
	later := start.Add(poison.DefaultLapse)
	require.False(t, ta.Condemned(later, 1), "all have lapsed")
	require.Len(t, ta.Sweep(later), 5)
	require.Empty(t, ta.Sweep(later))
}

// Lost answers, resets and targets that are cut off condemn nobody.
func TestLossesWithoutDeath(t *testing.T) {
	var ta poison.Tally
	for at := range uint64(20) {
		target := string(rune('a' + at))
		ta.Lost(start, 1, target, at)
		switch at % 3 {
		case 0:
			ta.Lives(target)
			require.Empty(t, ta.Died(start, target), "it answered since")
		case 1:
			require.Empty(t, ta.Died(start.Add(poison.DeathWithin+1), target), "it died of something else")
		}
	}
	require.False(t, ta.Condemned(start, 1))
	require.Empty(t, ta.Sweep(start.Add(time.Hour)))
}

func TestTallyAtOneTarget(t *testing.T) {
	var ta poison.Tally
	for at := range uint64(poison.MostAtOne) {
		require.False(t, ta.Condemned(start, 1))
		crash(&ta, 1, "a", at)
	}
	require.True(t, ta.Condemned(start, 1), "there may be no other target")
}

// A request that comes at a different entry each time costs as many targets as
// one that comes at the same.
func TestTallyIsShared(t *testing.T) {
	var entries [3]poison.Tally
	for at, target := range []string{"a", "b", "c"} {
		lo := crash(&entries[at], 7, target, uint64(at))[0]
		pu, err := lo.Put()
		require.NoError(t, err)
		for other := range entries {
			read, err := poison.DecodeRow(table.Row{ID: pu.ID, Value: pu.Value})
			require.NoError(t, err)
			require.True(t, read.Until.Equal(lo.Until))
			entries[other].Take(read)
		}
	}
	for at := range entries {
		require.True(t, entries[at].Condemned(start, 7))
	}
}

func TestDecodeRow(t *testing.T) {
	for _, key := range []string{"", "7", "7/a", "xyz/1/a", "7/xyz/a", "7/1/a"} {
		_, err := poison.DecodeRow(table.Row{ID: table.ID{Key: key}, Value: []byte{0xff}})
		require.Error(t, err, key)
	}
}

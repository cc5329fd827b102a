package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/poison"
	"bilberryshelf/table"
)

// confirmedLoss is a loss whose target is found dead.
func confirmedLoss(ta *poison.Counter, digest uint64, target string, attempt uint64) []poison.Loss {
	ta.RecordLoss(start, digest, target, attempt)
	return ta.RecordDeath(start, target)
}

func TestCounterCondemns(t *testing.T) {
	var ta poison.Counter
	confirmedLoss(&ta, 1, "a", 1)
	confirmedLoss(&ta, 1, "a", 2)
	confirmedLoss(&ta, 1, "a", 3)
	require.False(t, ta.Condemned(start, 1), "one bad target does not soon condemn")
	confirmedLoss(&ta, 2, "b", 4)
	require.False(t, ta.Condemned(start, 1), "the loss of another request")
	confirmedLoss(&ta, 1, "b", 5)
	require.True(t, ta.Condemned(start, 1))
	require.False(t, ta.Condemned(start, 2))
	later := start.Add(poison.DefaultTTL)
	require.False(t, ta.Condemned(later, 1), "all have lapsed")
	require.Len(t, ta.Sweep(later), 5)
	require.Empty(t, ta.Sweep(later))
}

// Lost answers, resets and targets that are cut off condemn nobody.
func TestLossesWithoutDeath(t *testing.T) {
	var ta poison.Counter
	for at := range uint64(20) {
		target := string(rune('a' + at))
		ta.RecordLoss(start, 1, target, at)
		switch at % 3 {
		case 0:
			ta.RecordAlive(target)
			require.Empty(t, ta.RecordDeath(start, target), "it answered since")
		case 1:
			require.Empty(t, ta.RecordDeath(start.Add(poison.ConfirmWindow+1), target), "it died of something else")
		}
	}
	require.False(t, ta.Condemned(start, 1))
	require.Empty(t, ta.Sweep(start.Add(time.Hour)))
}

func TestCounterAtOneTarget(t *testing.T) {
	var ta poison.Counter
	for at := range uint64(poison.MaxDeathsAtOne) {
		require.False(t, ta.Condemned(start, 1))
		confirmedLoss(&ta, 1, "a", at)
	}
	require.True(t, ta.Condemned(start, 1), "there may be no other target")
}

// A request that comes at a different entry each time costs as many targets as
// one that comes at the same.
func TestCounterIsShared(t *testing.T) {
	var entries [3]poison.Counter
	for at, target := range []string{"a", "b", "c"} {
		lo := confirmedLoss(&entries[at], 7, target, uint64(at))[0]
		pu, err := lo.Put()
		require.NoError(t, err)
		for other := range entries {
			read, err := poison.DecodeRow(table.Row{ID: pu.ID, Value: pu.Value})
			require.NoError(t, err)
			require.True(t, read.Expires.Equal(lo.Expires))
			entries[other].Add(read)
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

package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/poison"
	"bilberryshelf/table"
)

func TestTallyCondemns(t *testing.T) {
	var ta poison.Tally
	ta.Lost(start, 1, "a", 1)
	ta.Lost(start, 1, "a", 2)
	ta.Lost(start, 1, "a", 3)
	require.False(t, ta.Condemned(start, 1), "one bad target does not soon condemn")
	ta.Lost(start, 2, "b", 4)
	require.False(t, ta.Condemned(start, 1), "the loss of another request")
	ta.Lost(start.Add(time.Second), 1, "b", 5)
	require.True(t, ta.Condemned(start, 1))
	require.False(t, ta.Condemned(start, 2))
	later := start.Add(poison.DefaultLapse)
	require.False(t, ta.Condemned(later, 1), "three losses have lapsed")
	require.Len(t, ta.Sweep(later), 4)
	require.Empty(t, ta.Sweep(later))
}

func TestTallyAtOneTarget(t *testing.T) {
	var ta poison.Tally
	for at := range uint64(poison.MostAtOne) {
		require.False(t, ta.Condemned(start, 1))
		ta.Lost(start, 1, "a", at)
	}
	require.True(t, ta.Condemned(start, 1), "there may be no other target")
}

// A request that comes at a different entry each time costs as many targets as
// one that comes at the same.
func TestTallyIsShared(t *testing.T) {
	var entries [3]poison.Tally
	for at, target := range []string{"a", "b", "c"} {
		lo := entries[at].Lost(start, 7, target, uint64(at))
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

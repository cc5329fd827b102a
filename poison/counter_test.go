package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/poison"
	"bilberryshelf/table"
)

// confirmedLoss records a loss whose target is found dead at once.
func confirmedLoss(co *poison.Counter, digest uint64, target string, attempt uint64) []poison.Loss {
	co.RecordLoss(start, digest, target, attempt)
	return co.RecordDeath(start, target)
}

func TestCounterCondemns(t *testing.T) {
	var co poison.Counter
	confirmedLoss(&co, 1, "a", 1)
	confirmedLoss(&co, 1, "a", 2)
	confirmedLoss(&co, 1, "a", 3)
	require.False(t, co.Condemned(start, 1), "one bad target is not enough to condemn")
	confirmedLoss(&co, 2, "b", 4)
	require.False(t, co.Condemned(start, 1), "the loss belongs to another request")
	confirmedLoss(&co, 1, "b", 5)
	require.True(t, co.Condemned(start, 1))
	require.False(t, co.Condemned(start, 2))
	later := start.Add(poison.DefaultTTL)
	require.False(t, co.Condemned(later, 1), "all have expired")
	require.Len(t, co.Sweep(later), 5)
	require.Empty(t, co.Sweep(later))
}

// Lost responses, connection resets and network partitions must not condemn a request.
func TestLossesWithoutDeath(t *testing.T) {
	var co poison.Counter
	for at := range uint64(20) {
		target := string(rune('a' + at))
		co.RecordLoss(start, 1, target, at)
		switch at % 3 {
		case 0:
			co.RecordAlive(target)
			require.Empty(t, co.RecordDeath(start, target), "it has answered since")
		case 1:
			require.Empty(t, co.RecordDeath(start.Add(poison.ConfirmWindow+1), target), "it died too long after the loss")
		}
	}
	require.False(t, co.Condemned(start, 1))
	require.Empty(t, co.Sweep(start.Add(time.Hour)))
}

func TestCounterAtOneTarget(t *testing.T) {
	var co poison.Counter
	for at := range uint64(poison.MaxDeathsAtOne) {
		require.False(t, co.Condemned(start, 1))
		confirmedLoss(&co, 1, "a", at)
	}
	require.True(t, co.Condemned(start, 1), "the service may have no other target")
}

// A request that is sent to a different entry each time crashes no more targets than
// one that is always sent to the same entry.
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

package limit_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/limit"
)

func TestByteBudget(t *testing.T) {
	sp := &limit.ByteBudget{Max: 100}
	require.True(t, sp.Acquire(0, 60))
	require.True(t, sp.Acquire(0, 40))
	require.False(t, sp.Acquire(0, 1), "it is full")
	sp.Release(40)
	require.True(t, sp.Acquire(60, 40), "a body that grows")
	require.True(t, sp.Acquire(100, 400), "one that is larger than the bound, alone")
	require.False(t, sp.Acquire(0, 1), "nothing beside it")
	sp.Release(500)
	require.Zero(t, sp.InUse())
	require.True(t, new(limit.ByteBudget).Acquire(0, 1<<40), "no bound")
}

// TestReplayLargeBodies sends bodies of 8 MiB in a burst to an instance of
// 112 MiB: what is kept stays within an eighth of its memory.
func TestReplayLargeBodies(t *testing.T) {
	const memory, body = 112 << 20, 8 << 20
	sp := &limit.ByteBudget{Max: memory / 8}
	served, most := 0, int64(0)
	for range 20 {
		if sp.Acquire(0, body) {
			served++
		}
		most = max(most, sp.InUse())
	}
	require.LessOrEqual(t, most, int64(memory/8))
	require.Equal(t, 1, served, "the others are refused at once")
}

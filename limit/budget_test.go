package limit_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/limit"
)

func TestByteBudget(t *testing.T) {
	bb := &limit.ByteBudget{Max: 100}
	require.True(t, bb.Acquire(0, 60))
	require.True(t, bb.Acquire(0, 40))
	require.False(t, bb.Acquire(0, 1), "the budget is full")
	bb.Release(40)
	require.True(t, bb.Acquire(60, 40), "a body that grows")
	require.True(t, bb.Acquire(100, 400), "a body that is larger than the limit, alone")
	require.False(t, bb.Acquire(0, 1), "nothing fits beside it")
	bb.Release(500)
	require.Zero(t, bb.InUse())
	require.True(t, new(limit.ByteBudget).Acquire(0, 1<<40), "no limit")
}

// TestReplayLargeBodies replays a burst of bodies of 8 MiB at an instance with 112 MiB.
// The buffered bytes must stay within an eighth of its memory.
func TestReplayLargeBodies(t *testing.T) {
	const memory, body = 112 << 20, 8 << 20
	bb := &limit.ByteBudget{Max: memory / 8}
	served, most := 0, int64(0)
	for range 20 {
		if bb.Acquire(0, body) {
			served++
		}
		most = max(most, bb.InUse())
	}
	require.LessOrEqual(t, most, int64(memory/8))
	require.Equal(t, 1, served, "the others are refused at once")
}

package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request must count once however often it is reported, and a window that was dropped must
// not be counted again: its row would get a lower count than before.
func TestCounter(t *testing.T) {
	var co Counter
	require.True(t, co.Count(7, "a", "r1"))
	require.False(t, co.Count(8, "a", "r1"), "the same request")
	require.True(t, co.Count(7, "b", "r1"), "the same id of another workspace")
	changed := co.Changed()
	require.Equal(t, map[uint64]Counts{7: {"a": 1, "b": 1}}, changed)
	require.True(t, co.Count(7, "a", "r2"), "while the counts are stored")
	co.Written(changed)
	require.Equal(t, map[uint64]Counts{7: {"a": 2, "b": 1}}, co.Changed(), "counts are absolute")
	co.Sweep(8)
	require.Len(t, co.Changed(), 1, "counts that are not stored are kept")
	co.Written(co.Changed())
	co.Sweep(8)
	require.Empty(t, co.Changed())
	require.False(t, co.Count(7, "a", "r3"))
}

// instance is an instance whose wall and monotonic clocks are wrong in some way.
type instance struct {
	wall, stopped time.Duration
}

// at returns the local time, without the monotonic part: the tests' wall clock is both.
func (in instance) at(actual time.Duration) time.Time {
	return time.Unix(0, int64(actual+in.wall-in.stopped))
}

// A wrong wall clock, a suspension and a slow or held up answer must not move the true time
// by more than the round trip of a call.
func TestTruth(t *testing.T) {
	const origin, near = 1000 * time.Second, 30 * time.Millisecond
	in := instance{wall: 4 * time.Second}
	var tr Truth
	reading := func(sent, answered, received time.Duration, before instance) {
		tr.Observe(before.at(sent), in.at(received), answered-origin)
	}
	require.Equal(t, 2004*time.Second, tr.At(in.at(2000*time.Second)), "without readings the wall clock is used")
	reading(2000*time.Second, 2000*time.Second+10*time.Millisecond, 2000*time.Second+20*time.Millisecond, in)
	offset, ok := tr.Offset(in.at(2000 * time.Second))
	require.True(t, ok)
	require.InDelta(t, float64(origin+in.wall), float64(offset), float64(near))
	tr.SetOffsets([]time.Duration{offset})
	require.Equal(t, 2004*time.Second, tr.At(in.at(2000*time.Second)), "one entry has no one to compare with")
	tr.SetOffsets([]time.Duration{offset, origin, origin + time.Millisecond})
	check := func(actual time.Duration, text string) {
		t.Helper()
		require.InDelta(t, float64(actual), float64(tr.At(in.at(actual))), float64(near), text)
	}
	check(2000*time.Second, "the median ignores one wrong wall clock")
	reading(2001*time.Second, 2002*time.Second, 2002*time.Second, in)
	check(2002*time.Second, "a watch bounds the clock loosely and must not replace a better reading")
	before := in
	in.stopped = 20 * time.Second
	reading(2002*time.Second, 2003*time.Second, 2023*time.Second, before)
	reading(2024*time.Second, 2024*time.Second+10*time.Millisecond, 2024*time.Second+20*time.Millisecond, in)
	check(2024*time.Second, "the first answer after a suspension corrects the time")
	reading(2024*time.Second, 2003*time.Second, 2024*time.Second+30*time.Millisecond, in)
	check(2025*time.Second, "an answer from before the suspension that is read late is ignored")
	for range maxOutdated {
		reading(2025*time.Second, 1025*time.Second, 2025*time.Second+time.Millisecond, in)
	}
	restarted := tr.At(in.at(2025 * time.Second)) // wrong until the entries announce new offsets
	require.InDelta(t, float64(1025*time.Second), float64(restarted), float64(near), "the platform's clock restarted")
}

// A window must not be fixed before the entries had time to store their counts, and one that
// ended before the duty began is owed if an entry counted in it.
func TestDue(t *testing.T) {
	const length, settle = 5 * time.Second, 3 * time.Second
	require.Empty(t, Due(10, 57999*time.Millisecond, settle, length))
	require.Equal(t, []uint64{10}, Due(10, 58*time.Second, settle, length))
	require.Equal(t, []uint64{8, 9, 10}, Due(8, 62*time.Second, settle, length))
	require.Len(t, Due(0, time.Hour, settle, length), maxDue)
	require.EqualValues(t, 9, First(map[uint64]Sum{9: {}, 12: {}}, 11))
	require.EqualValues(t, 11, First(nil, 11))
	require.EqualValues(t, 353445120, WindowAt(353445120*length, length))
}

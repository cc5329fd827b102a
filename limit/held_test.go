package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/limit"
)

// Stalled readers that fill the memory are cut off for others, the longest stalled first;
// steady ones are not, and all bytes are returned.
func TestStalledReadersAreCut(t *testing.T) {
	hb := &limit.HeldBytes{}
	hb.Max = 100
	var cut []string
	hold := func(name string, at time.Duration) *limit.Holder {
		return hb.Hold(time.Time{}.Add(at), 40, func() { cut = append(cut, name) })
	}
	steady, early, late := hold("steady", 0), hold("early", 100*time.Millisecond), hold("late", 0)
	require.False(t, hb.Reserve(time.Time{}.Add(limit.MinStall-1), 0, 10), "none is stalled yet; what was read counts beyond the limit")
	now := time.Time{}.Add(limit.MinStall + 200*time.Millisecond)
	steady.Progress(now)
	late.Progress(time.Time{}.Add(200 * time.Millisecond))
	require.True(t, hb.Reserve(now, 0, 10))
	require.Equal(t, []string{"early"}, cut)
	require.False(t, early.Grow(now, 1), "nothing more for a reader that was cut off")
	require.True(t, steady.Grow(now, 40))
	require.Equal(t, []string{"early", "late"}, cut)
	require.False(t, hb.Reserve(now, 0, 11), "a steady reader is not cut off")
	for _, ho := range []*limit.Holder{steady, early, late, steady} {
		ho.End()
		ho.Shrink(5)
	}
	hb.Release(10)
	require.Zero(t, hb.InUse())
}

// A backlog that loses, repeats or mixes bytes, or takes more memory than it counts, fails
// here.
func TestBacklog(t *testing.T) {
	grown, freed := int64(0), int64(0)
	ba := limit.Backlog{
		Max: 64 << 10, Grow: func(bytes int64) bool { grown += bytes; return true }, Shrink: func(bytes int64) { freed += bytes },
	}
	var put, got []byte
	buf := make([]byte, 3000)
	for size := 1; size < 5000; size += 7 {
		raw := make([]byte, size)
		for at := range raw {
			raw[at] = byte(len(put) + at)
		}
		put = append(put, raw...)
		require.True(t, ba.Add(raw))
		for range 2 {
			got = append(got, buf[:ba.Take(buf)]...)
		}
	}
	for count := ba.Take(buf); count > 0; count = ba.Take(buf) {
		got = append(got, buf[:count]...)
	}
	require.Equal(t, put, got)
	require.True(t, ba.Add(make([]byte, 64<<10)))
	require.LessOrEqual(t, grown-freed, ba.Max)
	require.False(t, ba.Add([]byte{1}))
	ba.Clear()
	require.Equal(t, grown, freed)
}

// A holder that is kept is not cut off any more, and one that was cut off before is not kept.
func TestKeptHolder(t *testing.T) {
	hb := &limit.HeldBytes{}
	hb.Max = 100
	cut := 0
	kept := hb.Hold(time.Time{}, 60, func() { cut++ })
	require.True(t, kept.Keep())
	late := time.Time{}.Add(2 * limit.MinStall)
	require.False(t, hb.Reserve(late, 0, 60))
	kept.End()
	stalled := hb.Hold(time.Time{}, 60, func() { cut++ })
	require.True(t, hb.Reserve(late, 0, 60))
	require.False(t, stalled.Keep())
	require.Equal(t, 1, cut)
}

// Guards against a source without end that makes others fail: the holder that holds most yields,
// and its bytes count until they are returned.
func TestLargestYields(t *testing.T) {
	hb := &limit.HeldBytes{}
	hb.Max = 100
	var yielded []string
	hold := func(name string, bytes int64) *limit.Holder {
		return hb.Hold(time.Time{}, bytes, func() { yielded = append(yielded, name) })
	}
	small, large, fixed := hold("small", 10), hold("large", 40), hb.Hold(time.Time{}, 45, nil)
	require.Equal(t, limit.Granted, small.Request(5))
	require.Equal(t, limit.Pending, small.Request(5))
	require.Equal(t, []string{"large"}, yielded)
	require.Equal(t, limit.Pending, small.Request(5), "one yields at a time")
	require.Equal(t, limit.Refused, large.Request(1))
	require.False(t, large.Keep())
	require.Len(t, yielded, 1)
	large.End()
	require.Equal(t, limit.Granted, small.Request(40), "the largest one has no other to yield")
	require.Equal(t, limit.Refused, small.Request(1), "one that cannot yield is not asked")
	require.Equal(t, limit.Refused, small.Request(0), "it yields itself")
	small.End()
	fixed.End()
	require.Zero(t, hb.InUse())
}

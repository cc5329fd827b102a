package calls

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
)

// answered has a target answer requests in a row with a latency and a slowdown.
func answered(ba *Balancer, now time.Time, id string, took time.Duration, slowdown int) {
	for range 20 {
		ba.begin(id)
		ba.end(now, id, outcome{took: took, response: Response{Slots: 6, Slowdown: slowdown}}, false)
	}
}

// Guards against a target on a shared host that gets no call while the others have queues,
// since its mean latency is high.
func TestSlowTargetOnSharedHost(t *testing.T) {
	now := time.Unix(1000, 0)
	for slowdown, want := range map[int]int{0: degraded, 100: sameRegion} {
		ba := &Balancer{}
		ta := fleet.Target{ID: "t0", Service: "lm", Slots: 6, Distance: fleet.SameRegion}
		ba.Update(now, []fleet.Target{ta})
		answered(ba, now, "t0", 300*time.Millisecond, slowdown)
		require.Equal(t, want, ba.class(now.Add(keepAlive), ta, 50*time.Millisecond), "slowdown %d", slowdown)
	}
}

// Guards against a slowdown that counts after its time, one that counts twice since the
// mean was measured at it, a slow target that is never used, and any effect without
// reported slowdowns.
func TestBetter(t *testing.T) {
	now := time.Unix(1000, 0)
	t0, t1 := fleet.Target{ID: "t0", Service: "lm", Slots: 6, Distance: fleet.SameRegion}, fleet.Target{ID: "t1", Service: "lm", Slots: 6, Distance: fleet.SameRegion}
	for _, tc := range []struct {
		name              string
		took0             time.Duration
		slowdown0         int
		age               time.Duration
		inFlight0, flight int
		want              string
	}{
		{"slow now", 30 * time.Millisecond, 250, 0, 0, 3, "t1"},
		{"slow for longer than a slow period lasts", 30 * time.Millisecond, 250, 700 * time.Millisecond, 0, 3, "t0"},
		{"as slow as when its mean was measured", 75 * time.Millisecond, 250, 0, 0, 12, "t0"},
		{"slow, but the other has a long queue", 75 * time.Millisecond, 250, 0, 0, 18, "t0"},
		{"the other is not measured on a shared host", 30 * time.Millisecond, 0, 0, 3, 0, "t1"},
		{"no slowdowns, less loaded", 75 * time.Millisecond, 0, 0, 0, 3, "t0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ba := &Balancer{}
			ba.Update(now, []fleet.Target{t0, t1})
			answered(ba, now, "t0", 30*time.Millisecond, min(tc.slowdown0, usualSlowdown))
			answered(ba, now, "t1", 30*time.Millisecond, min(tc.slowdown0, usualSlowdown))
			if tc.slowdown0 > 0 {
				ba.stats["t0"].slowdowns.newest = tc.slowdown0
				ba.stats["t0"].slowdowns.mean = 100 * float64(tc.took0) / float64(30*time.Millisecond)
				ba.stats["t0"].slowdowns.latency = tc.took0
			}
			ba.stats["t0"].inFlight, ba.stats["t1"].inFlight = tc.inFlight0, tc.flight
			require.Equal(t, tc.want, ba.better(now.Add(tc.age), t0, t1).ID)
			if tc.slowdown0 == 0 {
				require.Equal(t, slowdowns{}, ba.stats["t0"].slowdowns)
				require.InDelta(t, ba.load(t0), ba.slowedLoad(now, t0), 0)
			}
		})
	}
}

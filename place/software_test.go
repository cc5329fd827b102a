package place_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/place"
)

// Two software versions serve side by side: a text goes on at its own version, waits for it
// while it is full, and begins anew only if that version is gone or takes nothing.
func TestTextMovesToOtherSoftware(t *testing.T) {
	two := func(change func(es []place.Engine)) *place.Snapshot {
		es := engines(4)
		es[0].Software, es[1].Software, es[2].Software, es[3].Software = "v1", "v1", "v2", "v2"
		change(es)
		return place.NewSnapshot(es)
	}
	full := func(es []place.Engine) { es[0].Running, es[1].Running = 12, 12 }
	slow := func(es []place.Engine) { es[0].Pace, es[1].Running = 3*pace, 12 }
	gone := func(es []place.Engine) { es[0].Software, es[1].Software = "v2", "v2" }
	resting := func(es []place.Engine) { es[0].BackingOff, es[1].Pace = true, 3*pace }
	for _, tc := range []struct {
		name   string
		change func(es []place.Engine)
		item   place.Item
		want   []int
		anew   bool
	}{
		{"no events yet", full, place.Item{}, []int{2, 3}, false},
		{"at its own version", func([]place.Engine) {}, place.Item{Software: "v1"}, []int{0, 1}, false},
		{"waits for its version", full, place.Item{Software: "v1", Waited: time.Second / 2}, []int{-1}, false},
		{"waits for the fast engine of its version", slow, place.Item{Software: "v1"}, []int{-1}, false},
		{"on a slow engine of its version", resting, place.Item{Software: "v1"}, []int{1}, false},
		{"has waited long", full, place.Item{Software: "v1", Waited: time.Second}, []int{-1}, true},
		{"its version is gone", gone, place.Item{Software: "v1"}, []int{-1}, true},
		{"a run on an emptied engine stays", full, place.Item{Software: "v1", Waited: time.Minute, MoveReason: place.Emptied}, []int{-1}, false},
		{"a stalled run whose version is gone", gone, place.Item{Software: "v1", MoveReason: place.Stalled, Waited: time.Second / 2, Avoid: "E"}, []int{-1}, true},
		{"a stalled run of a version that is full", full, place.Item{Software: "v1", MoveReason: place.Stalled, Waited: time.Second / 2, Avoid: "A"}, []int{-1}, false},
		{"a run that stalled long", full, place.Item{Software: "v1", MoveReason: place.Stalled, Waited: time.Second, Avoid: "A"}, []int{-1}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sn := two(tc.change)
			require.Contains(t, tc.want, sn.Choose(tc.item))
			require.Equal(t, tc.anew, sn.BeginsAnew(tc.item))
		})
	}
}

package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
	"bilberryshelf/place"
)

func TestChoose(t *testing.T) {
	with := func(change func(es []place.Engine)) []place.Engine {
		es := engines(4)
		change(es)
		return es
	}
	for _, tc := range []struct {
		name    string
		engines []place.Engine
		item    place.Item
		want    int
	}{
		{"the least loaded", with(func(es []place.Engine) { es[0].Running, es[1].Running, es[2].Running = 3, 2, 4 }), place.Item{}, 3},
		{"the one that read the prompt", with(func(es []place.Engine) { es[2].Running, es[2].Groups = 2, map[string]int{"g": 1} }), place.Item{Group: "g"}, 2},
		{"one that read the prompt has a much higher load", with(func(es []place.Engine) { es[2].Running, es[2].Groups = 9, map[string]int{"g": 1} }), place.Item{Group: "g"}, 0},
		{"the least loaded, though it has more runs", with(func(es []place.Engine) {
			es[0].Load, es[1].Load, es[2].Load = 9, 9, 9
			es[3].Running = 4
		}), place.Item{}, 3},
		{"not the slow one", with(func(es []place.Engine) {
			es[0].Pace = 3 * pace
			es[1].Running, es[2].Running, es[3].Running = 5, 5, 4
		}), place.Item{}, 3},
		{"no slow one while a fast one is full", with(func(es []place.Engine) {
			es[0].Pace = 3 * pace
			es[1].Running, es[2].Running, es[3].Running = 12, 12, 12
		}), place.Item{}, -1},
		{"a slow one serves when no other can", with(func(es []place.Engine) {
			es[0].Pace = 3 * pace
			es[1].BackingOff, es[2].Version, es[3].Loading = true, 0, true
		}), place.Item{MinVersion: 1}, 0},
		{"no older weights", with(func(es []place.Engine) { es[3].Version = 2 }), place.Item{MinVersion: 2}, 3},
		{"not the one that the item left", with(func(es []place.Engine) { es[1].Running, es[2].Running, es[3].Running = 2, 1, 3 }), place.Item{Avoid: "A"}, 2},
		{"one probe at a time", with(func(es []place.Engine) {
			es[0].Probing, es[0].NotStarted = true, 1
			es[1].Running, es[2].Running, es[3].Running = 2, 1, 3
		}), place.Item{}, 2},
		{"none that is emptied", with(func(es []place.Engine) {
			es[0].Emptying = true
			es[1].Running, es[2].Running, es[3].Running = 2, 1, 3
		}), place.Item{}, 2},
		{"in the region, though another region has a lower load", with(func(es []place.Engine) {
			es[0].Distance, es[1].Distance, es[2].Distance = fleet.OtherRegion, fleet.OtherRegion, fleet.OtherRegion
			es[3].Distance, es[3].Running = fleet.SameRegion, 5
		}), place.Item{}, 3},
		{"in another region when this one has a much higher load", with(func(es []place.Engine) {
			es[0].Distance, es[1].Distance, es[2].Distance = fleet.SameRegion, fleet.SameRegion, fleet.OtherRegion
			es[0].Running, es[1].Running, es[3].Running = 9, 9, 9
		}), place.Item{}, 2},
		{"in the failure domain among equals", with(func(es []place.Engine) {
			es[0].Distance, es[1].Distance, es[3].Distance = fleet.SameRegion, fleet.SameRegion, fleet.SameRegion
		}), place.Item{}, 2},
		{"none of another model, though it has a lower load", with(func(es []place.Engine) {
			es[0].OtherModel, es[1].OtherModel, es[2].OtherModel = true, true, true
			es[3].Running = 5
		}), place.Item{}, 3},
		{"none of another model while the own model's engine is full", with(func(es []place.Engine) {
			es[0].OtherModel, es[1].OtherModel, es[2].OtherModel = true, true, true
			es[3].Running = 12
		}), place.Item{}, -1},
		{"another model's when none of the own model serves the step", with(func(es []place.Engine) {
			es[0].OtherModel, es[1].OtherModel, es[2].OtherModel = true, true, true
			es[0].Version, es[1].Version, es[2].Version = 2, 2, 2
			es[1].Running, es[2].Running = 1, 1
		}), place.Item{MinVersion: 2}, 0},
		{"no move to a slow one", with(func(es []place.Engine) {
			es[0].Pace = 3 * pace
			es[1].BackingOff, es[2].Version, es[3].Loading = true, 0, true
		}), place.Item{MinVersion: 1, Avoid: "B", MoveReason: place.Slow}, -1},
		{"no stale one, so that it can load", with(func(es []place.Engine) {
			es[0].Stale = true
			es[1].Running, es[2].Running, es[3].Running = 3, 2, 4
		}), place.Item{}, 2},
		{"none while only a stale one has a free slot", with(func(es []place.Engine) {
			es[0].Stale = true
			es[1].Running, es[2].Running, es[3].Running = 12, 12, 12
		}), place.Item{}, -1},
		{"a stale one when all are", with(func(es []place.Engine) {
			for at := range es {
				es[at].Stale, es[at].Running = true, 4-at
			}
		}), place.Item{}, 3},
		{"a long item on a quick engine, whatever the load", with(func(es []place.Engine) {
			es[0].Pace, es[1].Pace = 5*pace/4, 5*pace/4
			es[2].Running, es[3].Running = 7, 6
		}), place.Item{RemainingEvents: 100}, 3},
		{"a long item on one with the newest weights", with(func(es []place.Engine) { es[2].Version, es[2].Running = 2, 7 }), place.Item{RemainingEvents: 100}, 2},
		{"a long item in the region, though another has newer weights", with(func(es []place.Engine) {
			es[2].Version, es[2].Distance, es[0].Running, es[1].Running, es[3].Running = 2, fleet.OtherRegion, 3, 4, 2
		}), place.Item{RemainingEvents: 100}, 3},
		{"a short item by load", with(func(es []place.Engine) { es[2].Version, es[2].Running = 2, 7 }), place.Item{RemainingEvents: 10}, 0},
		{"a long item on a quick engine, though most are slower", with(func(es []place.Engine) {
			es[0].Pace, es[1].Pace, es[2].Pace = 5*pace/4, 5*pace/4, 5*pace/4
			es[3].Running = 7
		}), place.Item{RemainingEvents: 100}, 3},
		{"a short item that moves, to a quick engine", with(func(es []place.Engine) {
			es[0].Pace, es[1].Pace = 5*pace/4, 5*pace/4
			es[2].Running, es[3].Running = 7, 6
		}), place.Item{RemainingEvents: 10, MoveReason: place.Slow, Avoid: "A"}, 3},
		{"not emptied to a slower engine", with(func(es []place.Engine) {
			es[1].Pace = 5 * pace / 4
			es[2].Running, es[3].Running = 12, 12
		}), place.Item{RemainingEvents: 100, MoveReason: place.Emptied, Avoid: "A"}, -1},
		{"emptied from a slower engine to another", with(func(es []place.Engine) {
			es[0].Pace, es[1].Pace = 5*pace/4, 5*pace/4
			es[2].Running, es[3].Running = 12, 12
		}), place.Item{RemainingEvents: 100, MoveReason: place.Emptied, Avoid: "A"}, 1},
		{"a long item on a quick engine rather than on one with memory", with(func(es []place.Engine) {
			for at := range es {
				es[at].Memory, es[at].Held = 50_000, 40_000
			}
			es[0].Held, es[0].Pace, es[1].Running, es[3].Running = 0, 5*pace/4, 2, 2
		}), place.Item{RemainingEvents: 100, Tokens: 12_000}, 2},
		{"one whose memory holds it to its end", with(func(es []place.Engine) {
			for at := range es {
				es[at].Memory, es[at].Held = 50_000, 40_000
			}
			es[2].Held, es[2].Running = 30_000, 9
		}), place.Item{Tokens: 12_000}, 2},
		{"the least loaded when none has the memory", with(func(es []place.Engine) {
			for at := range es {
				es[at].Memory, es[at].Held, es[at].Running = 50_000, 45_000, 4-at
			}
		}), place.Item{Tokens: 12_000}, 3},
		{"no engine", nil, place.Item{}, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for at := range tc.engines {
				tc.engines[at].Load += float64(tc.engines[at].Running)
			}
			require.Equal(t, tc.want, place.NewSnapshot(tc.engines).Choose(tc.item))
		})
	}
}

func TestSortItems(t *testing.T) {
	queue := []place.Item{{Index: 0, RemainingEvents: 5}, {Index: 1, RemainingEvents: 90}, {Index: 2, RemainingEvents: 1, Required: true}, {Index: 3, RemainingEvents: 90, Group: "a"}}
	place.SortItems(queue)
	var order []int
	for _, it := range queue {
		order = append(order, it.Index)
	}
	require.Equal(t, []int{2, 1, 3, 0}, order)
}

func TestMoveReason(t *testing.T) {
	es := engines(3)
	moveReason := func(ru place.Run) place.Reason { return place.NewSnapshot(es).MoveReason(ru) }
	run := place.Run{Engine: "A", Started: true}
	require.Empty(t, moveReason(run))
	run.SinceLastEvent = place.StallTimeout + time.Millisecond
	require.Equal(t, place.Stalled, moveReason(run))
	run.Started = false
	require.Empty(t, moveReason(run), "the timeout is longer before the first event")
	run.SinceLastEvent, run.Started = 0, true
	es[0].Emptying = true
	run.RemainingEvents = int(place.EmptyPatience / pace)
	require.Empty(t, moveReason(run), "it ends soon")
	es[0].EmptyingFor = pace
	require.Equal(t, place.Emptied, moveReason(run))
	moves := place.Item{MinVersion: 1, Avoid: "A", MoveReason: place.Emptied}
	require.Equal(t, 1, place.NewSnapshot(es).Choose(moves))
	es[1].Running, es[2].Running = 12, 12
	require.Equal(t, -1, place.NewSnapshot(es).Choose(moves), "no engine elsewhere has a free slot")
	es[0].Emptying, es[0].Loading = false, true
	require.Equal(t, place.Loading, moveReason(run))
	es[0].Loading, es[0].Pace = false, 2*pace
	run.RemainingEvents = int(place.MinMoveGain / pace)
	require.Equal(t, place.Slow, moveReason(run))
	run.RemainingEvents--
	require.Empty(t, moveReason(run), "a move costs as much as it gains")
	run.RemainingEvents, run.Slack = 100, 600*pace
	require.Empty(t, moveReason(run), "it ends in time where it is")
	run.Slack -= 3
	require.Equal(t, place.Slow, moveReason(run))
}

// An idle slow engine is probed with the shortest waiting item.
func TestProbe(t *testing.T) {
	es := engines(3)
	queue := make([]place.Item, 4)
	probe := func() bool { _, _, ok := place.NewSnapshot(es).Probe(queue); return ok }
	require.False(t, probe(), "no engine is slow")
	es[1].Pace = 3 * pace
	require.False(t, probe(), "the measured pace is recent")
	es[1].PaceStale = true
	engine, item, ok := place.NewSnapshot(es).Probe(queue)
	require.True(t, ok)
	require.Equal(t, 1, engine)
	require.Equal(t, 3, item)
	es[1].Running = 1
	require.False(t, probe(), "a probe is running")
	es[1].Running = 0
	queue = queue[:3]
	require.False(t, probe(), "the step may wait for any of a few items")
}

// Only MaxConcurrentLoads engines are emptied at once, and only while the others
// have free slots for their runs.
func TestChooseForLoad(t *testing.T) {
	es := engines(8)
	for at := range es {
		es[at].Model, es[at].Running, es[at].Load = "m", at, float64(at)
	}
	require.Equal(t, []int{0, 1}, place.ChooseForLoad(es, "m", 1, 2))
	require.Empty(t, place.ChooseForLoad(es, "m", 1, 1), "none is outdated")
	require.Empty(t, place.ChooseForLoad(es, "n", 1, 2), "the engines serve another model")
	require.Empty(t, place.ChooseForLoad(es, "m", 2, 2), "no engine serves the step")
	es[5].Loading = true
	require.Equal(t, []int{0}, place.ChooseForLoad(es, "m", 1, 2))
	es[6].Emptying = true
	require.Empty(t, place.ChooseForLoad(es, "m", 1, 2))
	es[5].LoadingFor = place.NextLoadDelay
	require.Equal(t, []int{0}, place.ChooseForLoad(es, "m", 1, 2), "the load has nearly ended")
	es[0].Skipped = true
	require.Equal(t, []int{1}, place.ChooseForLoad(es, "m", 1, 2), "it was emptied and did not load")
	full := engines(8)
	for at := range full {
		full[at].Model, full[at].Running = "m", 12
	}
	require.Empty(t, place.ChooseForLoad(full, "m", 1, 2), "the others have no free slots")
}

// Engines whose runs end soon are emptied first. One with longer runs is emptied only
// while less than half of the engines have the announced version.
func TestEmptyWithoutMoves(t *testing.T) {
	es := engines(6)
	for at := range es {
		es[at].Model, es[at].BusyFor = "m", place.EmptyPatience+time.Second
	}
	es[4].BusyFor = place.EmptyPatience
	require.Equal(t, []int{4}, place.ChooseForLoad(es, "m", 1, 2))
	es[4].Emptying = true
	require.Empty(t, place.ChooseForLoad(es, "m", 1, 2), "at most one of six at a time")
	es[4].Emptying, es[4].Version = false, 2
	es[0].Version = 2
	require.Equal(t, []int{1}, place.ChooseForLoad(es, "m", 1, 2), "two of six are too few")
	es[1].Version = 2
	require.Empty(t, place.ChooseForLoad(es, "m", 1, 2), "half of them are enough")
	es[5].BusyFor = 0
	require.Equal(t, []int{5}, place.ChooseForLoad(es, "m", 1, 2))
}

// The longest item is assigned to the least loaded engine. An engine that is
// emptied for a load gets none.
func ExampleSnapshot_Choose() {
	snapshot := place.NewSnapshot([]place.Engine{
		{ID: "a", Slots: 2, Running: 1, Load: 4, Version: 7},
		{ID: "b", Slots: 2, Version: 7, Emptying: true},
		{ID: "c", Slots: 2, Load: 1, Version: 7},
	})
	queue := []place.Item{{Index: 0, RemainingEvents: 100, Load: 1}, {Index: 1, RemainingEvents: 9000, Load: 5}}
	place.SortItems(queue)
	for _, it := range queue {
		at := snapshot.Choose(it)
		snapshot.Assign(at, it)
		fmt.Println(it.Index, snapshot.Engine(at).ID)
	}
	// Output:
	// 1 c
	// 0 a
}

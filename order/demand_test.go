package order_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/order"
	"bilberryshelf/table"
)

// Guards against idle engines that leave a model without engines, and against loads for it that
// no step needs or that cost another model its engine.
func TestNextForShortage(t *testing.T) {
	const self = "a"
	snapshot := func(change func(sn *order.Snapshot)) order.Snapshot {
		sn := order.Snapshot{
			Self: self, Model: "m", Announced: map[string]uint64{"m": 1, "n": 3}, IdleFor: time.Minute,
			Report:    order.Report{Versions: map[string]uint64{"m": 1, "n": 1}, Accepted: 4},
			Engines:   []order.Engine{{ID: self, Model: "m"}, {ID: "b", Model: "m", Versions: map[string]uint64{"n": 1}}},
			Shortages: []order.Shortage{{Demand: order.Demand{Service: "lm", Model: "n", Version: 2, Engines: 1}, Lasts: time.Second}},
		}
		change(&sn)
		return sn
	}
	for _, tc := range []struct {
		name   string
		change func(sn *order.Snapshot)
		due    bool
		mode   order.Mode
	}{
		{"idle", func(*order.Snapshot) {}, true, order.Wait},
		{"no shortage", func(sn *order.Snapshot) { sn.Shortages = nil }, false, ""},
		{"idle for a moment only", func(sn *order.Snapshot) { sn.IdleFor = 200 * time.Millisecond }, false, ""},
		{"leaving", func(sn *order.Snapshot) { sn.Report.Leaving = true }, false, ""},
		{"an order is in progress", func(sn *order.Snapshot) { sn.Report.Busy = true }, false, ""},
		{"the version is not announced yet", func(sn *order.Snapshot) { sn.Announced["n"] = 1 }, false, ""},
		{"it has the version", func(sn *order.Snapshot) { sn.Report.Versions["n"] = 2 }, false, ""},
		{"its own model", func(sn *order.Snapshot) { sn.Model = "n" }, false, ""},
		{"another engine has the version", func(sn *order.Snapshot) { sn.Engines[1].Versions["n"] = 2 }, false, ""},
		{"another engine loads it", func(sn *order.Snapshot) { sn.Shortages[0].Loading = 1 }, false, ""},
		{"its items fill two engines", func(sn *order.Snapshot) { sn.Engines[1].Versions["n"], sn.Shortages[0].Engines = 2, 2 }, true, order.Wait},
		{"an engine of the model does not help", func(sn *order.Snapshot) { sn.Engines[1].Versions["n"], sn.Engines[1].Model = 2, "n" }, true, order.Wait},
		{"busy, others may be idle", func(sn *order.Snapshot) { sn.IdleFor = 0 }, false, ""},
		{"busy, alone", func(sn *order.Snapshot) {
			sn.IdleFor, sn.Shortages[0].Lasts, sn.Engines = 0, 3*time.Second, sn.Engines[:1]
		}, true, order.Retain},
		{"busy, a second engine", func(sn *order.Snapshot) {
			sn.IdleFor, sn.Shortages[0].Lasts, sn.Shortages[0].Engines, sn.Engines[1].Versions["n"] = 0, time.Minute, 2, 2
		}, false, ""},
		{"busy, with the slot", func(sn *order.Snapshot) { sn.IdleFor, sn.LoadSlotModel = 0, "n" }, true, order.Retain},
		{"not registered", func(sn *order.Snapshot) { sn.Engines = sn.Engines[1:] }, false, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			or, due := order.NextForShortage(snapshot(tc.change))
			require.Equal(t, tc.due, due)
			if due {
				require.Equal(t, order.Order{Model: "n", Version: 3, Mode: tc.mode, Accepted: 4}, or)
			}
		})
	}
}

// Guards against a short model that waits for one busy engine whose guard does not act: each
// engine has its turn, and no two at a time.
func TestTurnsOfBusyEngines(t *testing.T) {
	engines := []order.Engine{{ID: "a", Model: "m"}, {ID: "b", Model: "m"}, {ID: "c", Model: "m"}}
	turns := map[string]int{}
	for lasts := time.Duration(0); lasts < 12*time.Second; lasts += 100 * time.Millisecond {
		count := 0
		for _, en := range engines {
			_, due := order.NextForShortage(order.Snapshot{
				Self: en.ID, Model: "m", Announced: map[string]uint64{"n": 2}, Engines: engines,
				Shortages: []order.Shortage{{Demand: order.Demand{Model: "n", Version: 2, Engines: 1}, Lasts: lasts}},
			})
			if due {
				count++
				turns[en.ID]++
			}
		}
		require.LessOrEqual(t, count, 1)
		require.Equal(t, lasts >= 2*time.Second, count == 1)
	}
	require.Len(t, turns, len(engines))
}

// Guards against the demand of a dead owner that counts forever, and of one that is counted
// for another service or with an older row.
func TestDemands(t *testing.T) {
	now := time.Unix(0, 0)
	var ds order.Demands
	require.Empty(t, ds.Shortages(now, "lm"))
	row := func(node string, version uint64) table.Row {
		return table.Row{ID: order.DemandID(node), Version: version}
	}
	demand := func(model string, version uint64, engines int) order.Row {
		return order.Row{Demands: []order.Demand{{Service: "lm", Model: model, Version: version, Engines: engines}}}
	}
	ds.Put(now, row("one", 5), demand("m", 2, 1))
	ds.Put(now, row("two", 6), demand("m", 3, 2))
	ds.Put(now, row("three", 7), demand("n", 3, 0))
	ds.Put(now, row("one", 4), demand("m", 2, 9))
	require.Empty(t, ds.Live(now, "other"))
	require.Equal(t, []order.Demand{{Service: "lm", Model: "m", Version: 3, Engines: 3}, {Service: "lm", Model: "n", Version: 3}}, ds.Live(now, "lm"))
	require.Len(t, ds.Shortages(now, "lm"), 1)
	now = now.Add(2 * time.Second)
	ds.Put(now, row("two", 8), demand("m", 3, 2))
	require.Equal(t, 2*time.Second, ds.Shortages(now, "lm")[0].Lasts)
	now = now.Add(2 * time.Second)
	require.Equal(t, []order.Demand{{Service: "lm", Model: "m", Version: 3, Engines: 2}}, ds.Live(now, "lm"), "one owner renews its row")
	ds.Put(now, table.Row{ID: order.DemandID("two"), Version: 9, Deleted: true}, order.Row{})
	require.Empty(t, ds.Shortages(now, "lm"))
	ds.Put(now, row("two", 10), demand("m", 3, 2))
	require.Zero(t, ds.Shortages(now, "lm")[0].Lasts, "another shortage")
}

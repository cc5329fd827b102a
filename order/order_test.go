package order_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/fleet"
	"bilberryshelf/meter"
	"bilberryshelf/order"
	"bilberryshelf/place"
	"bilberryshelf/table"
)

func TestNext(t *testing.T) {
	snapshot := func(loaded, announced uint64, idle time.Duration, change func(sn *order.Snapshot)) order.Snapshot {
		sn := order.Snapshot{
			Self: "a", Model: "m", Announced: map[string]uint64{"m": announced}, IdleFor: idle,
			Report: order.Report{Versions: map[string]uint64{"m": loaded}, Accepted: 4}, Engines: []order.Engine{{ID: "a", Model: "m"}, {ID: "b", Model: "m"}},
		}
		if change != nil {
			change(&sn)
		}
		return sn
	}
	for _, tc := range []struct {
		name string
		sn   order.Snapshot
		due  bool
		mode order.Mode
	}{
		{"up to date", snapshot(3, 3, time.Second, nil), false, ""},
		{"idle", snapshot(2, 3, time.Second, nil), true, order.Wait},
		{"busy, and the step accepts its version", snapshot(2, 3, 0, nil), false, ""},
		{"stale and idle", snapshot(1, 3, time.Second, nil), true, order.Wait},
		{"stale, completes its runs", snapshot(1, 3, 0, func(sn *order.Snapshot) { sn.StaleFor = order.StaleBusyTimeout - 1 }), false, ""},
		{"stale, its runs take too long", snapshot(1, 3, 0, func(sn *order.Snapshot) { sn.StaleFor = order.StaleBusyTimeout }), true, order.Retain},
		{"stale and idle, but it leaves", snapshot(1, 3, time.Second, func(sn *order.Snapshot) { sn.Report.Leaving = true }), false, ""},
		{"idle, but another engine is stale", snapshot(2, 3, time.Second, func(sn *order.Snapshot) { sn.Engines[1].Stale = true }), false, ""},
		{"an order is in progress", snapshot(1, 3, time.Second, func(sn *order.Snapshot) { sn.Report.Busy = true }), false, ""},
		{"no model assigned yet", snapshot(1, 3, time.Second, func(sn *order.Snapshot) { sn.Model = "" }), false, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			or, due := order.Next(tc.sn)
			require.Equal(t, tc.due, due)
			if due {
				require.Equal(t, tc.mode, or.Mode)
				require.Equal(t, tc.sn.Announced["m"], or.Version)
				require.EqualValues(t, 4, or.Accepted, "the count makes a delayed order invalid")
			}
		})
	}
}

func TestAssignModel(t *testing.T) {
	models := []string{"n", "m"}
	engines := func(assigned ...string) []order.Engine {
		var out []order.Engine
		for at, model := range assigned {
			out = append(out, order.Engine{ID: string(rune('a' + at)), Model: model})
		}
		return out
	}
	require.Equal(t, "m", order.AssignModel(models, engines("", "", ""), "a", ""))
	require.Equal(t, "n", order.AssignModel(models, engines("", "", ""), "b", ""))
	require.Empty(t, order.AssignModel(models, engines(""), "z", ""), "not registered yet")
	require.Empty(t, order.AssignModel(nil, engines(""), "a", ""))
	require.Equal(t, "m", order.AssignModel(models, engines("m", "m", "n"), "b", "m"), "spread evenly")
	require.Equal(t, "n", order.AssignModel(models, engines("m", "m", "m", "n"), "c", "m"), "the last engine of the larger model moves")
	require.Equal(t, "m", order.AssignModel(models, engines("m", "m", "m", "n"), "b", "m"))
	require.Equal(t, "m", order.AssignModel(models, engines("m", "m", "m", ""), "c", "m"), "an engine has no model yet")
	require.Equal(t, "m", order.AssignModel([]string{"m"}, engines("gone"), "a", "gone"), "a model that was removed")
	unguarded := engines("m", "m", "")
	unguarded[2].Unguarded = true
	require.Equal(t, "n", order.AssignModel(models, unguarded, "b", "m"), "an engine without a guard does not stop the others")
	unguarded = engines("m", "m", "n", "")
	unguarded[3].Unguarded = true
	require.Equal(t, "m", order.AssignModel(models, unguarded, "b", "m"), "an engine without a guard counts for no model")
}

// fakeEngine is an engine whose loads take 900 ms.
type fakeEngine struct {
	mutex    sync.Mutex
	versions map[string]uint64
	accepted uint64
	busy     bool
	running  int
	orders   []order.Order
	// loseReplies is the number of orders to leave unanswered and to begin late.
	loseReplies int
	load        func(busy int)
}

func (en *fakeEngine) Report(context.Context) (order.Report, error) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	versions := map[string]uint64{}
	for model, version := range en.versions {
		versions[model] = version
	}
	return order.Report{Versions: versions, Busy: en.busy, Accepted: en.accepted, Running: en.running}, nil
}

func (en *fakeEngine) Order(_ context.Context, or order.Order) (order.Reply, error) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.orders = append(en.orders, or)
	if en.loseReplies > 0 {
		en.loseReplies--
		time.AfterFunc(3*time.Second, func() { en.beginLate(or) })
		return "", errors.New("no response")
	}
	return en.begin(or), nil
}

// snapshot returns the state of the engine and the orders it got. It may be called
// while the guard runs.
func (en *fakeEngine) snapshot() (version, accepted uint64, orders []order.Order) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	return en.versions["m"], en.accepted, slices.Clone(en.orders)
}

func (en *fakeEngine) beginLate(or order.Order) {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	en.begin(or)
}

func (en *fakeEngine) begin(or order.Order) order.Reply {
	if en.busy || or.Accepted != en.accepted {
		return order.Conflict
	}
	en.accepted++
	en.busy = true
	en.load(1)
	time.AfterFunc(900*time.Millisecond, func() {
		en.mutex.Lock()
		defer en.mutex.Unlock()
		en.versions[or.Model], en.busy = or.Version, false
		en.load(-1)
	})
	return order.Started
}

// cluster is a service with its engines and guards.
type cluster struct {
	rows       *fake.Rows
	engines    []*fakeEngine
	mutex      sync.Mutex
	loading    int
	maxLoading int
}

func (cl *cluster) load(change int) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.loading += change
	cl.maxLoading = max(cl.maxLoading, cl.loading)
}

func addr(at int) string { return fmt.Sprintf("10.0.0.%02d:80", at) }

func (cl *cluster) guard(at int) *order.Guard {
	return &order.Guard{
		Name: "node-" + addr(at), Addr: addr(at), Service: "lm", Client: cl.engines[at], Store: cl.rows,
		Clock: core.SystemClock{}, Logger: log.NewNopLogger(), Meters: &meter.Set{}, OperatorTable: "op", TargetTable: "targets",
		DecodeConfig: func(ro table.Row) (*conf.Config, error) {
			if ro.ID.Key != "config" {
				return nil, nil
			}
			return conf.New(1, nil, []conf.Service{{Name: "lm", Models: []string{"m"}}}, conf.Limits{}), nil
		},
		DecodeVersion: func(ro table.Row) (string, uint64, bool, error) {
			return "m", uint64(ro.ID.Key[0] - '0'), ro.ID.Key != "config", nil
		},
		DecodeTarget: func(ro table.Row) (fleet.Target, error) {
			loaded := uint64(1)
			if len(ro.Value) > 0 {
				loaded = uint64(ro.Value[0])
			}
			return fleet.Target{ID: ro.ID.Key, Addr: ro.ID.Key, Service: "lm", Slots: 12, Models: map[string]uint64{"m": loaded}}, nil
		},
	}
}

func put(t *testing.T, rows *fake.Rows, name, key string) {
	t.Helper()
	_, err := rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: table.ID{Table: name, Key: key}}}})
	require.NoError(t, err)
}

func start(t *testing.T, count int) (cl *cluster, stop func()) {
	cl = &cluster{rows: &fake.Rows{}}
	put(t, cl.rows, "op", "config")
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for at := range count {
		put(t, cl.rows, "targets", addr(at))
		cl.engines = append(cl.engines, &fakeEngine{versions: map[string]uint64{"m": 1}, load: cl.load})
	}
	for at := range count {
		gu := cl.guard(at)
		group.Go(func() { gu.Run(ctx) })
	}
	return cl, func() { cancel(); group.Wait() }
}

// Twelve engines are idle when a version is announced. If all of them loaded at once,
// each load would take five times as long.
func TestConcurrentLoadsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, stop := start(t, 12)
		defer stop()
		time.Sleep(2 * time.Second)
		put(t, cl.rows, "op", "2")
		time.Sleep(10 * time.Second)
		for _, en := range cl.engines {
			version, _, orders := en.snapshot()
			require.EqualValues(t, 2, version)
			require.Len(t, orders, 1)
		}
		cl.mutex.Lock()
		defer cl.mutex.Unlock()
		require.Equal(t, place.MaxConcurrentLoads(12), cl.maxLoading)
	})
}

// An engine whose guard and row are cut off from the store keeps its version while
// two more are announced, so it stays stale as long as the outage lasts. The other
// engines must still load.
func TestUnreachableStaleEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, stop := start(t, 4)
		defer stop()
		put(t, cl.rows, "targets", addr(9))
		row, err := order.Row{Model: "m"}.Encode()
		require.NoError(t, err)
		_, err = cl.rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: table.ID{Table: order.Table, Key: addr(9)}, Value: row}}})
		require.NoError(t, err)
		put(t, cl.rows, "op", "2")
		time.Sleep(6 * time.Second)
		for at, en := range cl.engines {
			version, _, _ := en.snapshot()
			require.EqualValues(t, 2, version)
			id := table.ID{Table: "targets", Key: addr(at)}
			_, err = cl.rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: id, Value: []byte{2}}}})
			require.NoError(t, err)
		}
		put(t, cl.rows, "op", "3")
		time.Sleep(8 * time.Second)
		for _, en := range cl.engines {
			version, _, _ := en.snapshot()
			require.EqualValues(t, 3, version)
		}
	})
}

func TestStalePriority(t *testing.T) {
	now := time.Unix(0, 0)
	var sp order.StalePriority
	require.False(t, sp.Grants(now, "a", false))
	require.True(t, sp.Grants(now, "a", true))
	require.True(t, sp.Grants(now.Add(order.StalePriorityTimeout), "a", true))
	require.False(t, sp.Grants(now.Add(order.StalePriorityTimeout+1), "a", true), "its priority has ended")
	require.True(t, sp.Grants(now, "b", true), "the time is counted per engine")
	sp.Grants(now, "a", false)
	require.True(t, sp.Grants(now.Add(time.Hour), "a", true), "the time starts again when it becomes stale again")
}

// A guard that dies while its engine loads keeps its slot only until maxSlotHold.
func TestSlotOfDeadGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, stop := start(t, 4)
		defer stop()
		raw := order.Row{Holder: "dead"}
		for at := range place.MaxConcurrentLoads(4) {
			value, err := raw.Encode()
			require.NoError(t, err)
			id := table.ID{Table: order.Table, Key: fmt.Sprintf("slot/%d", at)}
			_, err = cl.rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: id, Value: value}}})
			require.NoError(t, err)
		}
		put(t, cl.rows, "op", "2")
		time.Sleep(9 * time.Second)
		for _, en := range cl.engines {
			version, _, _ := en.snapshot()
			require.EqualValues(t, 2, version)
		}
	})
}

// An order whose reply is lost is sent again with the same count of accepted
// orders, so the engine rejects the first one when it arrives late. Fencing tokens
// rise across restarts.
func TestLateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, stop := start(t, 1)
		cl.engines[0].loseReplies = 1
		put(t, cl.rows, "op", "2")
		time.Sleep(10 * time.Second)
		stop()
		en := cl.engines[0]
		version, accepted, orders := en.snapshot()
		require.EqualValues(t, 2, version)
		require.EqualValues(t, 1, accepted, "the delayed order is rejected")
		first := orders[0].Fence
		require.NotZero(t, first)

		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		gu := cl.guard(0)
		go func() { defer close(done); gu.Run(ctx) }()
		put(t, cl.rows, "op", "3")
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		_, _, orders = en.snapshot()
		require.Greater(t, orders[len(orders)-1].Fence, first)
	})
}

// While the store is unavailable, only stale engines load, and without a slot.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, stop := start(t, 2)
		defer stop()
		time.Sleep(time.Second)
		for _, en := range cl.engines {
			en.mutex.Lock()
			en.running = 1
			en.mutex.Unlock()
		}
		put(t, cl.rows, "op", "3")
		time.Sleep(50 * time.Millisecond)
		cl.rows.Set(fake.RowFaults{Refuse: true})
		time.Sleep(order.StaleBusyTimeout + 5*time.Second)
		for _, en := range cl.engines {
			version, _, orders := en.snapshot()
			require.EqualValues(t, 3, version)
			require.Equal(t, order.Retain, orders[0].Mode)
		}
	})
}

// A guard that restarts keeps the model of its engine from its first write on: owners take
// an engine without a model for an engine of any model, and give it runs while it is stale.
func TestRestartKeepsModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, stop := start(t, 3)
		time.Sleep(3 * time.Second)
		stop()
		model := func(at int) string {
			page, err := cl.rows.List(context.Background(), table.Range{Table: order.Table, From: addr(at), To: addr(at) + "\x00"})
			require.NoError(t, err)
			require.Len(t, page.Rows, 1)
			row, err := order.DecodeRow(page.Rows[0])
			require.NoError(t, err)
			return row.Model
		}
		require.Equal(t, "m", model(0))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); cl.guard(0).Run(ctx) }()
		for range 500 {
			time.Sleep(5 * time.Millisecond)
			require.Equal(t, "m", model(0))
		}
		cancel()
		<-done
	})
}

// The load pattern: all guards are killed while some hold the slots. When they are back,
// their slots must not wait for maxSlotHold.
func TestSlotOfRestartedGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const guards = 8
		cl, stop := start(t, guards)
		time.Sleep(2 * time.Second)
		put(t, cl.rows, "op", "2")
		time.Sleep(500 * time.Millisecond) // the first loads are in progress
		stop()
		time.Sleep(time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for at := range guards {
			gu := cl.guard(at)
			group.Go(func() { gu.Run(ctx) })
		}
		// Six engines are left, two load at a time, each for 900 ms.
		time.Sleep(3*900*time.Millisecond + 1200*time.Millisecond)
		for _, en := range cl.engines {
			version, _, _ := en.snapshot()
			require.EqualValues(t, 2, version)
		}
		cancel()
		group.Wait()
	})
}

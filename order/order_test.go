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
	situation := func(loaded, named uint64, idle time.Duration, change func(si *order.Snapshot)) order.Snapshot {
		si := order.Snapshot{
			Self: "a", Model: "m", Named: map[string]uint64{"m": named}, IdleFor: idle,
			Report: order.Report{Versions: map[string]uint64{"m": loaded}, Accepted: 4}, Engines: []order.Engine{{ID: "a", Model: "m"}, {ID: "b", Model: "m"}},
		}
		if change != nil {
			change(&si)
		}
		return si
	}
	for _, tc := range []struct {
		name string
		si   order.Snapshot
		due  bool
		mode order.Mode
	}{
		{"up to date", situation(3, 3, time.Second, nil), false, ""},
		{"idle", situation(2, 3, time.Second, nil), true, order.Wait},
		{"at work, and the step permits its version", situation(2, 3, 0, nil), false, ""},
		{"at work, and the step does not", situation(1, 3, 0, nil), true, order.Retain},
		{"idle, but another one is in need", situation(2, 3, time.Second, func(si *order.Snapshot) { si.Engines[1].Stale = true }), false, ""},
		{"an order is in progress", situation(1, 3, time.Second, func(si *order.Snapshot) { si.Report.Busy = true }), false, ""},
		{"no home yet", situation(1, 3, time.Second, func(si *order.Snapshot) { si.Model = "" }), false, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			or, due := order.Next(tc.si)
			require.Equal(t, tc.due, due)
			if due {
				require.Equal(t, tc.mode, or.Mode)
				require.Equal(t, tc.si.Named["m"], or.Version)
				require.EqualValues(t, 4, or.Accepted, "a late order meets another count")
			}
		})
	}
}

func TestAssignModel(t *testing.T) {
	models := []string{"n", "m"}
	engines := func(homes ...string) []order.Engine {
		var out []order.Engine
		for at, home := range homes {
			out = append(out, order.Engine{ID: string(rune('a' + at)), Model: home})
		}
		return out
	}
	require.Equal(t, "m", order.AssignModel(models, engines("", "", ""), "a", ""))
	require.Equal(t, "n", order.AssignModel(models, engines("", "", ""), "b", ""))
	require.Empty(t, order.AssignModel(models, engines(""), "z", ""), "not registered yet")
	require.Empty(t, order.AssignModel(nil, engines(""), "a", ""))
	require.Equal(t, "m", order.AssignModel(models, engines("m", "m", "n"), "b", "m"), "spread evenly")
	require.Equal(t, "n", order.AssignModel(models, engines("m", "m", "m", "n"), "c", "m"), "the last of the larger home moves")
	require.Equal(t, "m", order.AssignModel(models, engines("m", "m", "m", "n"), "b", "m"))
	require.Equal(t, "m", order.AssignModel(models, engines("m", "m", "m", ""), "c", "m"), "one has yet to choose")
	require.Equal(t, "m", order.AssignModel([]string{"m"}, engines("gone"), "a", "gone"), "a model that is gone")
}

// fakeEngine is an engine that loads for a while.
type fakeEngine struct {
	mutex    sync.Mutex
	versions map[string]uint64
	accepted uint64
	busy     bool
	running  int
	orders   []order.Order
	// loseReplies leaves the next order unanswered and carries it out late.
	loseReplies int
	load        func(busy int)
}

func (po *fakeEngine) Report(context.Context) (order.Report, error) {
	po.mutex.Lock()
	defer po.mutex.Unlock()
	versions := map[string]uint64{}
	for model, version := range po.versions {
		versions[model] = version
	}
	return order.Report{Versions: versions, Busy: po.busy, Accepted: po.accepted, Running: po.running}, nil
}

func (po *fakeEngine) Order(_ context.Context, or order.Order) (order.Reply, error) {
	po.mutex.Lock()
	defer po.mutex.Unlock()
	po.orders = append(po.orders, or)
	if po.loseReplies > 0 {
		po.loseReplies--
		time.AfterFunc(3*time.Second, func() { po.beginLate(or) })
		return "", errors.New("no answer")
	}
	return po.begin(or), nil
}

// snapshot returns what the engine came to, safely while its guard runs.
func (po *fakeEngine) snapshot() (version, accepted uint64, orders []order.Order) {
	po.mutex.Lock()
	defer po.mutex.Unlock()
	return po.versions["m"], po.accepted, slices.Clone(po.orders)
}

func (po *fakeEngine) beginLate(or order.Order) {
	po.mutex.Lock()
	defer po.mutex.Unlock()
	po.begin(or)
}

func (po *fakeEngine) begin(or order.Order) order.Reply {
	if po.busy || or.Accepted != po.accepted {
		return order.Conflict
	}
	po.accepted++
	po.busy = true
	po.load(1)
	time.AfterFunc(900*time.Millisecond, func() {
		po.mutex.Lock()
		defer po.mutex.Unlock()
		po.versions[or.Model], po.busy = or.Version, false
		po.load(-1)
	})
	return order.Started
}

// cluster is a service of engines with their guards.
type cluster struct {
	rows       *fake.Rows
	engines    []*fakeEngine
	mutex      sync.Mutex
	loading    int
	maxLoading int
}

func (wo *cluster) load(change int) {
	wo.mutex.Lock()
	defer wo.mutex.Unlock()
	wo.loading += change
	wo.maxLoading = max(wo.maxLoading, wo.loading)
}

func addr(at int) string { return fmt.Sprintf("10.0.0.%02d:80", at) }

func (wo *cluster) guard(at int) *order.Guard {
	return &order.Guard{
		Name: "node-" + addr(at), Addr: addr(at), Service: "lm", Client: wo.engines[at], Store: wo.rows,
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

func start(t *testing.T, count int) (wo *cluster, stop func()) {
	wo = &cluster{rows: &fake.Rows{}}
	put(t, wo.rows, "op", "config")
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for at := range count {
		put(t, wo.rows, "targets", addr(at))
		wo.engines = append(wo.engines, &fakeEngine{versions: map[string]uint64{"m": 1}, load: wo.load})
	}
	for at := range count {
		gu := wo.guard(at)
		group.Go(func() { gu.Run(ctx) })
	}
	return wo, func() { cancel(); group.Wait() }
}

// The load pattern: twelve engines are idle as a version is named. Together the
// loads would take five times as long each.
func TestConcurrentLoadsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo, stop := start(t, 12)
		defer stop()
		time.Sleep(2 * time.Second)
		put(t, wo.rows, "op", "2")
		time.Sleep(10 * time.Second)
		for _, po := range wo.engines {
			version, _, orders := po.snapshot()
			require.EqualValues(t, 2, version)
			require.Len(t, orders, 1)
		}
		wo.mutex.Lock()
		defer wo.mutex.Unlock()
		require.Equal(t, place.MaxConcurrentLoads(12), wo.maxLoading)
	})
}

// The load pattern: an engine whose guard and row are cut off from the store
// stays at its version while two more are named. It is in need for as long as
// the cut lasts, and the others load all the same.
func TestUnreachableStaleEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo, stop := start(t, 4)
		defer stop()
		put(t, wo.rows, "targets", addr(9))
		home, err := order.Row{Model: "m"}.Encode()
		require.NoError(t, err)
		_, err = wo.rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: table.ID{Table: order.Table, Key: addr(9)}, Value: home}}})
		require.NoError(t, err)
		put(t, wo.rows, "op", "2")
		time.Sleep(6 * time.Second)
		for at, po := range wo.engines {
			version, _, _ := po.snapshot()
			require.EqualValues(t, 2, version)
			id := table.ID{Table: "targets", Key: addr(at)}
			_, err = wo.rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: id, Value: []byte{2}}}})
			require.NoError(t, err)
		}
		put(t, wo.rows, "op", "3")
		time.Sleep(8 * time.Second)
		for _, po := range wo.engines {
			version, _, _ := po.snapshot()
			require.EqualValues(t, 3, version)
		}
	})
}

func TestStalePriority(t *testing.T) {
	now := time.Unix(0, 0)
	var ne order.StalePriority
	require.False(t, ne.Grants(now, "a", false))
	require.True(t, ne.Grants(now, "a", true))
	require.True(t, ne.Grants(now.Add(order.StalePriorityTimeout), "a", true))
	require.False(t, ne.Grants(now.Add(order.StalePriorityTimeout+1), "a", true), "it had its time")
	require.True(t, ne.Grants(now, "b", true), "each engine has a time of its own")
	ne.Grants(now, "a", false)
	require.True(t, ne.Grants(now.Add(time.Hour), "a", true), "a later need counts anew")
}

// A guard that is gone while its engine loads holds its slot only for a while.
func TestSlotOfDeadGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo, stop := start(t, 4)
		defer stop()
		raw := order.Row{Holder: "dead"}
		for at := range place.MaxConcurrentLoads(4) {
			value, err := raw.Encode()
			require.NoError(t, err)
			id := table.ID{Table: order.Table, Key: fmt.Sprintf("slot/%d", at)}
			_, err = wo.rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: id, Value: value}}})
			require.NoError(t, err)
		}
		put(t, wo.rows, "op", "2")
		time.Sleep(9 * time.Second)
		for _, po := range wo.engines {
			version, _, _ := po.snapshot()
			require.EqualValues(t, 2, version)
		}
	})
}

// An order whose answer is lost is given again with the same count, so that the
// late one does nothing. Fences rise across restarts.
func TestLateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo, stop := start(t, 1)
		wo.engines[0].loseReplies = 1
		put(t, wo.rows, "op", "2")
		time.Sleep(10 * time.Second)
		stop()
		po := wo.engines[0]
		version, accepted, orders := po.snapshot()
		require.EqualValues(t, 2, version)
		require.EqualValues(t, 1, accepted, "the late order met another count")
		first := orders[0].Fence
		require.NotZero(t, first)

		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		gu := wo.guard(0)
		go func() { defer close(done); gu.Run(ctx) }()
		put(t, wo.rows, "op", "3")
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		_, _, orders = po.snapshot()
		require.Greater(t, orders[len(orders)-1].Fence, first)
	})
}

// While the store is away nothing is ordered without need, and an engine that
// serves nothing loads without a slot.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo, stop := start(t, 2)
		defer stop()
		time.Sleep(time.Second)
		for _, po := range wo.engines {
			po.mutex.Lock()
			po.running = 1
			po.mutex.Unlock()
		}
		put(t, wo.rows, "op", "3")
		time.Sleep(50 * time.Millisecond)
		wo.rows.Set(fake.RowFaults{Refuse: true})
		time.Sleep(5 * time.Second)
		for _, po := range wo.engines {
			version, _, orders := po.snapshot()
			require.EqualValues(t, 3, version)
			require.Equal(t, order.Retain, orders[0].Mode)
		}
	})
}

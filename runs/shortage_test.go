package runs_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/fleet"
	"bilberryshelf/intake"
	"bilberryshelf/meter"
	"bilberryshelf/order"
	"bilberryshelf/quota"
	"bilberryshelf/runs"
	"bilberryshelf/table"
)

const (
	operatorTable = "operator"
	targetTable   = "targets"
	beatInterval  = 1200 * time.Millisecond
	// lapseTime is the silence after which the registry removes an engine.
	lapseTime = 3 * beatInterval
	loadTime  = 900 * time.Millisecond
	// weightEvents is the number of events of an item, each weightEventTime after the last.
	weightEvents    = 30
	weightEventTime = 60 * time.Millisecond
	weightSlots     = 12
	// stepTime is the time that a step has.
	stepTime = 20 * time.Second
)

// weightEngine is an engine with the weights of several models. It refuses runs while it is
// full or loads weights.
type weightEngine struct {
	name string

	mutex    sync.Mutex
	versions map[string]uint64
	accepted uint64
	busy     bool
	running  int
	loads    int
	// gone is closed when the engine is lost.
	gone chan struct{}
	// dark engines are registered but send nothing.
	dark     bool
	draining bool
	// ran counts the runs by model.
	ran map[string]int
}

func (we *weightEngine) isGone() bool {
	select {
	case <-we.gone:
		return true
	default:
		return false
	}
}

// Report implements order.Client.
func (we *weightEngine) Report(context.Context) (order.Report, error) {
	we.mutex.Lock()
	defer we.mutex.Unlock()
	if we.isGone() || we.dark {
		return order.Report{}, errors.New("no response")
	}
	return order.Report{Versions: maps.Clone(we.versions), Busy: we.busy, Accepted: we.accepted, Running: we.running, Leaving: we.draining}, nil
}

// Order implements order.Client.
func (we *weightEngine) Order(_ context.Context, or order.Order) (order.Reply, error) {
	we.mutex.Lock()
	defer we.mutex.Unlock()
	switch {
	case we.isGone() || we.dark:
		return "", errors.New("no response")
	case we.busy || or.Accepted != we.accepted:
		return order.Conflict, nil
	}
	we.accepted++
	we.loads++
	we.busy = true
	time.AfterFunc(loadTime, func() {
		we.mutex.Lock()
		defer we.mutex.Unlock()
		we.versions[or.Model], we.busy = or.Version, false
	})
	return order.Started, nil
}

func (we *weightEngine) admit(model string) (version uint64, dark bool, ending runs.Ending) {
	we.mutex.Lock()
	defer we.mutex.Unlock()
	switch {
	case we.isGone():
		return 0, false, runs.Interrupted
	case we.dark:
		return 0, true, ""
	case we.busy || we.running >= weightSlots:
		return 0, false, runs.Refused
	}
	we.running++
	we.ran[model]++
	return we.versions[model], false, ""
}

func (we *weightEngine) run(ctx context.Context, rq runs.Request, event func(runs.Event)) runs.Outcome {
	version, dark, ending := we.admit(rq.Job.Model)
	switch {
	case ending != "":
		return runs.Outcome{Ending: ending}
	case dark:
		<-ctx.Done()
		return runs.Outcome{Ending: runs.Interrupted}
	}
	defer func() {
		we.mutex.Lock()
		defer we.mutex.Unlock()
		we.running--
	}()
	for at := rq.After + 1; at <= weightEvents; at++ {
		select {
		case <-ctx.Done():
			return runs.Outcome{Ending: runs.Interrupted}
		case <-we.gone:
			return runs.Outcome{Ending: runs.Interrupted}
		case <-time.After(weightEventTime):
			event(runs.Event{Data: strconv.Itoa(at), Version: version})
		}
	}
	return runs.Outcome{Ending: runs.Complete}
}

// storeLink is an entry's connection to the store, which may be refused.
type storeLink struct {
	*fake.Rows
	refused atomic.Bool
}

func (sl *storeLink) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	if sl.refused.Load() {
		return 0, table.ErrRefused
	}
	return sl.Rows.Commit(ctx, tx)
}

func (sl *storeLink) List(ctx context.Context, ra table.Range) (table.Page, error) {
	if sl.refused.Load() {
		return table.Page{}, table.ErrRefused
	}
	return sl.Rows.List(ctx, ra)
}

func (sl *storeLink) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (table.Page, error) {
	if sl.refused.Load() {
		return table.Page{}, table.ErrRefused
	}
	return sl.Rows.Watch(ctx, name, after, wait)
}

// weightWorld is a service whose models share its engines, with entries and guards.
type weightWorld struct {
	t       *testing.T
	rows    *fake.Rows
	models  []string
	mutex   sync.Mutex
	engines map[string]*weightEngine
	entries []*intake.Entry
	links   []*storeLink
	// dead is the entry that was killed, or -1.
	dead   int
	stops  map[string]context.CancelFunc
	group  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

func (ww *weightWorld) Run(ctx context.Context, ta fleet.Target, rq runs.Request, event func(runs.Event)) runs.Outcome {
	return ww.engine(ta.ID).run(ctx, rq, event)
}

func (ww *weightWorld) Send(context.Context, fleet.Target, calls.Request) (calls.Response, error) {
	return calls.Response{}, core.Refuse(core.CodeTargetDown, "connection refused")
}

func (ww *weightWorld) engine(name string) *weightEngine {
	ww.mutex.Lock()
	defer ww.mutex.Unlock()
	return ww.engines[name]
}

func (ww *weightWorld) put(name, key string, value any) {
	raw, err := json.Marshal(value)
	require.NoError(ww.t, err)
	_, err = ww.rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: table.ID{Table: name, Key: key}, Value: raw}}})
	require.NoError(ww.t, err)
}

func (ww *weightWorld) config(ro table.Row) (*conf.Config, error) {
	if ro.ID.Key != "config" {
		return nil, nil
	}
	var all []conf.Route
	for _, model := range ww.models {
		all = append(all, weightRoute(model))
	}
	return conf.New(1, all, []conf.Service{{Name: "lm", Models: ww.models, Slots: weightSlots}}, conf.Limits{}), nil
}

func (ww *weightWorld) version(ro table.Row) (model string, version uint64, ok bool, err error) {
	model, ok = strings.CutPrefix(ro.ID.Key, "version/")
	if ok {
		err = json.Unmarshal(ro.Value, &version)
	}
	return model, version, ok, err
}

type weightRow struct {
	Versions map[string]uint64
	Draining bool
}

func (ww *weightWorld) target(ro table.Row) (fleet.Target, error) {
	var row weightRow
	err := json.Unmarshal(ro.Value, &row)
	return fleet.Target{ID: ro.ID.Key, Addr: ro.ID.Key, Service: "lm", Slots: weightSlots, StartedAt: 1, Models: row.Versions, Draining: row.Draining}, err
}

// beat keeps the row of an engine up to date until the engine is lost, and has it lapse then.
func (ww *weightWorld) beat(we *weightEngine) {
	for !we.isGone() {
		we.mutex.Lock()
		row := weightRow{Versions: maps.Clone(we.versions), Draining: we.draining}
		we.mutex.Unlock()
		ww.put(targetTable, we.name, row)
		select {
		case <-time.After(beatInterval):
		case <-we.gone:
		case <-ww.ctx.Done():
			return
		}
	}
	time.Sleep(lapseTime)
	_, err := ww.rows.Commit(context.Background(), table.Tx{Drops: []table.ID{{Table: targetTable, Key: we.name}}})
	require.NoError(ww.t, err)
}

func (ww *weightWorld) startGuard(we *weightEngine) {
	ctx, cancel := context.WithCancel(ww.ctx)
	ww.stops[we.name] = cancel
	gu := &order.Guard{
		Name: "side-" + we.name, Addr: we.name, Service: "lm", Client: we, Store: ww.rows, Clock: core.SystemClock{},
		Logger: log.NewNopLogger(), Meters: &meter.Set{}, OperatorTable: operatorTable, TargetTable: targetTable,
		DecodeConfig: ww.config, DecodeVersion: ww.version, DecodeTarget: ww.target,
	}
	ww.group.Go(func() { gu.Run(ctx) })
}

// newWeightWorld starts two entries and engines with their guards. unguarded engines have none.
func newWeightWorld(t *testing.T, models, engineCount, unguarded int) *weightWorld {
	t.Helper()
	ww := &weightWorld{t: t, dead: -1, rows: &fake.Rows{}, engines: map[string]*weightEngine{}, stops: map[string]context.CancelFunc{}}
	ww.ctx, ww.cancel = context.WithCancel(context.Background())
	for at := range models {
		ww.models = append(ww.models, fmt.Sprint("m", at))
	}
	ww.put(operatorTable, "config", 1)
	for at := range engineCount {
		we := &weightEngine{name: fmt.Sprint("lm", at), versions: map[string]uint64{}, gone: make(chan struct{}), ran: map[string]int{}}
		for _, model := range ww.models {
			we.versions[model] = 1
		}
		ww.engines[we.name] = we
		ww.group.Go(func() { ww.beat(we) })
		if at < engineCount-unguarded {
			ww.startGuard(we)
		}
	}
	for at := range 2 {
		ww.startEntry(at)
	}
	time.Sleep(8 * time.Second)
	return ww
}

func (ww *weightWorld) startEntry(node int) {
	name, li := fmt.Sprint("n", node), &storeLink{Rows: ww.rows}
	en := intake.New(
		intake.Settings{Node: name, Domain: "d", Inner: name, Grace: 8 * time.Second, FirstStart: true},
		intake.Ports{Direct: li, Sender: ww, Engine: ww, Departures: &fleet.Departures{}, Rates: &quota.Limits{}, Dial: func(string) table.Client { return ww.rows }, Starter: func(addr string) intake.Starter {
			at, err := strconv.Atoi(strings.TrimPrefix(addr, "n"))
			require.NoError(ww.t, err)
			return ww.entries[at]
		}},
		intake.Decoders{OperatorTable: operatorTable, TargetTable: targetTable, Config: ww.config, Version: ww.version, Target: ww.target},
		core.SystemClock{}, log.NewNopLogger(), &meter.Set{},
	)
	ww.entries, ww.links = append(ww.entries, en), append(ww.links, li)
	ww.group.Go(func() { require.NoError(ww.t, en.Run()) })
}

func (ww *weightWorld) stop() {
	for _, en := range ww.entries {
		en.Kill()
	}
	ww.cancel()
	ww.group.Wait()
}

func weightRoute(model string) conf.Route {
	return conf.Route{
		Name: "train-" + model, Host: "h", Prefix: "/train-" + model + "/", Kind: conf.Rollout, Shares: []conf.Share{{Service: "lm", Weight: 1}},
		Deadline: stepTime, Attempts: 3,
	}
}

// submit submits a step of a model that permits only its announced version.
func (ww *weightWorld) submit(id, model string, version uint64, items int) {
	ww.t.Helper()
	jo := &batch.Job{ID: id, Host: "h", Path: "/train-" + model + "/x", Model: model, MinVersion: version}
	for at := range items {
		jo.Items = append(jo.Items, batch.Item{ID: fmt.Sprint(id, "-", at), Path: "/i", Group: strconv.Itoa(at / 4)})
	}
	failed := ww.entries[0].Submit(context.Background(), jo, weightRoute(model))
	require.Nil(ww.t, failed)
}

// listed returns the number of results of a job.
func (ww *weightWorld) listed(id string) int {
	for at := len(ww.entries) - 1; at >= 0; at-- {
		if at == ww.dead {
			continue
		}
		if li, failed := ww.entries[at].Results(context.Background(), id, 0, 0); failed == nil {
			return len(li.Results)
		}
	}
	return 0
}

// owner returns the entry that runs a job.
func (ww *weightWorld) owner(id string) int {
	return slices.IndexFunc(ww.entries, func(en *intake.Entry) bool { return en.Owns(id) })
}

// runningModel returns the engines that run items of a model.
func (ww *weightWorld) runningModel(model string) []*weightEngine {
	var found []*weightEngine
	for _, name := range slices.Sorted(maps.Keys(ww.engines)) {
		we := ww.engines[name]
		we.mutex.Lock()
		if we.ran[model] > 0 && we.running > 0 {
			found = append(found, we)
		}
		we.mutex.Unlock()
	}
	return found
}

func (ww *weightWorld) loads() int {
	sum := 0
	for _, we := range ww.engines {
		we.mutex.Lock()
		sum += we.loads
		we.mutex.Unlock()
	}
	return sum
}

// Guards against steps of a model without an engine of its own that never run beside idle
// engines of other models.
func TestModelWithoutEngine(t *testing.T) {
	lose := func(ww *weightWorld, count int) {
		for _, we := range ww.runningModel("m1")[:count] {
			close(we.gone)
		}
	}
	for _, tc := range []struct {
		name                       string
		models, engines, unguarded int
		trouble                    func(ww *weightWorld)
		// model is that of the step; empty means m1.
		model string
	}{
		{name: "the only engine is lost", models: 6, engines: 6, trouble: func(ww *weightWorld) { lose(ww, 1) }},
		{name: "the only engine is lost, fewer models", models: 3, engines: 3, trouble: func(ww *weightWorld) { lose(ww, 1) }},
		{name: "more models than engines", models: 6, engines: 5, model: "m5"},
		{name: "one engine for all models", models: 4, engines: 1},
		{name: "both engines are lost beside one without a guard", models: 2, engines: 5, unguarded: 1, trouble: func(ww *weightWorld) { lose(ww, 2) }},
		{name: "both engines are lost", models: 2, engines: 4, trouble: func(ww *weightWorld) { lose(ww, 2) }},
		{name: "both engines are lost, more engines than models", models: 6, engines: 7, trouble: func(ww *weightWorld) { lose(ww, len(ww.runningModel("m1"))) }},
		{name: "the only engine leaves", models: 3, engines: 3, trouble: func(ww *weightWorld) {
			for _, we := range ww.runningModel("m1") {
				we.mutex.Lock()
				we.draining = true
				we.mutex.Unlock()
				time.AfterFunc(4*time.Second, func() { close(we.gone) })
			}
		}},
		{name: "the only engine sends nothing any more", models: 3, engines: 3, trouble: func(ww *weightWorld) {
			for _, we := range ww.runningModel("m1") {
				we.mutex.Lock()
				we.dark = true
				we.mutex.Unlock()
			}
		}},
		{name: "the guard of the only engine has ended", models: 3, engines: 3, trouble: func(ww *weightWorld) {
			for _, we := range ww.runningModel("m1") {
				ww.stops[we.name]()
			}
			ww.put(operatorTable, "version/m1", 4)
			time.Sleep(time.Second)
			ww.submit("later", "m1", 4, 36)
		}},
		{name: "the owner is cut off from the store too", models: 3, engines: 3, trouble: func(ww *weightWorld) {
			lose(ww, 1)
			ww.links[ww.owner("job")].refused.Store(true)
		}},
		{name: "the owner dies too", models: 3, engines: 3, trouble: func(ww *weightWorld) {
			lose(ww, 1)
			ww.dead = ww.owner("job")
			ww.entries[ww.dead].Kill()
		}},
		{name: "the owner is stopped too", models: 3, engines: 3, trouble: func(ww *weightWorld) {
			lose(ww, 1)
			owner := ww.entries[ww.owner("job")]
			go owner.Stop()
		}},
		{name: "a guard that was frozen holds the slot", models: 3, engines: 3, trouble: func(ww *weightWorld) {
			lose(ww, 1)
			raw, err := order.Row{Holder: "frozen", Model: "m1"}.Encode()
			require.NoError(ww.t, err)
			_, err = ww.rows.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: table.ID{Table: order.Table, Key: "slot/0"}, Value: raw}}})
			require.NoError(ww.t, err)
		}},
		{name: "the guard whose turn it is does not act", models: 3, engines: 3, trouble: func(ww *weightWorld) {
			lose(ww, 1)
			for _, we := range ww.engines {
				if !we.isGone() {
					ww.stops[we.name]()
					break
				}
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ww := newWeightWorld(t, tc.models, tc.engines, tc.unguarded)
				defer ww.stop()
				model := cmp.Or(tc.model, "m1")
				ww.put(operatorTable, "version/"+model, 2)
				time.Sleep(8 * time.Second)
				ww.submit("job", model, 2, 36)
				submitted := time.Now()
				time.Sleep(time.Second)
				if tc.trouble != nil {
					tc.trouble(ww)
				}
				time.Sleep(stepTime - time.Since(submitted))
				require.Equal(t, 36, ww.listed("job"))
				if tc.name == "the guard of the only engine has ended" {
					require.Equal(t, 36, ww.listed("later"))
				}
				time.Sleep(10 * time.Second)
				loads := ww.loads()
				time.Sleep(10 * time.Second)
				require.Equal(t, loads, ww.loads(), "nothing is loaded without open jobs")
			})
		})
	}
}

// Guards against a step that starves beside models that always have work, and against loads
// without end where there are fewer engines than models with open steps.
func TestShortModelsShareBusyEngines(t *testing.T) {
	for _, engineCount := range []int{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			const models = 5
			ww := newWeightWorld(t, models, engineCount, 0)
			defer ww.stop()
			for at := range models {
				ww.put(operatorTable, fmt.Sprint("version/m", at), 2)
			}
			time.Sleep(8 * time.Second)
			for at := range models - 1 { // 20 steps of all but the last model fill the engines for minutes
				for step := range 20 {
					ww.submit(fmt.Sprintf("m%d-%d", at, step), fmt.Sprint("m", at), 2, 36)
				}
			}
			time.Sleep(5 * time.Second)
			loads := ww.loads()
			ww.submit("last", fmt.Sprint("m", models-1), 2, 12)
			time.Sleep(stepTime)
			require.Equal(t, 12, ww.listed("last"), "%d engines", engineCount)
			require.LessOrEqual(t, ww.loads()-loads, models*engineCount, "one load for each engine and model")
		})
	}
}

// trainModel runs steps of a model one after the other, each for the version before the newest,
// until the context ends. It returns the number of steps that were completed in stepTime.
func (ww *weightWorld) trainModel(ctx context.Context, model string) (steps, late int) {
	for version := uint64(2); ctx.Err() == nil; version++ {
		ww.put(operatorTable, "version/"+model, version)
		id, began := fmt.Sprint(model, "-", version), time.Now()
		ww.submit(id, model, version-1, weightSlots)
		for ww.listed(id) < weightSlots && ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
		}
		if time.Since(began) > stepTime {
			late++
		}
		steps++
	}
	return steps, late
}

// Guards against a trainer that starves beside others while all of them always have a step open
// and name a version with each, where engines serve several models.
func TestTrainersShareFewEngines(t *testing.T) {
	for _, engineCount := range []int{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			const models, span = 4, 2 * time.Minute
			ww := newWeightWorld(t, models, engineCount, 0)
			defer ww.stop()
			ctx, cancel := context.WithTimeout(ww.ctx, span)
			defer cancel()
			var group sync.WaitGroup
			counts := make([]int, models)
			for at, model := range ww.models {
				group.Go(func() {
					var late int
					counts[at], late = ww.trainModel(ctx, model)
					require.Zero(t, late, "%s on %d engines", model, engineCount)
				})
			}
			group.Wait()
			t.Logf("%d engines: steps %v, loads %d", engineCount, counts, ww.loads())
			require.GreaterOrEqual(t, slices.Min(counts), int(span/stepTime))
		})
	}
}

package table_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/table"
)

// follower records the calls of a feed's callbacks.
type follower struct {
	rows      map[string]string
	lost      int
	recovered int
	seen      int
	changedAt time.Time
}

func (fo *follower) change(rows []table.Row) {
	fo.changedAt = time.Now()
	for _, ro := range rows {
		fo.seen++
		if ro.Deleted {
			delete(fo.rows, ro.ID.Key)
			continue
		}
		fo.rows[ro.ID.Key] = string(ro.Value)
	}
}

func put(t *testing.T, ro *fake.Rows, key, value string) {
	t.Helper()
	_, err := ro.Commit(context.Background(), table.Tx{Puts: []table.Put{{ID: table.ID{Table: "t", Key: key}, Value: []byte(value)}}})
	require.NoError(t, err)
}

func TestFeed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		do    func(t *testing.T, ro *fake.Rows)
		rows  map[string]string
		lost  int
		reset bool
	}{
		{"a change", func(t *testing.T, ro *fake.Rows) { put(t, ro, "a", "2") }, map[string]string{"a": "2"}, 0, false},
		{"a drop", func(t *testing.T, ro *fake.Rows) {
			_, err := ro.Commit(context.Background(), table.Tx{Drops: []table.ID{{Table: "t", Key: "a"}}})
			require.NoError(t, err)
		}, map[string]string{}, 0, false},
		{"a compacted history", func(t *testing.T, ro *fake.Rows) {
			require.NoError(t, ro.ApplyAndCompact(table.Tx{Puts: []table.Put{{ID: table.ID{Table: "t", Key: "b"}, Value: []byte("1")}}}))
		}, map[string]string{"a": "1", "b": "1"}, 0, true},
		{"an outage", func(t *testing.T, ro *fake.Rows) {
			ro.Set(fake.RowFaults{Refuse: true})
			time.Sleep(5 * time.Second)
			ro.Set(fake.RowFaults{})
			put(t, ro, "b", "1")
		}, map[string]string{"a": "1", "b": "1"}, 1, false},
		{"a store that does not respond", func(t *testing.T, ro *fake.Rows) {
			ro.Set(fake.RowFaults{Hang: true})
			time.Sleep(5 * time.Second)
			ro.Set(fake.RowFaults{})
			put(t, ro, "b", "1")
		}, map[string]string{"a": "1", "b": "1"}, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ro, fo := &fake.Rows{}, &follower{rows: map[string]string{}}
				put(t, ro, "a", "1")
				ctx, cancel := context.WithCancel(context.Background())
				resets := 0
				fe := &table.Feed{
					Store: ro, Clock: core.SystemClock{}, Logger: log.NewNopLogger(), Table: "t",
					Reset: func(rows []table.Row) { resets++; fo.change(rows) }, Change: fo.change,
					Lost: func() { fo.lost++ }, Recovered: func() { fo.recovered++ },
				}
				done := make(chan struct{})
				go func() { defer close(done); fe.Run(ctx) }()
				time.Sleep(time.Second)
				tc.do(t, ro)
				time.Sleep(3 * time.Second)
				cancel()
				<-done
				require.Equal(t, tc.rows, fo.rows)
				require.Equal(t, tc.lost, fo.lost)
				require.Equal(t, tc.lost, fo.recovered, "each outage ends once")
				require.Equal(t, tc.reset, resets > 1)
			})
		})
	}
}

// The load pattern: the store swallows all calls for seconds, for a process that runs and
// for one that starts meanwhile. Its return must be noticed soon, whenever it comes.
func TestReplaySilentStore(t *testing.T) {
	for name, starts := range map[string]bool{"runs": false, "starts": true} {
		bound := 600 * time.Millisecond
		if starts {
			bound = 750 * time.Millisecond // a list may take longer than a watch
		}
		t.Run(name, func(t *testing.T) {
			const phases = 40
			var sum time.Duration
			for at := range phases {
				synctest.Test(t, func(t *testing.T) {
					sum += recoveryTime(t, starts, 6*time.Second+time.Duration(at)*100*time.Millisecond)
				})
			}
			t.Logf("noticed after %v on average", sum/phases)
			require.Less(t, sum/phases, bound)
		})
	}
}

// The load pattern: so many processes follow a table that their watches alone exceed the
// rate of the store. All of them must follow it soon, without a call refused from then on,
// and see a change at once.
func TestReplayOverloadedStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const feeds, rate = 100, 60
		ro := &fake.Rows{}
		put(t, ro, "a", "1")
		ro.Set(fake.RowFaults{ReadsPerSecond: rate})
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		var mutex sync.Mutex
		seen := map[int]string{}
		for at := range feeds {
			change := func(rows []table.Row) {
				mutex.Lock()
				defer mutex.Unlock()
				seen[at] = string(rows[len(rows)-1].Value)
			}
			fe := &table.Feed{Store: ro, Clock: core.SystemClock{}, Logger: log.NewNopLogger(), Table: "t", Reset: change, Change: change}
			group.Go(func() { fe.Run(ctx) })
		}
		time.Sleep(9 * time.Second)
		refused := ro.RefusedReads()
		time.Sleep(3 * time.Second)
		more := ro.RefusedReads() - refused
		t.Logf("%d of %d follow, %d reads refused in 9 s, %d in 3 s more", len(seen), feeds, refused, more)
		require.Len(t, seen, feeds)
		require.Less(t, more, 3*rate/10)
		ro.Set(fake.RowFaults{})
		put(t, ro, "a", "2")
		time.Sleep(100 * time.Millisecond)
		mutex.Lock()
		late := 0
		for _, value := range seen {
			if value != "2" {
				late++
			}
		}
		mutex.Unlock()
		require.Less(t, late, feeds/10, "a change is seen at once")
		cancel()
		group.Wait()
	})
}

// recoveryTime returns how long after an outage a feed has the rows written at its end.
func recoveryTime(t *testing.T, starts bool, outage time.Duration) time.Duration {
	ro, fo := &fake.Rows{}, &follower{rows: map[string]string{}}
	put(t, ro, "a", "1")
	ro.Set(fake.RowFaults{Hang: starts})
	ctx, cancel := context.WithCancel(context.Background())
	fe := &table.Feed{
		Store: ro, Clock: core.SystemClock{}, Logger: log.NewNopLogger(), Table: "t", Reset: fo.change, Change: fo.change,
	}
	done := make(chan struct{})
	go func() { defer close(done); fe.Run(ctx) }()
	time.Sleep(time.Second)
	ro.Set(fake.RowFaults{Hang: true})
	time.Sleep(outage)
	ro.Set(fake.RowFaults{})
	put(t, ro, "b", "1")
	back := time.Now()
	time.Sleep(3 * time.Second)
	cancel()
	<-done
	require.Len(t, fo.rows, 2)
	return fo.changedAt.Sub(back)
}

// ListAll returns the version of the first page. A watch from a later page's version
// would miss changes between the pages.
func TestListAll(t *testing.T) {
	ro := &fake.Rows{}
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		put(t, ro, key, key)
	}
	page, err := table.ListAll(context.Background(), ro, table.Range{Table: "t", Limit: 2})
	require.NoError(t, err)
	require.Len(t, page.Rows, 5)
	require.EqualValues(t, 5, page.Version)
}

package table_test

import (
	"context"
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
}

func (fo *follower) change(rows []table.Row) {
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

package store_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/store"
)

func platform(t *testing.T) (*fake.Platform, string) {
	t.Helper()
	pl := &fake.Platform{}
	se := httptest.NewServer(pl.Handler())
	t.Cleanup(se.Close)
	return pl, se.URL
}

// Checks conditions, atomicity and errors of transactions through the vendor's client
// library.
func TestTable(t *testing.T) {
	pl, url := platform(t)
	ta := store.NewTable(store.Access{URL: url, KeyID: "k", Secret: "s", Timeout: time.Minute}, "bilberryshelf")
	ctx := context.Background()
	put := func(key, value string, when store.Condition) store.Put {
		return store.Put{Key: key, Row: store.Row{"value": value}, When: when}
	}
	_, err := ta.Get(ctx, "one")
	require.ErrorIs(t, err, store.ErrNoRow)
	require.NoError(t, ta.Transact(ctx, []store.Put{put("one", "1", store.Absent()), put("two", "2", store.Absent())}))
	for _, tc := range []struct {
		name string
		puts []store.Put
		err  error
	}{
		{"row exists", []store.Put{put("three", "3", store.Absent()), put("one", "9", store.Absent())}, store.ErrCondition},
		{"another value", []store.Put{put("one", "9", store.Equals("value", "8"))}, store.ErrCondition},
		{"no such row", []store.Put{put("four", "9", store.Equals("value", "8"))}, store.ErrCondition},
		{"as expected", []store.Put{put("one", "10", store.Equals("value", "1")), put("five", "5", store.Absent())}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.ErrorIs(t, ta.Transact(ctx, tc.puts), tc.err)
		})
	}
	_, err = ta.Get(ctx, "three")
	require.ErrorIs(t, err, store.ErrNoRow, "a failed transaction writes no row")
	row, err := ta.Get(ctx, "one")
	require.NoError(t, err)
	require.Equal(t, "10", row["value"])

	pl.Set(fake.Faults{LoseAnswers: 1})
	err = ta.Transact(ctx, []store.Put{put("lost", "1", store.Absent())})
	require.Error(t, err)
	require.NotErrorIs(t, err, store.ErrCondition, "after a lost response the transaction may have taken effect")
	_, err = ta.Get(ctx, "lost")
	require.NoError(t, err, "the transaction took effect")
	pl.Set(fake.Faults{Down: true})
	_, err = ta.Get(ctx, "one")
	require.Error(t, err)
	require.NotErrorIs(t, err, store.ErrNoRow, "an outage does not mean that the row is missing")
}

func TestObjects(t *testing.T) {
	_, url := platform(t)
	ob := store.NewObjects(store.Access{URL: url + "/objects", KeyID: "k", Secret: "s", Timeout: time.Minute}, "bucket")
	ctx := context.Background()
	_, err := ob.Read(ctx, "book/1-a")
	require.ErrorIs(t, err, store.ErrNoRow)
	require.NoError(t, ob.Write(ctx, "book/1-a", []byte("whole")))
	body, err := ob.Read(ctx, "book/1-a")
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}

// Returns the cached list while it is unchanged, and the new one after a change.
func TestList(t *testing.T) {
	pl, url := platform(t)
	li := store.NewList(store.Access{URL: url + "/instances"})
	ctx := context.Background()
	in := store.Instance{Name: "t-1", Role: store.RoleGuard, Service: "lm", Region: "r", Domain: "r-a", Addr: "10.0.0.1:7100", State: core.Serving}
	pl.SetInstances([]store.Instance{in})
	for range 2 {
		got, err := li.Fetch(ctx)
		require.NoError(t, err)
		require.Equal(t, []store.Instance{in}, got)
	}
	in.State = core.Draining
	pl.SetInstances([]store.Instance{in})
	got, err := li.Fetch(ctx)
	require.NoError(t, err)
	require.Equal(t, core.Draining, got[0].State)
	pl.Set(fake.Faults{Down: true})
	_, err = li.Fetch(ctx)
	require.Error(t, err)
}

package intake_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/fake"
)

// call sends a plain request to an entry.
func (cl *cluster) call(node int, id string) {
	cl.t.Helper()
	route, _, err := cl.entries[node].FindRoute("h", "/score/x")
	require.Nil(cl.t, err)
	rs, err := cl.entries[node].Call(context.Background(), calls.Request{
		ID: id, Method: http.MethodPost, URI: "/score/x", Host: "h", Header: http.Header{}, Route: route, Deadline: time.Now().Add(time.Second),
	})
	require.Nil(cl.t, err)
	require.Equal(cl.t, http.StatusOK, rs.Status)
}

// A target that says in a response that it leaves gets no request from this entry after
// that response has been passed on: no item, no resumption, no scoring call, no plain
// request. The registry lists it as usual all the while, lists it anew, or can't be read.
func TestTargetLeaves(t *testing.T) {
	for name, registry := range map[string]func(t *testing.T, cl *cluster){
		"listed as usual": func(*testing.T, *cluster) {},
		"written again":   func(_ *testing.T, cl *cluster) { cl.put(targetTable, "lm1"); cl.put(targetTable, "desk1") },
		"listed from the start": func(t *testing.T, cl *cluster) {
			cl.rows.Compact()
			cl.put(targetTable, "lm3")
		},
		"unavailable": func(_ *testing.T, cl *cluster) {
			cl.rows.Set(fake.RowFaults{Refuse: true})
			time.Sleep(time.Second)
			cl.rows.Set(fake.RowFaults{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 1)
				defer cl.stop()
				an := cl.clients[0]
				first := job("j1", 6)
				require.Nil(t, cl.submit(0, first))
				time.Sleep(200 * time.Millisecond) // runs are in progress on each engine
				an.setLeaving("lm1", "desk1")
				second := job("j2", 6)
				require.Nil(t, cl.submit(0, second))
				for at := range 10 {
					cl.call(0, fmt.Sprint("c", at))
				}
				time.Sleep(time.Second)
				require.True(t, an.departures.Departing(target("lm1", 0)), "an item of the second job met it")
				require.True(t, an.departures.Departing(target("desk1", 0)))
				from := time.Now()
				registry(t, cl)
				for at := range 20 {
					cl.call(0, fmt.Sprint("d", at))
				}
				third := job("j3", 6)
				require.Nil(t, cl.submit(0, third))
				time.Sleep(8 * time.Second)
				for _, ids := range [][2]string{{"lm1", "lm2"}, {"desk1", "desk2"}} {
					require.Zero(t, an.countSince(ids[0], from), "%s leaves", ids[0])
					require.NotZero(t, an.countSince(ids[1], from))
				}
				cl.requireComplete(0, first)
				cl.requireComplete(0, second)
				cl.requireComplete(0, third)

				cl.startedAt.Store(1) // the targets start again with the same ids
				an.setLeaving()
				for _, id := range []string{"lm1", "desk1"} {
					cl.put(targetTable, id)
				}
				time.Sleep(time.Second)
				from = time.Now()
				fourth := job("j4", 6)
				require.Nil(t, cl.submit(0, fourth))
				time.Sleep(5 * time.Second)
				cl.requireComplete(0, fourth)
				require.NotZero(t, an.countSince("lm1", from), "another incarnation gets work")
				require.NotZero(t, an.countSince("desk1", from))
			})
		})
	}
}

// Runs that are in progress when their engine announces that it leaves go on there.
func TestRunsOfLeavingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		jo := job("j1", 6)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(100 * time.Millisecond)
		cl.clients[0].departures.Announce(time.Now(), target("lm1", 0))
		time.Sleep(8 * time.Second)
		cl.requireComplete(0, jo)
		for id, count := range cl.engines.runs {
			require.Equal(t, 1, count, id)
		}
	})
}

package intake_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/poison"
	"bilberryshelf/table"
)

// The load pattern: a request that crashes every target is sent again and again, each
// time to another entry and under a new id. The entries share the losses, so that
// all of them refuse it after the deaths that one entry would permit.
func TestLossesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		cl.sender.crash = "bad"
		send := func(node int, id string) *core.Error {
			_, err := cl.entries[node].Call(context.Background(), calls.Request{
				ID: id, Method: "POST", URI: "/score/x", Host: "h", Body: []byte("bad"), Deadline: time.Now().Add(time.Second),
				Route: conf.Route{Name: "score", Kind: conf.NonIdempotent, Attempts: 1, Shares: []conf.Share{{Service: "desk", Weight: 1}}},
			})
			return err
		}
		for at := range 4 * poison.MaxDeathsAtOne {
			require.NotNil(t, send(at%3, "r"+strconv.Itoa(at)))
			cl.restartCrashed()
		}
		cl.sender.mutex.Lock()
		reached := len(cl.sender.calls)
		cl.sender.mutex.Unlock()
		require.GreaterOrEqual(t, reached, poison.MaxDeaths)
		require.LessOrEqual(t, reached, poison.MaxDeathsAtOne, "the same bound as if one entry had received all requests")
		for node := range cl.entries {
			require.Equal(t, core.CodePoison, send(node, "again").Code)
		}
		time.Sleep(poison.DefaultTTL + time.Minute)
		page, err := cl.rows.List(context.Background(), table.Range{Table: poison.Table})
		require.NoError(t, err)
		require.Empty(t, page.Rows, "expired losses are deleted from the store")
	})
}

// After all entries were killed and started again, a request that crashes targets is still
// refused at each of them.
func TestLossesAfterAllEntriesDied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		re := calls.Request{
			Method: "POST", URI: "/score/x", Host: "h", Body: []byte("bad"), Deadline: time.Now().Add(time.Minute),
			Route: conf.Route{Name: "score", Kind: conf.NonIdempotent, Attempts: 1, Shares: []conf.Share{{Service: "desk", Weight: 1}}},
		}
		cl.sender.crash = "bad"
		for at := range 2 * poison.MaxDeathsAtOne {
			re.ID = "r" + strconv.Itoa(at)
			_, err := cl.entries[at%3].Call(context.Background(), re)
			require.NotNil(t, err)
			cl.restartCrashed()
		}
		cl.kill(0, 1, 2)
		for node := range cl.entries {
			cl.start(node)
		}
		time.Sleep(100 * time.Millisecond)
		for node := range cl.entries {
			_, err := cl.entries[node].Call(context.Background(), re)
			require.Equal(t, core.CodePoison, err.Code, "known from the rows")
		}
	})
}

// restartCrashed removes the target that crashed last from the registry and lists it
// again, as when it restarts under the same id.
func (cl *cluster) restartCrashed() {
	cl.sender.mutex.Lock()
	target := cl.sender.crashed
	cl.sender.crashed = ""
	cl.sender.mutex.Unlock()
	if target != "" {
		_, err := cl.rows.Commit(context.Background(), table.Tx{Drops: []table.ID{{Table: targetTable, Key: target}}})
		require.NoError(cl.t, err)
		time.Sleep(time.Second)
		cl.put(targetTable, target)
	}
	time.Sleep(time.Second)
}

// Targets that died while they ran the scoring call of a sound item, in a burst of crashes,
// had the call refused for the next ten minutes: the item was complete and never listed.
func TestScoringCallCondemnedByBurstOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		for _, id := range []string{"desk3", "desk4"} {
			cl.put(targetTable, id)
		}
		time.Sleep(time.Second)
		jo := job("j1", 2)
		jo.Items[0].Scorer.Body = []byte("unlucky")
		cl.sender.crash, cl.sender.down = "unlucky", map[string]bool{}
		require.Nil(t, cl.submit(0, jo))
		for range 2 * poison.MaxDeathsAtOne {
			time.Sleep(300 * time.Millisecond)
			cl.sender.mutex.Lock()
			clear(cl.sender.down) // the targets start again
			cl.sender.mutex.Unlock()
		}
		cl.sender.mutex.Lock()
		require.GreaterOrEqual(t, cl.sender.calls["s-"+jo.Items[0].ID], poison.MaxDeaths)
		cl.sender.crash = ""
		cl.sender.mutex.Unlock()
		time.Sleep(5 * time.Second)
		cl.requireComplete(0, jo)
	})
}

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

// The load pattern: a request that crashes each target that runs it comes again
// at another entry each time, under a new id.
func TestLossesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 3)
		defer wo.stop()
		wo.sender.crash = "bad"
		send := func(node int, id string) *core.Error {
			_, err := wo.entries[node].Call(context.Background(), calls.Request{
				ID: id, Method: "POST", URI: "/score/x", Host: "h", Body: []byte("bad"), Deadline: time.Now().Add(time.Second),
				Route: conf.Route{Name: "score", Kind: conf.NonIdempotent, Attempts: 1, Shares: []conf.Share{{Service: "desk", Weight: 1}}},
			})
			return err
		}
		for at := range 4 * poison.MaxDeathsAtOne {
			require.NotNil(t, send(at%3, "r"+strconv.Itoa(at)))
			wo.restartCrashed()
		}
		wo.sender.mutex.Lock()
		reached := len(wo.sender.calls)
		wo.sender.mutex.Unlock()
		require.GreaterOrEqual(t, reached, poison.MaxDeaths)
		require.LessOrEqual(t, reached, poison.MaxDeathsAtOne, "as few as if one entry had seen all")
		for node := range wo.entries {
			require.Equal(t, core.CodePoison, send(node, "again").Code)
		}
		time.Sleep(poison.DefaultTTL + time.Minute)
		page, err := wo.rows.List(context.Background(), table.Range{Table: poison.Table})
		require.NoError(t, err)
		require.Empty(t, page.Rows, "lapsed losses are dropped from the store")
	})
}

// restartCrashed lets the registry drop the target that crashed last, and list it
// again, as one that starts under its id.
func (wo *cluster) restartCrashed() {
	wo.sender.mutex.Lock()
	target := wo.sender.crashed
	wo.sender.crashed = ""
	wo.sender.mutex.Unlock()
	if target != "" {
		_, err := wo.rows.Commit(context.Background(), table.Tx{Drops: []table.ID{{Table: targetTable, Key: target}}})
		require.NoError(wo.t, err)
		time.Sleep(time.Second)
		wo.put(targetTable, target)
	}
	time.Sleep(time.Second)
}

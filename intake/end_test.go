package intake_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/table"
)

// busyJob submits a job that lists results all the time.
func busyJob(cl *cluster, node int) *batch.Job {
	jo := job("j1", 300)
	require.Nil(cl.t, cl.submit(node, jo))
	time.Sleep(time.Second)
	return jo
}

// requireEnded checks that a job is ended and that none of its items run any more.
func (cl *cluster) requireEnded(job string) {
	cl.t.Helper()
	vh, err := batch.Ledger{Store: cl.rows}.Find(context.Background(), job)
	require.NoError(cl.t, err)
	require.True(cl.t, vh.Head.Ended)
	cl.engines.mutex.Lock()
	defer cl.engines.mutex.Unlock()
	for id, count := range cl.engines.running {
		require.Zero(cl.t, count, id)
	}
}

// Guards against a job that cannot be ended from another region than the store's, since its
// owner changes its head between the read and the write of the end (review/9).
func TestEndOfBusyJob(t *testing.T) {
	for _, latency := range []time.Duration{4, 30, 60, 200} {
		t.Run(fmt.Sprint(latency*time.Millisecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3)
				defer cl.stop()
				busyJob(cl, 0)
				ender := (cl.owner("j1") + 1) % 3
				cl.links[ender].setLatency(latency * time.Millisecond)
				started := time.Now()
				require.Nil(t, cl.entries[ender].EndJob(context.Background(), "j1"))
				require.Less(t, time.Since(started), 2*time.Second, "the time that a client waits")
				time.Sleep(time.Second)
				cl.requireEnded("j1")
			})
		})
	}
}

// Guards against a sealed job that runs on, or is run again by another entry, because the entry
// that sealed it did not live to end it.
func TestSealedJobIsEnded(t *testing.T) {
	for name, do := range map[string]func(cl *cluster, owner int){
		"owner alive":                  func(*cluster, int) {},
		"owner killed":                 func(cl *cluster, owner int) { cl.kill(owner) },
		"owner killed and started":     func(cl *cluster, owner int) { cl.kill(owner); cl.start(owner) },
		"owner stopped":                func(cl *cluster, owner int) { go cl.entries[owner].Stop() },
		"owner cut off from the store": func(cl *cluster, owner int) { cl.links[owner].setCut(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3)
				defer cl.stop()
				busyJob(cl, 0)
				owner := cl.owner("j1")
				require.NoError(t, batch.Ledger{Store: cl.rows}.Seal(context.Background(), "j1"))
				listed := len(cl.read((owner+1)%3, "j1"))
				do(cl, owner)
				time.Sleep(10 * time.Second)
				cl.requireEnded("j1")
				require.Len(t, cl.read((owner+1)%3, "j1"), listed, "nothing is listed after the seal")
			})
		})
	}
}

// Guards against a job that a stopping owner does not release, since a write of results that is
// still in flight changes the head: others would adopt it only once the owner counts as dead.
func TestBusyJobIsReleased(t *testing.T) {
	for _, latency := range []time.Duration{4, 30, 60, 200} {
		t.Run(fmt.Sprint(latency*time.Millisecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3)
				defer cl.stop()
				require.Nil(t, cl.submit(0, job("j1", 600)))
				time.Sleep(time.Second)
				owner := cl.owner("j1")
				cl.links[owner].setLatency(latency * time.Millisecond)
				cl.entries[owner].Stop()
				vh, err := batch.Ledger{Store: cl.rows}.Find(context.Background(), "j1")
				require.NoError(t, err)
				require.True(t, vh.Head.Open(), "the job is still busy")
				require.NotEqual(t, uint64(1), vh.Head.Epoch, "released or adopted")
			})
		})
	}
}

// Guards against partial texts of an ended job that stay in the store, since their save was in
// flight as the job ended.
func TestEndDuringSaveLeavesNoPartialTexts(t *testing.T) {
	for after := time.Duration(0); after < 2*time.Second; after += 100 * time.Millisecond {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3)
				defer cl.stop()
				busyJob(cl, 0)
				owner := cl.owner("j1")
				cl.links[owner].setLatency(300 * time.Millisecond)
				time.Sleep(after)
				require.Nil(t, cl.entries[owner].EndJob(context.Background(), "j1"))
				time.Sleep(3 * time.Second)
				page, err := cl.rows.List(context.Background(), table.Range{Table: batch.PartialTable, Part: "j1"})
				require.NoError(t, err)
				require.Empty(t, page.Rows)
			})
		})
	}
}

package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
)

// requireOneVersion checks that each complete text of a job has events of one software
// version only.
func (cl *cluster) requireOneVersion(jo *batch.Job) {
	cl.t.Helper()
	cl.engines.mutex.Lock()
	defer cl.engines.mutex.Unlock()
	for _, it := range jo.Items {
		require.LessOrEqual(cl.t, len(cl.engines.origins[it.ID]), 1, "%s has events of %v", it.ID, cl.engines.origins[it.ID])
	}
}

// setSoftware lists targets with a version of their software.
func (cl *cluster) setSoftware(version string, ids ...string) {
	for _, id := range ids {
		cl.software.Store(id, version)
		cl.put(targetTable, id)
	}
}

// newMixedCluster returns a cluster with two engines of each of two software versions.
func newMixedCluster(t *testing.T, entries int) *cluster {
	t.Helper()
	cl := newCluster(t, entries)
	cl.put(targetTable, "lm4")
	cl.setSoftware("v1", "lm1", "lm2")
	cl.setSoftware("v2", "lm3", "lm4")
	time.Sleep(time.Second)
	return cl
}

// An item that was interrupted on an engine of one software version continued on an engine
// of another one: after a stall, after a target left, and from a text in the store.
func TestTextContinuesOnOtherSoftware(t *testing.T) {
	for name, trouble := range map[string]func(cl *cluster){
		"each first run hangs": func(cl *cluster) {
			cl.engines.mutex.Lock()
			defer cl.engines.mutex.Unlock()
			cl.engines.hangFirst = true
		},
		"an engine stalls": func(cl *cluster) {
			time.Sleep(400 * time.Millisecond)
			cl.engines.mutex.Lock()
			defer cl.engines.mutex.Unlock()
			cl.engines.stalled["lm1"] = true
		},
		"all engines of a version are gone": func(cl *cluster) {
			time.Sleep(400 * time.Millisecond)
			cl.drop(targetTable, "lm1")
			cl.drop(targetTable, "lm2")
		},
		"the owner dies": func(cl *cluster) {
			time.Sleep(2 * time.Second) // long texts are saved
			owner := cl.owner("j1")
			cl.entries[owner].Kill()
		},
		"the owner dies and the version is gone": func(cl *cluster) {
			time.Sleep(2 * time.Second)
			owner := cl.owner("j1")
			cl.entries[owner].Kill()
			cl.drop(targetTable, "lm1")
			cl.drop(targetTable, "lm2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newMixedCluster(t, 3)
				defer cl.stop()
				jo := job("j1", 10)
				require.Nil(t, cl.submit(0, jo))
				trouble(cl)
				time.Sleep(25 * time.Second)
				cl.requireComplete(cl.live(), jo)
				cl.requireOneVersion(jo)
			})
		})
	}
}

// While engines of the version that began a text serve, it goes on there and is not begun
// anew, however often its runs are interrupted.
func TestTextBegunAnewWhileItsSoftwareServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newMixedCluster(t, 1)
		defer cl.stop()
		cl.engines.mutex.Lock()
		cl.engines.hangFirst = true
		cl.engines.mutex.Unlock()
		jo := job("j1", 5)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(25 * time.Second)
		cl.requireComplete(0, jo)
		cl.requireOneVersion(jo)
		cl.engines.mutex.Lock()
		defer cl.engines.mutex.Unlock()
		for _, it := range jo.Items {
			require.Equal(t, length(it.ID), cl.engines.generated[it.ID], "%s: no event was generated twice", it.ID)
		}
	})
}

// An item whose text can't go on, since the engines of its software take no work for long,
// is begun anew on the others rather than held.
func TestTextWaitsForSoftwareThatTakesNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.setSoftware("v1", "lm1")
		cl.setSoftware("v2", "lm2", "lm3")
		time.Sleep(time.Second)
		jo := job("j1", 5)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(400 * time.Millisecond)
		cl.engines.mutex.Lock()
		cl.engines.stalled["lm1"] = true
		cl.engines.mutex.Unlock()
		time.Sleep(5 * time.Second)
		cl.requireOneVersion(jo)
		cl.requireComplete(0, jo)
	})
}

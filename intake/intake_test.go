package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/intake"
	"bilberryshelf/runs"
)

func TestJobCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 2)
		defer wo.stop()
		jo := job("j1", 12)
		require.Nil(t, wo.submit(0, jo))
		require.Nil(t, wo.submit(1, jo), "the same job again, at another entry")
		time.Sleep(6 * time.Second)
		wo.requireComplete(0, jo)
		wo.requireComplete(1, jo)
		body, err := wo.entries[1].Body(context.Background(), "j1", "j1-i3")
		require.Nil(t, err)
		require.Equal(t, jo.Items[3].Body, body)
	})
}

// All jobs of a route run at one entry, wherever they were submitted. One that
// does not take a job loses it to the entry that accepted it.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 3)
		defer wo.stop()
		for at := range 3 {
			require.Nil(t, wo.submit(at, job("j"+string(rune('0'+at)), 3)))
		}
		time.Sleep(200 * time.Millisecond)
		owner := wo.owner("j0")
		require.Equal(t, owner, wo.owner("j1"))
		require.Equal(t, owner, wo.owner("j2"))
		time.Sleep(5 * time.Second)
		wo.entries[owner].Kill()
		time.Sleep(100 * time.Millisecond) // nobody knows yet
		other := (owner + 1) % 3
		last := job("j9", 3)
		require.Nil(t, wo.submit(other, last))
		time.Sleep(800 * time.Millisecond)
		require.Equal(t, other, wo.owner("j9"))
		time.Sleep(5 * time.Second)
		wo.requireComplete(other, last)
	})
}

// A job is dropped from the store long after its results had to be readable.
func TestJobRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 2)
		defer wo.stop()
		jo := job("j1", 2)
		require.Nil(t, wo.submit(0, jo))
		time.Sleep(intake.JobRetention - time.Minute)
		wo.requireComplete(1, jo)
		time.Sleep(2 * time.Minute)
		_, err := wo.entries[1].Results(context.Background(), "j1", 0, 0)
		require.NotNil(t, err)
		require.Equal(t, core.CodeUnknownJob, err.Code)
	})
}

// A read waits for a result, and an early one comes as soon as it is listed.
func TestReadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 2)
		defer wo.stop()
		require.Nil(t, wo.submit(0, job("j1", 3)))
		began := time.Now()
		li, err := wo.entries[1].Results(context.Background(), "j1", 0, 5*time.Second)
		require.Nil(t, err)
		require.NotEmpty(t, li.Results)
		require.Less(t, time.Since(began), time.Second)
		_, err = wo.entries[1].Results(context.Background(), "j2", 0, 0)
		require.NotNil(t, err)
		require.Equal(t, core.CodeUnknownJob, err.Code)
	})
}

// The owner dies, freezes or is parted from the store; the job goes on, and
// what was listed stays.
func TestOwnerLost(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(wo *cluster, owner int)
		mend func(wo *cluster, owner int)
	}{
		{"killed", func(wo *cluster, owner int) { wo.entries[owner].Kill() }, nil},
		{"killed and started again", func(wo *cluster, owner int) { wo.entries[owner].Kill(); wo.start(owner) }, nil},
		{"parted from the store", func(wo *cluster, owner int) { wo.links[owner].setCut(true) }, func(wo *cluster, owner int) { wo.links[owner].setCut(false) }},
		{"stopped as planned", func(wo *cluster, owner int) { go wo.entries[owner].Stop() }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wo := newCluster(t, 3)
				defer wo.stop()
				jo := job("j1", 12)
				require.Nil(t, wo.submit(0, jo))
				time.Sleep(900 * time.Millisecond)
				owner := wo.owner("j1")
				other, third := (owner+1)%3, (owner+2)%3
				before := wo.read(other, "j1")
				require.NotEmpty(t, before)
				tc.do(wo, owner)
				time.Sleep(10 * time.Second)
				if tc.mend != nil {
					tc.mend(wo, owner)
					time.Sleep(5 * time.Second)
				}
				wo.engines.concurrent = 0 // a former owner may still run what it has
				wo.requireComplete(other, jo)
				require.Equal(t, before, wo.read(third, "j1")[:len(before)])
			})
		})
	}
}

// During an outage work goes on, nothing is listed, submissions are refused
// truthfully, and all is listed at its end.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 2)
		defer wo.stop()
		jo := job("j1", 12)
		require.Nil(t, wo.submit(0, jo))
		time.Sleep(300 * time.Millisecond)
		wo.rows.Set(fake.RowFaults{Refuse: true})
		commits := wo.rows.Commits()
		time.Sleep(8 * time.Second)
		err := wo.submit(1, job("j2", 1))
		require.NotNil(t, err)
		require.Equal(t, core.NotRun, err.Verdict)
		require.Positive(t, err.RetryAfter)
		require.Equal(t, commits, wo.rows.Commits())
		wo.rows.Set(fake.RowFaults{})
		time.Sleep(time.Second)
		wo.requireComplete(1, jo)
		require.Zero(t, wo.engines.runs["j2-i0"], "it was refused")
	})
}

// The load pattern: trainers submit and read while the store is silent for
// seconds. Nobody is held by a call that can't be answered, and the first call
// after the outage is served.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 2)
		defer wo.stop()
		jo := job("j1", 12)
		require.Nil(t, wo.submit(0, jo))
		time.Sleep(300 * time.Millisecond)
		wo.rows.Set(fake.RowFaults{Silent: true})
		time.Sleep(4 * time.Second)
		ctx := context.Background()
		for node, en := range wo.entries {
			began := time.Now()
			_, results := en.Results(ctx, "j1", 0, time.Second)
			_, body := en.Body(ctx, "j1", "j1-i0")
			for _, err := range []*core.Error{wo.submit(node, job("j2", 1)), results, body, en.End(ctx, "j1")} {
				require.NotNil(t, err)
				require.Equal(t, core.CodePlatformDown, err.Code)
				require.Equal(t, core.NotRun, err.Verdict)
				require.Positive(t, err.RetryAfter)
			}
			require.Zero(t, time.Since(began), "it is known that they can't be served")
		}
		wo.rows.Set(fake.RowFaults{})
		time.Sleep(2 * time.Second)
		require.Nil(t, wo.submit(1, job("j3", 1)))
		time.Sleep(2 * time.Second)
		wo.requireComplete(1, jo)
		require.Zero(t, wo.engines.runs["j2-i0"], "it was refused")
	})
}

// A submission whose answer is lost is no refusal: the job may be kept.
func TestSubmissionInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 2)
		defer wo.stop()
		jo := job("j1", 3)
		wo.rows.Set(fake.RowFaults{LateWrites: 1, Late: 2 * time.Second})
		err := wo.submit(0, jo)
		if err != nil {
			require.Equal(t, core.MayHaveRun, err.Verdict)
		}
		time.Sleep(8 * time.Second)
		wo.requireComplete(1, jo)
	})
}

// The load pattern: jobs are submitted at entries whose time of day is wrong by
// hours. Nothing is given up, forgotten or left without an owner for it.
func TestWrongClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 3)
		defer wo.stop()
		jobs := []*batch.Job{job("j0", 6), job("j1", 6)}
		for node, jo := range jobs {
			require.Nil(t, wo.submit(node, jo))
			wo.shiftSubmitted(jo.ID, time.Duration(2*node-1)*3*time.Hour)
		}
		time.Sleep(500 * time.Millisecond)
		owner := wo.owner("j0")
		wo.entries[owner].Kill()
		<-wo.ended[owner]
		time.Sleep(20 * time.Second)
		for node := range wo.entries {
			if node != owner {
				for _, jo := range jobs {
					wo.requireComplete(node, jo)
				}
			}
		}
	})
}

// An ended job takes no more results, and its items stop within the bound.
func TestEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 2)
		defer wo.stop()
		require.Nil(t, wo.submit(0, job("j1", 12)))
		time.Sleep(500 * time.Millisecond)
		require.Nil(t, wo.entries[1].End(context.Background(), "j1"))
		require.Nil(t, wo.entries[0].End(context.Background(), "j1"), "again")
		time.Sleep(time.Second)
		listed := len(wo.read(0, "j1"))
		for id, count := range wo.engines.running {
			require.Zero(t, count, id)
		}
		time.Sleep(5 * time.Second)
		require.Len(t, wo.read(1, "j1"), listed)
	})
}

// What was generated for an item that was not listed serves the next job.
func TestPartialTexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 2)
		defer wo.stop()
		first := job("j1", 12)
		require.Nil(t, wo.submit(0, first))
		time.Sleep(1500 * time.Millisecond) // long items have some 35 of 60 events
		require.Nil(t, wo.entries[0].End(context.Background(), "j1"))
		time.Sleep(time.Second)
		second := job("j2", 0)
		for _, it := range first.Items {
			if length(it.ID) > 30 {
				second.Items = append(second.Items, it)
			}
		}
		require.Nil(t, wo.submit(1, second))
		time.Sleep(1500 * time.Millisecond)
		wo.requireComplete(0, second)
	})
}

// The load pattern: an owner is lost near the end of a step. Its long items go on
// behind what was saved of them.
func TestReplaySavedTexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 3)
		defer wo.stop()
		jo := job("j1", 12)
		require.Nil(t, wo.submit(0, jo))
		time.Sleep(2200 * time.Millisecond) // long items have some 50 of 60 events
		owner := wo.owner("j1")
		wo.entries[owner].Kill()
		time.Sleep(8 * time.Second)
		wo.requireComplete((owner+1)%3, jo)
		long := 0
		for _, it := range jo.Items {
			if length(it.ID) < 60 {
				continue
			}
			long++
			require.LessOrEqual(t, wo.engines.generated[it.ID], 60+30, "made again is what came after the last save")
		}
		require.Positive(t, long)
	})
}

// Items that cannot be done are errored after the tries that the route permits,
// and never before.
func TestErroredItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 1)
		defer wo.stop()
		jo := job("j1", 3)
		wo.engines.fail["j1-i0"] = runs.Failed
		wo.engines.fail["j1-i1"] = runs.Unservable
		wo.sender.failing["s-j1-i2"] = true
		require.Nil(t, wo.submit(0, jo))
		time.Sleep(10 * time.Second)
		states := map[string]batch.State{}
		for _, re := range wo.read(0, "j1") {
			states[re.ID] = re.State
		}
		require.Len(t, states, 12)
		require.Equal(t, batch.Errored, states["j1-i0"])
		require.Equal(t, batch.Errored, states["j1-i1"])
		require.Equal(t, batch.Errored, states["j1-i2"])
		require.Equal(t, batch.Completed, states["j1-i3"])
		require.Equal(t, route.Attempts, wo.engines.runs["j1-i0"])
		require.Equal(t, 1, wo.engines.runs["j1-i1"])
		require.Equal(t, 4, wo.sender.calls["s-j1-i2"])
	})
}

// The load pattern: an engine falls silent in the middle of a step. Its runs go
// on elsewhere behind their last event.
func TestReplaySilentEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 1)
		defer wo.stop()
		jo := job("j1", 6)
		require.Nil(t, wo.submit(0, jo))
		time.Sleep(500 * time.Millisecond)
		wo.engines.mutex.Lock()
		wo.engines.stalled["lm1"] = true
		wo.engines.mutex.Unlock()
		time.Sleep(4 * time.Second)
		wo.requireComplete(0, jo)
	})
}

// No event of a version that is too old for the job is listed.
func TestOldVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newCluster(t, 1)
		defer wo.stop()
		wo.engines.version = 0 // the registry told version 1
		jo := job("j1", 2)
		require.Nil(t, wo.submit(0, jo))
		time.Sleep(5 * time.Second)
		require.Empty(t, wo.read(0, "j1"))
		wo.engines.mutex.Lock()
		wo.engines.version = 1
		wo.engines.mutex.Unlock()
		time.Sleep(6 * time.Second)
		wo.requireComplete(0, jo)
	})
}

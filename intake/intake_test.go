package intake_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/calls"
	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/intake"
	"bilberryshelf/place"
	"bilberryshelf/runs"
	"bilberryshelf/table"
)

func TestJobCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		jo := job("j1", 12)
		require.Nil(t, cl.submit(0, jo))
		require.Nil(t, cl.submit(1, jo), "the same job again at another entry")
		time.Sleep(6 * time.Second)
		cl.requireComplete(0, jo)
		cl.requireComplete(1, jo)
		body, err := cl.entries[1].Body(context.Background(), "j1", "j1-i3")
		require.Nil(t, err)
		require.Equal(t, jo.Items[3].Body, body)
	})
}

// All jobs of a route run at its owner, no matter which entry accepted them. If the
// owner is dead, the accepting entry runs the job itself.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		for at := range 3 {
			require.Nil(t, cl.submit(at, job("j"+string(rune('0'+at)), 3)))
		}
		time.Sleep(200 * time.Millisecond)
		owner := cl.owner("j0")
		require.Equal(t, owner, cl.owner("j1"))
		require.Equal(t, owner, cl.owner("j2"))
		time.Sleep(5 * time.Second)
		cl.entries[owner].Kill()
		time.Sleep(100 * time.Millisecond) // shorter than the detection of the death
		other := (owner + 1) % 3
		last := job("j9", 3)
		require.Nil(t, cl.submit(other, last))
		time.Sleep(800 * time.Millisecond)
		require.Equal(t, other, cl.owner("j9"))
		time.Sleep(5 * time.Second)
		cl.requireComplete(other, last)
	})
}

// A job is readable for JobRetention and deleted from the store afterwards.
func TestJobRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		jo := job("j1", 2)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(intake.JobRetention - time.Minute)
		cl.requireComplete(1, jo)
		time.Sleep(2 * time.Minute)
		_, err := cl.entries[1].Results(context.Background(), "j1", 0, 0)
		require.NotNil(t, err)
		require.Equal(t, core.CodeUnknownJob, err.Code)
	})
}

// A read without results waits, and returns as soon as a result is listed.
func TestReadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		require.Nil(t, cl.submit(0, job("j1", 3)))
		began := time.Now()
		li, err := cl.entries[1].Results(context.Background(), "j1", 0, 5*time.Second)
		require.Nil(t, err)
		require.NotEmpty(t, li.Results)
		require.Less(t, time.Since(began), time.Second)
		_, err = cl.entries[1].Results(context.Background(), "j2", 0, 0)
		require.NotNil(t, err)
		require.Equal(t, core.CodeUnknownJob, err.Code)
	})
}

// When the owner is killed, stopped or partitioned from the store, the job completes
// and its listed results do not change.
func TestOwnerLost(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(cl *cluster, owner int)
		heal func(cl *cluster, owner int)
	}{
		{"killed", func(cl *cluster, owner int) { cl.entries[owner].Kill() }, nil},
		{"killed and started again", func(cl *cluster, owner int) { cl.entries[owner].Kill(); cl.start(owner) }, nil},
		{"partitioned from the store", func(cl *cluster, owner int) { cl.links[owner].setCut(true) }, func(cl *cluster, owner int) { cl.links[owner].setCut(false) }},
		{"stopped", func(cl *cluster, owner int) { go cl.entries[owner].Stop() }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3)
				defer cl.stop()
				jo := job("j1", 12)
				require.Nil(t, cl.submit(0, jo))
				time.Sleep(900 * time.Millisecond)
				owner := cl.owner("j1")
				other, third := (owner+1)%3, (owner+2)%3
				before := cl.read(other, "j1")
				require.NotEmpty(t, before)
				tc.do(cl, owner)
				time.Sleep(10 * time.Second)
				if tc.heal != nil {
					tc.heal(cl, owner)
					time.Sleep(5 * time.Second)
				}
				cl.engines.concurrent = 0 // the previous owner may still run its items
				cl.requireComplete(other, jo)
				require.Equal(t, before, cl.read(third, "j1")[:len(before)])
			})
		})
	}
}

// During an outage of the store running items continue, nothing is listed and
// submissions are refused as not run. All results are listed after the outage.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		jo := job("j1", 12)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(300 * time.Millisecond)
		cl.rows.Set(fake.RowFaults{Refuse: true})
		commits := cl.rows.Commits()
		time.Sleep(8 * time.Second)
		err := cl.submit(1, job("j2", 1))
		require.NotNil(t, err)
		require.Equal(t, core.NotRun, err.Verdict)
		require.Positive(t, err.RetryAfter)
		require.Equal(t, commits, cl.rows.Commits())
		cl.rows.Set(fake.RowFaults{})
		time.Sleep(time.Second)
		cl.requireComplete(1, jo)
		require.Zero(t, cl.engines.runs["j2-i0"], "the job was refused")
	})
}

// The load pattern: trainers submit and read while the store does not answer for
// seconds. Calls that need the store are refused without a wait, and submissions
// succeed again after the outage.
func TestUnresponsiveStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		jo := job("j1", 12)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(300 * time.Millisecond)
		cl.rows.Set(fake.RowFaults{Hang: true})
		time.Sleep(4 * time.Second)
		ctx := context.Background()
		for node, en := range cl.entries {
			began := time.Now()
			_, results := en.Results(ctx, "j1", 0, time.Second)
			_, body := en.Body(ctx, "j1", "j1-i0")
			for _, err := range []*core.Error{cl.submit(node, job("j2", 1)), results, body, en.EndJob(ctx, "j1")} {
				require.NotNil(t, err)
				require.Equal(t, core.CodePlatformDown, err.Code)
				require.Equal(t, core.NotRun, err.Verdict)
				require.Positive(t, err.RetryAfter)
			}
			require.Zero(t, time.Since(began), "calls that cannot be served are refused without a wait")
		}
		cl.rows.Set(fake.RowFaults{})
		time.Sleep(2 * time.Second)
		require.Nil(t, cl.submit(1, job("j3", 1)))
		time.Sleep(2 * time.Second)
		cl.requireComplete(1, jo)
		require.Zero(t, cl.engines.runs["j2-i0"], "the job was refused")
	})
}

// A submission whose write has an unknown outcome must not be reported as not run:
// here the job is stored late and completes.
func TestSubmissionInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		jo := job("j1", 3)
		cl.rows.Set(fake.RowFaults{DelayedWrites: 1, WriteDelay: 2 * time.Second})
		err := cl.submit(0, jo)
		if err != nil {
			require.Equal(t, core.MayHaveRun, err.Verdict)
		}
		time.Sleep(8 * time.Second)
		cl.requireComplete(1, jo)
	})
}

// The load pattern: jobs are submitted at entries whose clocks are wrong by hours. No
// job is abandoned, deleted or left without an owner because of that.
func TestWrongClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		jobs := []*batch.Job{job("j0", 6), job("j1", 6)}
		for node, jo := range jobs {
			require.Nil(t, cl.submit(node, jo))
			cl.shiftSubmitted(jo.ID, time.Duration(2*node-1)*3*time.Hour)
		}
		time.Sleep(500 * time.Millisecond)
		owner := cl.owner("j0")
		cl.entries[owner].Kill()
		<-cl.ended[owner]
		time.Sleep(20 * time.Second)
		for node := range cl.entries {
			if node != owner {
				for _, jo := range jobs {
					cl.requireComplete(node, jo)
				}
			}
		}
	})
}

// After the end of a job no more results are listed, and its items stop within a
// second.
func TestEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		require.Nil(t, cl.submit(0, job("j1", 12)))
		time.Sleep(500 * time.Millisecond)
		require.Nil(t, cl.entries[1].EndJob(context.Background(), "j1"))
		require.Nil(t, cl.entries[0].EndJob(context.Background(), "j1"), "again")
		time.Sleep(time.Second)
		listed := len(cl.read(0, "j1"))
		for id, count := range cl.engines.running {
			require.Zero(t, count, id)
		}
		time.Sleep(5 * time.Second)
		require.Len(t, cl.read(1, "j1"), listed)
	})
}

// The partial text of an item of an ended job is used by the next job.
func TestPartialTexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		first := job("j1", 12)
		require.Nil(t, cl.submit(0, first))
		time.Sleep(1500 * time.Millisecond) // long items have about 35 of 60 events
		require.Nil(t, cl.entries[0].EndJob(context.Background(), "j1"))
		time.Sleep(time.Second)
		second := job("j2", 0)
		for _, it := range first.Items {
			if length(it.ID) > 30 {
				second.Items = append(second.Items, it)
			}
		}
		require.Nil(t, cl.submit(1, second))
		time.Sleep(1500 * time.Millisecond)
		cl.requireComplete(0, second)
	})
}

// Guards against a text without end that goes on at a sound engine, which has nothing to add, so
// that it is listed as complete; and against one that fits no result and holds up all others.
func TestTextsThatCannotBeListed(t *testing.T) {
	for name, set := range map[string]func(en *engines){
		"one endless engine":   func(en *engines) { en.endless = map[string]bool{"lm2": true} },
		"two endless engines":  func(en *engines) { en.endless = map[string]bool{"lm2": true, "lm3": true} },
		"one oversized engine": func(en *engines) { en.oversized = map[string]bool{"lm2": true} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 2)
				defer cl.stop()
				set(cl.engines)
				jo := job("j1", 12)
				require.Nil(t, cl.submit(0, jo))
				time.Sleep(20 * time.Second)
				cl.requireComplete(1, jo)
			})
		})
	}
}

// Guards against texts that together exceed the memory of an entry: those of engines that send
// without end yield to the others, also during an outage of the store, and all memory is returned.
func TestMemoryOfTexts(t *testing.T) {
	for name, outage := range map[string]bool{"calm": false, "the store is down": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 1)
				defer cl.stop()
				cl.maxTextBytes = 300_000
				cl.kill(0)
				cl.start(0)
				time.Sleep(4 * time.Second)
				cl.engines.flooding = map[string]bool{"lm2": true}
				jo := job("j1", 24)
				require.Nil(t, cl.submit(0, jo))
				if outage {
					time.Sleep(time.Second)
					cl.links[0].setError(table.ErrRefused)
				}
				for at := range 300 {
					time.Sleep(100 * time.Millisecond)
					require.LessOrEqual(t, cl.entries[0].TextBytes(), cl.maxTextBytes)
					if at == 100 {
						cl.links[0].setError(nil)
					}
				}
				cl.requireComplete(0, jo)
				require.Zero(t, cl.entries[0].TextBytes())
			})
		})
	}
}

// Guards against an item that no engine can run to its end and that holds its job open for ever,
// or is run all the time: it is errored at its time limit.
func TestTextTooLongOnAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		cl.engines.endless = map[string]bool{"lm1": true, "lm2": true, "lm3": true}
		require.Nil(t, cl.submit(0, job("j1", 1)))
		time.Sleep(route.ItemTTL - time.Second)
		require.Empty(t, cl.read(0, "j1"), "not errored before its time limit")
		for id, count := range cl.engines.runs {
			require.Less(t, count, 20, id)
		}
		time.Sleep(3 * time.Second)
		results := cl.read(0, "j1")
		require.Len(t, results, 4)
		for _, re := range results {
			require.Equal(t, batch.Errored, re.State)
		}
	})
}

// The load pattern: an owner dies near the end of a step. The next owner continues
// the long items after their saved partial texts.
func TestReplaySavedTexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		jo := job("j1", 12)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(2200 * time.Millisecond) // long items have about 50 of 60 events
		owner := cl.owner("j1")
		cl.entries[owner].Kill()
		time.Sleep(8 * time.Second)
		cl.requireComplete((owner+1)%3, jo)
		long := 0
		for _, it := range jo.Items {
			if length(it.ID) < 60 {
				continue
			}
			long++
			require.LessOrEqual(t, cl.engines.generated[it.ID], 60+30, "only events after the last save are generated again")
		}
		require.Positive(t, long)
	})
}

// An item that always fails is errored after exactly the attempts that its route
// permits, and at once if no engine can run it.
func TestErroredItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		jo := job("j1", 3)
		cl.engines.fail["j1-i0"] = runs.Failed
		cl.engines.fail["j1-i1"] = runs.Unservable
		cl.sender.failing["s-j1-i2"] = true
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(10 * time.Second)
		states := map[string]batch.State{}
		for _, re := range cl.read(0, "j1") {
			states[re.ID] = re.State
		}
		require.Len(t, states, 12)
		require.Equal(t, batch.Errored, states["j1-i0"])
		require.Equal(t, batch.Errored, states["j1-i1"])
		require.Equal(t, batch.Errored, states["j1-i2"])
		require.Equal(t, batch.Completed, states["j1-i3"])
		require.Equal(t, route.Attempts, cl.engines.runs["j1-i0"])
		require.Equal(t, 1, cl.engines.runs["j1-i1"])
		require.Equal(t, 4, cl.sender.calls["s-j1-i2"])
	})
}

// The load pattern: an engine stops sending events in the middle of a step. Its runs
// continue on other engines after their last event.
func TestReplayStalledEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		jo := job("j1", 6)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(500 * time.Millisecond)
		cl.engines.mutex.Lock()
		cl.engines.stalled["lm1"] = true
		cl.engines.mutex.Unlock()
		time.Sleep(4 * time.Second)
		cl.requireComplete(0, jo)
	})
}

// A request that a stopping entry accepts gets an answer before the process is killed at the
// end of its grace period, whenever it comes and however slow its target is. It is accepted
// if its deadline is not later than the last answers, and refused as not run otherwise.
func TestStopAnswersLastRequests(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			const (
				grace       = 8 * time.Second
				lastAnswers = grace - 300*time.Millisecond
				timeout     = 2 * time.Second
			)
			cl := newCluster(t, 1)
			defer cl.stop()
			cl.sender.delay = delay
			route, _, err := cl.entries[0].FindRoute("h", "/score/x")
			require.Nil(t, err)
			started := time.Now()
			go cl.entries[0].Stop()
			var group sync.WaitGroup
			for at := range 78 { // up to 200 ms before the end
				group.Go(func() {
					time.Sleep(time.Duration(at) * 100 * time.Millisecond)
					re := calls.Request{
						ID: fmt.Sprint("c", at), Method: http.MethodPost, URI: "/score/x", Host: "h", Header: http.Header{}, Route: route, Deadline: time.Now().Add(timeout),
					}
					sent := time.Since(started)
					_, failed := cl.entries[0].Call(context.Background(), re)
					require.Less(t, time.Since(started), grace)
					switch {
					case sent+timeout > lastAnswers:
						require.NotNil(t, failed, "sent after %v", sent)
						require.Equal(t, core.NotRun, failed.Verdict, "sent after %v", sent)
						require.Zero(t, cl.sender.count(re.ID), "sent after %v", sent)
						require.Equal(t, sent, time.Since(started), "refused at once")
					case delay < timeout:
						require.Nil(t, failed, "sent after %v", sent)
					}
				})
			}
			group.Wait()
		})
	}
}

// A head that lists results which are not there is reported as such, not as a read error
// without a cause.
func TestMissingResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		jo := job("j1", 1)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(5 * time.Second)
		cl.requireComplete(0, jo)
		ctx := context.Background()
		page, err := cl.rows.List(ctx, table.Range{Table: batch.ResultTable, Part: batch.Part("j1")})
		require.NoError(t, err)
		var drops []table.ID
		for _, ro := range page.Rows {
			drops = append(drops, ro.ID)
		}
		_, err = cl.rows.Commit(ctx, table.Tx{Drops: drops})
		require.NoError(t, err)
		_, failed := cl.entries[0].Results(ctx, "j1", 2, 0)
		require.NotNil(t, failed)
		require.Equal(t, "the store lists no result from position 2 on, the head 4 in all", failed.Text)
	})
}

// The load pattern: the streams of all engines hang at once, and a step fills all slots, so
// that no run can move. The runs are abandoned and the step completes.
func TestReplayHangingStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.engines.hangFirst = true
		jo := job("j1", 9)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(place.AbandonTimeout + 5*time.Second)
		cl.requireComplete(0, jo)
	})
}

// Guards against texts that are listed as complete though an engine that resumed them ended
// its response without an event. A text whose end was lost must be listed all the same.
func TestEndWithoutEvent(t *testing.T) {
	for name, set := range map[string]func(en *engines){
		"the engine failed": func(en *engines) { en.hangFirst, en.emptyAfter = true, 1 },
		"the end was lost":  func(en *engines) { en.loseEnd = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 1)
				defer cl.stop()
				set(cl.engines)
				jo := job("j1", 4)
				require.Nil(t, cl.submit(0, jo))
				time.Sleep(place.AbandonTimeout + 8*time.Second)
				cl.requireComplete(0, jo)
			})
		})
	}
}

// Events of a weight version that is too old for the job are not listed.
func TestOldVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		cl.engines.version = 0 // the registry lists version 1
		jo := job("j1", 2)
		require.Nil(t, cl.submit(0, jo))
		time.Sleep(5 * time.Second)
		require.Empty(t, cl.read(0, "j1"))
		cl.engines.mutex.Lock()
		cl.engines.version = 1
		cl.engines.mutex.Unlock()
		time.Sleep(6 * time.Second)
		cl.requireComplete(0, jo)
	})
}

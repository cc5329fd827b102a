package intake_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/core"
	"bilberryshelf/quota"
)

const (
	// limitSettleTime is how long after the first response that names a limit the platform
	// holds the entries to it, limitWindow the time over which it counts requests.
	limitSettleTime = 4 * time.Second
	limitWindow     = 4 * time.Second
)

// mostAllowed is the number of requests that a target may get within limitWindow.
func mostAllowed(li quota.Limit) int { return int(1.5*float64(li)*limitWindow.Seconds()) + 5 }

// busiest returns the largest number of requests that a target got within limitWindow, from
// all entries together, from a time on.
func (cl *cluster) busiest(id string, from time.Time) int {
	var all []time.Time
	for _, an := range cl.clients {
		an.mutex.Lock()
		all = append(all, an.started[id]...)
		an.mutex.Unlock()
	}
	slices.SortFunc(all, time.Time.Compare)
	most := 0
	for at, first := range all {
		end := at
		for end < len(all) && all[end].Sub(first) < limitWindow {
			end++
		}
		if !first.Before(from) {
			most = max(most, end-at)
		}
	}
	return most
}

// tryCall sends a plain request to an entry and returns its error.
func (cl *cluster) tryCall(node int, id string) *core.Error {
	route, _, err := cl.entries[node].FindRoute("h", "/score/x")
	require.Nil(cl.t, err)
	_, err = cl.entries[node].Call(context.Background(), calls.Request{
		ID: id, Method: http.MethodPost, URI: "/score/x", Host: "h", Header: http.Header{}, Route: route, Deadline: time.Now().Add(time.Second),
	})
	return err
}

// offer sends plain requests to the entries of these nodes in turn, of all if there are none,
// for a while, one per interval, and returns the numbers of those served and refused.
func (cl *cluster) offer(name string, interval, duration time.Duration, nodes ...int) (served, refused int) {
	if len(nodes) == 0 {
		for node := range cl.entries {
			nodes = append(nodes, node)
		}
	}
	results := make(chan *core.Error, 10000)
	sent := 0
	for began := time.Now(); time.Since(began) < duration; sent++ {
		go func(at int) { results <- cl.tryCall(nodes[at%len(nodes)], fmt.Sprint(name, at)) }(sent)
		time.Sleep(interval)
	}
	for range sent {
		if err := <-results; err == nil {
			served++
		} else {
			require.Equal(cl.t, core.NotRun, err.Verdict)
			require.Positive(cl.t, err.RetryAfter)
			refused++
		}
	}
	return served, refused
}

// A target in need got several times the limit that it had named: plain requests, scoring
// calls and items went on as before.
func TestTargetGetsMoreThanItsLimit(t *testing.T) {
	for name, limits := range map[string]map[string]quota.Limit{
		"some targets": {"desk1": 1.5, "lm1": 3, "lm2": 1},
		"all targets":  {"desk1": 4, "desk2": 6, "lm1": 2, "lm2": 3, "lm3": 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 5)
				defer cl.stop()
				require.Nil(t, cl.submit(0, job("j0", 10)))
				time.Sleep(time.Second)
				for id, li := range limits {
					cl.limits.Store(id, li)
				}
				require.Nil(t, cl.submit(0, job("j3", 5))) // the limits are known on each target
				cl.offer("b", 100*time.Millisecond, limitSettleTime)
				from := time.Now()
				one, two := job("j1", 20), job("j2", 20)
				require.Nil(t, cl.submit(1, one))
				require.Nil(t, cl.submit(2, two))
				cl.offer("c", 100*time.Millisecond, 30*time.Second)
				for id, li := range limits {
					require.LessOrEqual(t, cl.busiest(id, from), mostAllowed(li), "%s, limit %v", id, li)
				}
				cl.requireComplete(0, one)
				cl.requireComplete(0, two)
			})
		})
	}
}

// The requests that all entries together may send go to whoever needs them: a single entry
// with work gets nearly all of them.
func TestUnusedSharesOfLimitAreWasted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 5)
		defer cl.stop()
		cl.limits.Store("desk1", quota.Limit(10))
		cl.limits.Store("desk2", quota.Limit(10))
		cl.call(0, "first")
		cl.call(0, "second")
		time.Sleep(quota.TakeoverTime)
		served, _ := cl.offer("c", 20*time.Millisecond, 10*time.Second, 3)
		require.Greater(t, served, 150, "of 200 that the targets take in 10 s")
	})
}

// While the issuer of a target's permits is gone, its deputy issues some, and the sum stays
// within the limit. Afterwards the full rate is used again.
func TestIssuerOfPermitsDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 6)
		defer cl.stop()
		limits := map[string]quota.Limit{"desk1": 8, "desk2": 12}
		for id, li := range limits {
			cl.limits.Store(id, li)
		}
		from := time.Now().Add(limitSettleTime)
		cl.offer("a", 20*time.Millisecond, 6*time.Second)
		for _, node := range []int{0, 1, 2} {
			cl.entries[node].Kill()
			<-cl.ended[node]
			cl.start(node)
			time.Sleep(1500 * time.Millisecond) // the store is read before the first request
			cl.offer(fmt.Sprint("b", node, "-"), 20*time.Millisecond, 6*time.Second)
		}
		served, _ := cl.offer("c", 20*time.Millisecond, 6*time.Second)
		require.Greater(t, served, 90, "of 120 that the targets take in 6 s")
		for id, li := range limits {
			require.LessOrEqual(t, cl.busiest(id, from), mostAllowed(li), id)
		}
	})
}

// A limit that a target no longer names, or that ended with its incarnation, must not hold
// requests back.
func TestLimitOutlivesItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		for _, id := range []string{"desk1", "desk2"} {
			cl.limits.Store(id, quota.Limit(2))
		}
		_, refused := cl.offer("a", 50*time.Millisecond, 5*time.Second)
		require.Positive(t, refused)
		cl.limits.Delete("desk1")
		cl.limits.Store("desk2", quota.Limit(1000))
		cl.offer("b", 50*time.Millisecond, 3*time.Second)
		_, refused = cl.offer("c", 20*time.Millisecond, 5*time.Second)
		require.Zero(t, refused)

		for _, id := range []string{"desk1", "desk2"} {
			cl.limits.Store(id, quota.Limit(0.5))
		}
		_, refused = cl.offer("d", 50*time.Millisecond, 5*time.Second)
		require.Positive(t, refused)
		cl.limits.Clear()
		cl.startedAt.Store(1) // both start again
		for _, id := range []string{"desk1", "desk2"} {
			cl.put(targetTable, id)
		}
		time.Sleep(time.Second)
		_, refused = cl.offer("e", 20*time.Millisecond, 2*time.Second)
		require.Zero(t, refused)
	})
}

// An entry that has sent nothing to a limited target yet, since it is new, has heard of the
// limit: its first burst stays within it.
func TestNewEntryDoesNotKnowTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		cl.limits.Store("desk1", quota.Limit(2))
		cl.limits.Store("desk2", quota.Limit(2))
		cl.offer("a", 100*time.Millisecond, 5*time.Second)
		cl.start(3)
		time.Sleep(2500 * time.Millisecond)
		from := time.Now()
		for at := range 60 {
			go cl.tryCall(3, fmt.Sprint("b", at))
		}
		time.Sleep(3 * time.Second)
		sent := cl.clients[3].countSince("desk1", from) + cl.clients[3].countSince("desk2", from)
		require.LessOrEqual(t, sent, 2*(2*3+2), "what both take in 3 s, and a burst of each")
	})
}

// After all entries were killed and started again, nobody remembers a limit but the rows of
// the dead.
func TestLimitsAfterAllEntriesDied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, len(everyNode))
		defer cl.stop()
		cl.limits.Store("desk1", quota.Limit(2))
		cl.limits.Store("desk2", quota.Limit(2))
		cl.offer("a", 100*time.Millisecond, 5*time.Second)
		cl.restartAll()
		time.Sleep(100 * time.Millisecond)
		from := time.Now()
		cl.offer("b", 20*time.Millisecond, 8*time.Second)
		for _, id := range []string{"desk1", "desk2"} {
			require.LessOrEqual(t, cl.busiest(id, from), mostAllowed(2), id)
		}
	})
}

// Scoring calls that waited for a permit were sent up to ten seconds after their job had been
// ended. The platform permits three.
func TestScoringCallsOutliveTheirJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3)
		defer cl.stop()
		for _, id := range []string{"desk1", "desk2"} {
			cl.limits.Store(id, quota.Limit(0.5))
			cl.call(0, "first "+id)
		}
		require.Nil(t, cl.submit(0, job("j1", 10)))
		time.Sleep(6 * time.Second)
		require.Nil(t, cl.entries[1].EndJob(context.Background(), "j1"))
		time.Sleep(time.Second) // the owner may be another entry
		from := time.Now()
		time.Sleep(20 * time.Second)
		for _, an := range cl.clients {
			require.Zero(t, an.countSince("desk1", from)+an.countSince("desk2", from))
		}
	})
}

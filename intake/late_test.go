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

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
)

// lateKinds are the kinds of requests that a stopping entry may get.
var lateKinds = []conf.Kind{conf.Idempotent, conf.NonIdempotent, conf.Stream}

// lateConfig has a route of each kind, and one of streams that may be resumed.
func lateConfig() *conf.Config {
	routes := []conf.Route{route, {Name: "version", Host: versionHost(2), Prefix: "/"}}
	for _, resumable := range []bool{false, true} {
		for _, kind := range lateKinds {
			routes = append(routes, conf.Route{
				Name: fmt.Sprint(kind, resumable), Host: "h", Prefix: fmt.Sprintf("/%s-%v/", kind, resumable), Kind: kind, Resumable: resumable,
				Shares: []conf.Share{{Service: "desk", Weight: 1}}, TargetLatency: 300 * time.Millisecond, Attempts: 3,
			})
		}
	}
	return conf.New(2, routes, nil, conf.Limits{})
}

// lateCaller sends one request to a stopping entry.
type lateCaller struct {
	cluster *cluster
	failed  *core.Error
	events  int
	// took is the time until the answer.
	took time.Duration
}

func (*lateCaller) Begin(calls.Response) {}

func (lc *lateCaller) Event([]byte) error {
	lc.events++
	return nil
}

func (lc *lateCaller) send(path, id string, timeout time.Duration) {
	entry := lc.cluster.entries[0]
	sentAt := time.Now()
	re := calls.Request{
		ID: id, Method: http.MethodPost, URI: path, Host: "h", Header: http.Header{}, Deadline: sentAt.Add(timeout),
	}
	re.Route, _, lc.failed = entry.FindRoute("h", path)
	require.Nil(lc.cluster.t, lc.failed)
	if re.Route.Kind == conf.Stream {
		lc.failed = entry.Stream(context.Background(), re, lc)
	} else {
		_, lc.failed = entry.Call(context.Background(), re)
	}
	lc.took = time.Since(sentAt)
}

// Guards against requests that a stopping entry passes on late in its grace period and then
// cuts off (review/6): one that is sent later than 3 s after the stop signal is answered
// whole, or refused at once while nothing has run.
func TestLateRequestsAreServedOrRefused(t *testing.T) {
	const (
		grace     = 8 * time.Second
		exemptFor = 3 * time.Second
	)
	for _, busy := range []bool{false, true} { // an entry that runs a job stops later
		for _, resumable := range []bool{false, true} {
			for _, kind := range lateKinds {
				for _, timeout := range []time.Duration{2 * time.Second, 12 * time.Second} {
					for _, work := range []time.Duration{20 * time.Millisecond, time.Second, 6 * time.Second} {
						t.Run(fmt.Sprint(kind, resumable, busy, timeout, work), func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) {
								cl := newCluster(t, 1)
								defer cl.stop()
								cl.config.Store(lateConfig())
								cl.put(operatorTable, "config")
								cl.sender.delay = work
								if busy {
									cl.engines.stalled = map[string]bool{"lm1": true, "lm2": true, "lm3": true}
									require.Nil(t, cl.submit(0, job("j1", 1)))
								}
								time.Sleep(time.Second)
								started := time.Now()
								go cl.entries[0].Stop()
								var group sync.WaitGroup
								for at := range 70 {
									group.Go(func() {
										time.Sleep(time.Duration(at)*100*time.Millisecond + time.Millisecond)
										sent := time.Since(started)
										lc, id := &lateCaller{cluster: cl}, fmt.Sprint("c", at)
										lc.send(fmt.Sprintf("/%s-%v/x", kind, resumable), id, timeout)
										require.Less(t, sent+lc.took, grace, "sent after %v", sent)
										if sent <= exemptFor {
											return
										}
										if lc.failed != nil && lc.failed.Verdict == core.NotRun {
											require.Zero(t, lc.took, "sent after %v: refused at once", sent)
											require.Positive(t, lc.failed.RetryAfter)
											require.Zero(t, lc.events)
											require.Zero(t, cl.sender.count(id))
											require.Greater(t, sent+timeout, grace-time.Second, "refused without a reason")
											return
										}
										if lc.took < timeout { // its own deadline is no fault of the entry
											require.Nil(t, lc.failed, "sent after %v, cut after %v and %d events", sent, lc.took, lc.events)
										}
									})
								}
								group.Wait()
							})
						})
					}
				}
			}
		}
	}
}

// Guards against requests that come before the stop signal and get no answer, since they outlast
// the process: each ends while the process still lives, and says whether it may have run.
func TestRequestsInFlightEndBeforeTheProcess(t *testing.T) {
	const grace = 8 * time.Second
	for _, kind := range lateKinds {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 1)
				defer cl.stop()
				cl.config.Store(lateConfig())
				cl.put(operatorTable, "config")
				time.Sleep(time.Second)
				cl.sender.delay = 20 * time.Second
				cl.eventPause = time.Second
				var group sync.WaitGroup
				lc := &lateCaller{cluster: cl}
				group.Go(func() { lc.send(fmt.Sprintf("/%s-false/x", kind), "c1", 30*time.Second) })
				time.Sleep(time.Second)
				started := time.Now()
				go cl.entries[0].Stop()
				group.Wait()
				require.Less(t, time.Since(started), grace)
				require.NotNil(t, lc.failed)
				require.Equal(t, core.MayHaveRun, lc.failed.Verdict)
			})
		})
	}
}

// Guards against a reader of results that waits for longer than the process lives and gets no
// answer.
func TestWaitingReaderIsAnsweredBeforeTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 8 * time.Second
		cl := newCluster(t, 2)
		defer cl.stop()
		cl.engines.stalled = map[string]bool{"lm1": true, "lm2": true, "lm3": true}
		require.Nil(t, cl.submit(0, job("j1", 1)))
		var group sync.WaitGroup
		started := time.Now()
		go cl.entries[0].Stop()
		group.Go(func() {
			li, err := cl.entries[0].Results(context.Background(), "j1", 0, time.Minute)
			require.Nil(t, err)
			require.Empty(t, li.Results)
			require.Less(t, time.Since(started), grace)
		})
		group.Wait()
	})
}

package intake_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/calls"
	"bilberryshelf/core"
	"bilberryshelf/origin"
	"bilberryshelf/table"
)

// everyNode are the nodes of the clusters of this file.
var everyNode = []int{0, 1, 2, 3, 4, 5}

// rejoin runs 60 streams on six entries and two targets of each version, and lets trouble
// happen 400 ms after their start. It returns the number of streams that were completed.
func rejoin(t *testing.T, versions [2]string, prepare func(cl *cluster), trouble func(cl *cluster)) (whole int, callers []*caller) {
	t.Helper()
	cl := newCluster(t, len(everyNode))
	defer cl.stop()
	cl.put(targetTable, "desk3")
	cl.put(targetTable, "desk4")
	cl.setSoftware(versions[0], "desk1", "desk2")
	cl.setSoftware(versions[1], "desk3", "desk4")
	time.Sleep(2 * time.Second)
	if prepare != nil {
		prepare(cl)
	}
	const streams = 60
	callers = make([]*caller, streams)
	done := make(chan bool, streams)
	for at := range callers {
		callers[at] = &caller{cluster: cl}
		go func() { done <- callers[at].stream(fmt.Sprint("s", at)) }()
	}
	time.Sleep(400 * time.Millisecond)
	trouble(cl)
	for range callers {
		if <-done {
			whole++
		}
	}
	for at, ca := range callers {
		text := ca.text.String()
		joined := strings.Contains(text, ":v1") && strings.Contains(text, ":v2")
		require.False(t, joined, "stream %d has events of two versions: %s", at, text)
	}
	return whole, callers
}

// Guards against origins of streams that are never stored because the id of another one can't
// be a key in the store, which rejects the whole transaction.
func TestOddIDsDoNotBlockOrigins(t *testing.T) {
	for name, odd := range map[string]string{
		"not UTF-8": strings.Repeat("\xff", 100), "longest": strings.Repeat("x", origin.MaxIDBytes-2), "too long": strings.Repeat("x", 300), "none": "",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				whole, _ := rejoin(t, [2]string{"v1", "v2"}, func(cl *cluster) {
					for range 6 {
						ca := &caller{cluster: cl}
						if odd == "" {
							go ca.streamOnce("")
						} else {
							go ca.stream(odd)
						}
					}
					time.Sleep(100 * time.Millisecond)
				}, (*cluster).restartAll)
				require.GreaterOrEqual(t, whole, 54, "streams with proper ids that went on")
			})
		})
	}
}

// streamOnce requests a stream with an id as it is.
func (ca *caller) streamOnce(id string) {
	node, en := ca.cluster.anyEntry()
	ca.gone = func() bool { return !ca.cluster.isCurrent(node, en) }
	re := calls.Request{ID: id, Method: http.MethodPost, URI: "/chat/x", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(20 * time.Second)}
	re.Route, _, _ = en.FindRoute("h", "/chat/x")
	_ = en.Stream(context.Background(), re, ca)
}

// removeOld removes the targets of v1 from the registry.
func (cl *cluster) removeOld() {
	cl.drop(targetTable, "desk1")
	cl.drop(targetTable, "desk2")
}

// restartAll kills all entries and starts them half a second later.
func (cl *cluster) restartAll() {
	cl.kill(everyNode...)
	time.Sleep(500 * time.Millisecond)
	for _, node := range everyNode {
		cl.start(node)
	}
}

// Callers resumed their streams after all entries had been killed and started again, and got
// the rest from another software version than the beginning.
func TestStreamsRejoinedAfterKill(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(cl *cluster)
		trouble func(cl *cluster)
		// atLeast is the number of streams that must be completed: all of them where their
		// origins can be known and their targets serve.
		atLeast int
	}{
		{"both versions serve", nil, (*cluster).restartAll, 54},
		{"old one gone just before", nil, func(cl *cluster) {
			cl.removeOld()
			time.Sleep(5 * time.Millisecond)
			cl.restartAll()
		}, 20},
		{"old one gone 300 ms before", nil, func(cl *cluster) {
			cl.removeOld()
			time.Sleep(300 * time.Millisecond)
			cl.restartAll()
		}, 20},
		{"old one gone between kill and start", nil, func(cl *cluster) {
			cl.kill(everyNode...)
			time.Sleep(250 * time.Millisecond)
			cl.removeOld()
			time.Sleep(250 * time.Millisecond)
			for _, node := range everyNode {
				cl.start(node)
			}
		}, 20},
		{"old one gone just after the start", nil, func(cl *cluster) {
			cl.restartAll()
			cl.removeOld()
		}, 20},
		{"incomplete list at start", func(cl *cluster) {
			cl.newLink = func(li *link) { li.hidden = map[string]bool{"desk1": true, "desk2": true} }
		}, (*cluster).restartAll, 20},
		{"store silent at start", func(cl *cluster) {
			cl.newLink = func(li *link) {
				li.cut = true
				time.AfterFunc(1500*time.Millisecond, func() { li.setCut(false) })
			}
		}, func(cl *cluster) {
			cl.removeOld()
			cl.restartAll()
		}, 10},
		{"places not readable at start", func(cl *cluster) {
			cl.newLink = func(li *link) { li.refused = "stream-place" }
		}, func(cl *cluster) {
			cl.removeOld()
			cl.restartAll()
		}, 0},
		{"one after the other, one lives on", nil, func(cl *cluster) {
			cl.removeOld()
			for _, node := range everyNode[:5] {
				cl.kill(node)
				time.Sleep(20 * time.Millisecond)
			}
		}, 20},
		{"some, then all, twice", nil, func(cl *cluster) {
			for range 2 {
				cl.kill(1, 3, 5)
				time.Sleep(250 * time.Millisecond)
				for _, node := range []int{1, 3, 5} {
					cl.start(node)
				}
				cl.removeOld()
				cl.restartAll()
			}
		}, 20},
		{"origins not shared", func(cl *cluster) { cl.unshared.Store(true) }, func(cl *cluster) {
			cl.removeOld()
			cl.kill(0, 1, 2)
		}, 20},
		{"newer software under the old id", nil, func(cl *cluster) {
			cl.startedAt.Add(1)
			cl.setSoftware("v2", "desk1", "desk2")
			cl.restartAll()
		}, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				whole, _ := rejoin(t, [2]string{"v1", "v2"}, tc.prepare, tc.trouble)
				require.GreaterOrEqual(t, whole, tc.atLeast, "streams that went on")
				t.Logf("%d of 60 streams went on", whole)
			})
		})
	}
}

// The callers of a version that is gone for good are refused finally rather than told to
// come back.
func TestStreamOfGoneVersionIsRefusedFinally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, callers := rejoin(t, [2]string{"v1", "v2"}, nil, func(cl *cluster) {
			cl.kill(everyNode...)
			cl.removeOld()
			time.Sleep(500 * time.Millisecond)
			for _, node := range everyNode {
				cl.start(node)
			}
		})
		refused := 0
		for _, ca := range callers {
			if ca.last < streamLength && ca.refusal.RetryAfter == 0 && ca.refusal.Verdict == core.NotRun {
				require.Equal(t, core.CodeOriginGone, ca.refusal.Code)
				refused++
			}
		}
		require.Greater(t, refused, 10)
	})
}

// A service of a single version loses nothing: all streams go on as soon as the entries
// have targets.
func TestSingleVersionIsResumedRightAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var startedAt time.Time
		var started *cluster
		whole, callers := rejoin(t, [2]string{"v1", "v1"}, nil, func(cl *cluster) {
			cl.restartAll()
			startedAt, started = time.Now(), cl
		})
		require.Len(t, callers, whole)
		var first time.Time
		for _, an := range started.clients {
			for _, id := range []string{"desk1", "desk2", "desk3", "desk4"} {
				for _, at := range an.started[id] {
					if !at.Before(startedAt) && (first.IsZero() || at.Before(first)) {
						first = at
					}
				}
			}
		}
		t.Logf("first stream resumed %v after the start", first.Sub(startedAt))
		require.Less(t, first.Sub(startedAt), 100*time.Millisecond, "the pause of a caller between two tries")
	})
}

// Entries of an older build recorded no places, so that those of a new build know nothing
// about streams that began before: after an update no stream of unknown origin is resumed.
func TestStreamsOfOlderBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 0)
		defer cl.stop()
		cl.firstStart = false
		cl.setSoftware("v2", "desk1", "desk2")
		cl.start(0)
		time.Sleep(time.Second)
		route, _, failed := cl.entries[0].FindRoute("h", "/chat/x")
		require.Nil(t, failed)
		_, failed = cl.entries[0].Find(context.Background(), route, "began-before")
		require.Equal(t, core.CodeUnknownOrigin, failed.Code)
		require.Positive(t, failed.RetryAfter)
		time.Sleep(origin.Retention + time.Second)
		or, failed := cl.entries[0].Find(context.Background(), route, "began-since")
		require.Nil(t, failed)
		require.Equal(t, "v2", or.Software)
	})
}

// Rows of places and origins are deleted once no caller resumes the streams any more, and
// origins are not stored while there is one place.
func TestOriginsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2)
		defer cl.stop()
		list := func(name, part string) []table.Row {
			page, err := cl.rows.List(context.Background(), table.Range{Table: name, Part: part})
			require.NoError(t, err)
			return page.Rows
		}
		stored := func() (count int) {
			for _, part := range batch.Parts() {
				count += len(list(origin.OriginTable, part))
			}
			return count
		}
		require.Len(t, list(origin.PlaceTable, ""), 2, "a place and since when they are recorded")
		require.True(t, (&caller{cluster: cl}).stream("single"))
		require.Zero(t, stored())
		cl.setSoftware("v2", "desk2")
		time.Sleep(time.Second)
		require.Equal(t, 1, stored(), "the stream of before may still be resumed")
		require.True(t, (&caller{cluster: cl}).stream("several"))
		require.Equal(t, 2, stored())
		cl.drop(targetTable, "desk1")
		time.Sleep(origin.Retention)
		require.Len(t, list(origin.PlaceTable, ""), 3)
		time.Sleep(2 * time.Minute)
		require.Len(t, list(origin.PlaceTable, ""), 2)
		require.Zero(t, stored())
	})
}

// A process that wakes up from a suspension believes in its old list of targets. It continued
// streams and texts at targets that had started again under their ids with other software.
func TestContinuedWithOutdatedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newMixedCluster(t, 1)
		defer cl.stop()
		cl.setSoftware("v1", "desk1", "desk2")
		time.Sleep(time.Second)
		jo := job("j1", 5)
		require.Nil(t, cl.submit(0, jo))
		ca := &caller{cluster: cl}
		en := cl.entries[0]
		begun := time.Now()
		ca.gone = func() bool { return time.Since(begun) > 400*time.Millisecond } // the connection breaks
		route, _, failed := en.FindRoute("h", "/chat/x")
		require.Nil(t, failed)
		re := calls.Request{ID: "s", Route: route, Header: http.Header{}, Deadline: time.Now().Add(20 * time.Second)}
		require.NotNil(t, en.Stream(context.Background(), re, ca))

		cl.links[0].refuseTable(targetTable) // the responses to its watches are old
		cl.boot.suspended.Add(int64(5 * time.Second))
		cl.software.Store("desk1", "v2")
		cl.software.Store("desk2", "v2")
		ca.gone = func() bool { return false }
		re.ID, re.Resumes, re.LastEventID = "again", "s", ca.last
		failed = en.Stream(context.Background(), re, ca)
		require.Equal(t, core.CodeOutdated, failed.Code)
		require.Positive(t, failed.RetryAfter)

		cl.links[0].refuseTable("")
		cl.put(targetTable, "desk1")
		cl.put(targetTable, "desk2")
		time.Sleep(3 * time.Second)
		require.Equal(t, core.CodeOriginGone, en.Stream(context.Background(), re, ca).Code)
		time.Sleep(20 * time.Second)
		cl.requireComplete(0, jo)
		cl.requireOneVersion(jo)
	})
}

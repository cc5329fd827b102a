package intake_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/core"
)

// takeUp requests a stream at one node, leaves it after some events, and takes it up at
// another node until it is complete. It returns false if that refuses for good.
func (ca *caller) takeUp(id string, begin, other int) bool {
	const leaveAfter = 10
	ca.gone = func() bool { return ca.last >= leaveAfter }
	re := calls.Request{ID: id, Method: http.MethodPost, URI: "/chat/x", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(30 * time.Second)}
	for ca.last < leaveAfter && time.Now().Before(re.Deadline) { // a stream may be refused until its place has a row
		if re.Route, _, ca.refusal = ca.cluster.entries[begin].FindRoute("h", "/chat/x"); ca.refusal == nil {
			ca.refusal = ca.cluster.entries[begin].Stream(context.Background(), re, ca)
		}
		time.Sleep(20 * time.Millisecond)
	}
	ca.gone = func() bool { return false }
	for try := 0; time.Now().Before(re.Deadline); try++ {
		en := ca.cluster.entries[other]
		re.ID, re.Resumes, re.LastEventID = fmt.Sprint(id, "-", try), id, ca.last
		var err *core.Error
		if re.Route, _, err = en.FindRoute("h", "/chat/x"); err == nil {
			if err = en.Stream(context.Background(), re, ca); err == nil {
				return true
			}
		}
		ca.refusal = err
		if err.Verdict == core.NotRun && err.RetryAfter == 0 {
			return false
		}
		time.Sleep(max(100*time.Millisecond, err.RetryAfter))
	}
	return false
}

// requireOneSoftware checks that no stream has events of two versions.
func requireOneSoftware(t *testing.T, callers []*caller) {
	t.Helper()
	for at, ca := range callers {
		seen := map[string]bool{}
		for _, event := range strings.Fields(ca.text.String()) {
			_, software, _ := strings.Cut(event, ":")
			seen[software] = true
		}
		require.LessOrEqual(t, len(seen), 1, "stream %d has events of several versions: %s", at, ca.text.String())
	}
}

// outOfStep are the ways in which entry 0 is out of step while targets of newer software
// join. An end restores it.
var outOfStep = map[string]struct{ begin, end func(cl *cluster) }{
	"links cut":      {func(cl *cluster) { cl.isolate(0, noLink) }, func(cl *cluster) { cl.isolate(0, "") }},
	"calls lost":     {func(cl *cluster) { cl.breakLinks(0, noLink) }, func(cl *cluster) { cl.breakLinks(0, "") }},
	"responses lost": {func(cl *cluster) { cl.breakLinks(0, noResponse) }, func(cl *cluster) { cl.breakLinks(0, "") }},
	"store cut":      {func(cl *cluster) { cl.links[0].setCut(true) }, func(cl *cluster) { cl.links[0].setCut(false) }},
	"store refuses":  {func(cl *cluster) { cl.links[0].setError(errors.New("refused")) }, func(cl *cluster) { cl.links[0].setError(nil) }},
	"late list":      {func(cl *cluster) { cl.links[0].slowDown(targetTable, 1500*time.Millisecond) }, func(cl *cluster) { cl.links[0].slowDown("", 0) }},
	"no list":        {func(cl *cluster) { cl.links[0].refuseTable(targetTable) }, func(cl *cluster) { cl.links[0].refuseTable("") }},
	"late list, links cut": {func(cl *cluster) {
		cl.links[0].slowDown(targetTable, 1500*time.Millisecond)
		cl.isolate(0, noLink)
	}, func(cl *cluster) {
		cl.links[0].slowDown("", 0)
		cl.isolate(0, "")
	}},
	"no list, links cut": {func(cl *cluster) {
		cl.links[0].refuseTable(targetTable)
		cl.isolate(0, noLink)
	}, func(cl *cluster) {
		cl.links[0].refuseTable("")
		cl.isolate(0, "")
	}},
	"links and store cut": {func(cl *cluster) {
		cl.links[0].setCut(true)
		cl.isolate(0, noLink)
	}, func(cl *cluster) {
		cl.links[0].setCut(false)
		cl.isolate(0, "")
	}},
	"those that know are out of reach": {func(cl *cluster) {
		cl.unshared.Store(true)
		for node := 1; node < 6; node++ {
			cl.isolate(node, noLink)
		}
	}, func(cl *cluster) {
		for node := 1; node < 6; node++ {
			cl.isolate(node, "")
		}
	}},
	"starts": {func(*cluster) {}, func(cl *cluster) {
		cl.kill(0)
		cl.start(0)
	}},
	"in step": {func(*cluster) {}, func(*cluster) {}},
}

// Guards against streams that go on at another software version because the entry at which
// their callers take them up was out of step while the targets that began them joined. They
// must go on once the entry is in step again.
func TestTakeUpAtEntryOutOfStep(t *testing.T) {
	for name, fault := range outOfStep {
		for _, tc := range []struct {
			name     string
			versions []string
			// oldGone is set if the targets of the first version leave before the take-ups.
			oldGone bool
		}{
			{"two versions", []string{"v2"}, false},
			{"three versions", []string{"v2", "v3"}, false},
			{"old one gone", []string{"v2"}, true},
		} {
			t.Run(name+"/"+tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newCluster(t, 6)
					defer cl.stop()
					cl.setSoftware("v1", "desk1", "desk2")
					cl.put(targetTable, "desk1")
					cl.put(targetTable, "desk2")
					time.Sleep(2 * time.Second)
					fault.begin(cl)
					time.Sleep(200 * time.Millisecond)
					for at, software := range tc.versions {
						for _, id := range []string{fmt.Sprint("desk", 10+2*at), fmt.Sprint("desk", 11+2*at)} {
							cl.setSoftware(software, id)
							cl.put(targetTable, id)
						}
					}
					time.Sleep(500 * time.Millisecond)
					const streams = 40
					callers, done := make([]*caller, streams), make(chan bool, streams)
					for at := range callers {
						callers[at] = &caller{cluster: cl}
						go func() { done <- callers[at].takeUp(fmt.Sprint("s", at), 1+at%5, 0) }()
					}
					time.Sleep(300 * time.Millisecond)
					if tc.oldGone {
						cl.drop(targetTable, "desk1")
						cl.drop(targetTable, "desk2")
					}
					time.Sleep(2500 * time.Millisecond)
					fault.end(cl)
					whole, gone := 0, 0
					for range callers {
						if <-done {
							whole++
						}
					}
					requireOneSoftware(t, callers)
					for _, ca := range callers {
						if ca.refusal != nil && ca.refusal.Code == core.CodeOriginGone && strings.Contains(ca.text.String(), ":v1") {
							gone++
						}
					}
					if tc.oldGone {
						whole += gone
					}
					refusals := map[core.Code]int{}
					for _, ca := range callers {
						if ca.refusal != nil {
							refusals[ca.refusal.Code]++
						}
					}
					require.GreaterOrEqual(t, whole, streams*9/10, "streams that went on: %v", refusals)
				})
			})
		}
	}
}

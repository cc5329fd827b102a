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

	"bilberryshelf/calls"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

// streamLength is the number of events of a stream, one every eventInterval.
const streamLength = 40

// Stream sends events that name the software version of their target.
func (an *announcer) Stream(ctx context.Context, ta fleet.Target, _ calls.Request, after int,
	begin func(calls.Response) error, event func(int, []byte) error,
) error {
	an.respond(ta)
	software, _ := an.software.Load(ta.ID)
	if software != nil && software != ta.Software { // it has started again since
		return core.Refuse(core.CodeOldIncarnation, "another incarnation")
	}
	if err := begin(calls.Response{Status: http.StatusOK, Stamp: ta.ID}); err != nil {
		return err
	}
	for at := after + 1; at <= streamLength; at++ {
		select {
		case <-ctx.Done():
			return core.InDoubt(core.CodeTargetLost, "canceled")
		case <-time.After(an.pause()):
		}
		if err := event(at, fmt.Appendf(nil, "%d:%v ", at, software)); err != nil {
			return err
		}
	}
	return nil
}

// caller is a client of streams. It takes up a stream that breaks at another entry.
type caller struct {
	cluster *cluster
	text    strings.Builder
	last    int
	// gone is set when the entry of the current request has died.
	gone func() bool
	// refusal is the last error.
	refusal *core.Error
}

func (*caller) Begin(calls.Response) {}

func (ca *caller) Event(raw []byte) error {
	if ca.gone() {
		return context.Canceled
	}
	ca.text.Write(raw)
	ca.last++
	return nil
}

// stream requests a stream and resumes it until it is complete. It returns false if the
// entries refuse to go on. While no entry runs it waits.
func (ca *caller) stream(id string) bool {
	re := calls.Request{Method: http.MethodPost, URI: "/chat/x", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(20 * time.Second)}
	for try := 0; try < 40 && time.Now().Before(re.Deadline); try++ {
		node, en := ca.cluster.anyEntry()
		ca.gone = func() bool { return !ca.cluster.isCurrent(node, en) }
		re.ID, re.LastEventID = fmt.Sprint(id, "-", try), ca.last
		var err *core.Error
		if re.Route, _, err = en.FindRoute("h", "/chat/x"); err == nil {
			if err = en.Stream(context.Background(), re, ca); err == nil {
				return true
			}
		}
		ca.refusal = err
		if ca.last > 0 && err.Verdict == core.NotRun && err.RetryAfter == 0 {
			return false
		}
		if ca.last > 0 && re.Resumes == "" {
			re.Resumes = re.ID
		}
		time.Sleep(max(100*time.Millisecond, err.RetryAfter))
	}
	return false
}

// Clients that take up their streams at other entries, after those that began them died, got
// events of another software version. Nearly all of them must go on.
func TestResumedStreamHoldsTwoSoftwareVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 6)
		defer cl.stop()
		cl.put(targetTable, "desk3")
		cl.put(targetTable, "desk4")
		cl.setSoftware("v1", "desk1", "desk2")
		cl.setSoftware("v2", "desk3", "desk4")
		time.Sleep(2 * time.Second)
		const streams = 60
		callers, done := make([]*caller, streams), make(chan bool, streams)
		for at := range callers {
			callers[at] = &caller{cluster: cl}
			go func() { done <- callers[at].stream(fmt.Sprint("s", at)) }()
		}
		time.Sleep(500 * time.Millisecond)
		for _, node := range []int{1, 4} { // a third of the entries
			cl.entries[node].Kill()
		}
		time.Sleep(500 * time.Millisecond)
		cl.entries[2].Kill()
		whole := 0
		for range callers {
			if <-done {
				whole++
			}
		}
		for at, ca := range callers {
			text := ca.text.String()
			require.False(t, strings.Contains(text, ":v1") && strings.Contains(text, ":v2"), "stream %d: %s", at, text)
		}
		require.GreaterOrEqual(t, whole, streams*9/10, "streams that went on")
	})
}

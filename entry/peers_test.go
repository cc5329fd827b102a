package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/meter"
	"bilberryshelf/sample"
	"bilberryshelf/setup"
	"bilberryshelf/store"
	"bilberryshelf/wire"
)

// A draining entry leaves the list of peers. Request goroutines still read the map of
// earlier views, so that one must not change.
func TestDrainingPeer(t *testing.T) {
	en := New(setup.DefaultEntry(), &manualClock{now: time.Unix(1000, 0)}, log.NewNopLogger(), &meter.Set{}, Platform{})
	en.addPeer("entry-2", "10.0.0.2:1")
	en.addPeer("entry-3", "10.0.0.3:1")
	en.publish()
	before := en.view.Load().peerAddrs
	en.instances = []store.Instance{
		{Name: "entry-2", Role: store.RoleEntry, State: core.Draining},
		{Name: "entry-4", Role: store.RoleEntry, Addr: "10.0.0.4:1"},
		{Name: "guard-1", Role: store.RoleGuard, Addr: "10.0.0.5:1"},
	}
	en.updatePeers()
	require.Equal(t, map[string]string{"entry-2": "10.0.0.2:1", "entry-3": "10.0.0.3:1"}, before)
	require.Equal(t, map[string]string{"entry-3": "10.0.0.3:1", "entry-4": "10.0.0.4:1"}, en.peers)
	require.Equal(t, []string{"entry-3", "entry-4"}, en.gossipNode.Peers())
}

// A run must not outlive the deadline of its step, also if it begins after it.
func TestSampleDeadline(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	en := New(setup.DefaultEntry(), clock, log.NewNopLogger(), &meter.Set{}, Platform{})
	for _, tc := range []struct {
		step, want time.Time
	}{
		{time.Time{}, clock.now.Add(sampleTimeout)},
		{clock.now.Add(time.Hour), clock.now.Add(sampleTimeout)},
		{clock.now.Add(time.Second), clock.now.Add(time.Second)},
		{clock.now.Add(-time.Second), clock.now.Add(-time.Second)},
	} {
		rq := en.sampleRequest(sample.Spec{Prompts: []string{"p"}, GroupSize: 1, Deadline: tc.step}, sample.Job{}, loan.Loan{}, nil)
		require.Equal(t, tc.want, rq.deadline)
	}
}

// Progress is reported when the count of tokens passes a multiple of the interval.
func TestProgressReports(t *testing.T) {
	var reports []int
	tr := &transcript{onStart: func() {}, onProgress: func(tokens int) { reports = append(reports, tokens) }}
	require.Nil(t, tr.begin(&wire.Head{Status: http.StatusOK}, "t"))
	for range 3 * progressInterval {
		require.Nil(t, tr.receive([]byte("data: {\"choices\":[{\"text\":\"a\"}]}\n\n")))
	}
	require.Equal(t, []int{progressInterval, 2 * progressInterval, 3 * progressInterval}, reports)
}

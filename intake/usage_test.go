package intake_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/fleet"
	"bilberryshelf/intake"
	"bilberryshelf/meter"
	"bilberryshelf/quota"
	"bilberryshelf/table"
)

// stampedRows is a store whose answers carry its clock.
type stampedRows struct {
	*fake.Rows
	startedAt time.Time
}

func (sr stampedRows) stamp(page table.Page, err error) (table.Page, error) {
	page.Now = time.Since(sr.startedAt) + time.Hour
	return page, err
}

func (sr stampedRows) CommitPage(ctx context.Context, tx table.Tx) (table.Page, error) {
	version, err := sr.Rows.Commit(ctx, tx)
	return sr.stamp(table.Page{Version: version}, err)
}

func (sr stampedRows) List(ctx context.Context, ra table.Range) (table.Page, error) {
	return sr.stamp(sr.Rows.List(ctx, ra))
}

func (sr stampedRows) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (table.Page, error) {
	return sr.stamp(sr.Rows.Watch(ctx, name, after, wait))
}

// skewedClock is a wall clock that is wrong.
type skewedClock struct {
	core.SystemClock
	by time.Duration
}

func (sc skewedClock) Now() time.Time { return time.Now().Add(sc.by) }

// reports records the usage reports of all entries.
type reports struct {
	mutex    sync.Mutex
	byWindow map[uint64]map[string]uint64
	tokens   []uint64
	differ   bool
	latest   time.Duration
	// holder is the node that sent last.
	holder int
}

// reporter is the client of one node.
type reporter struct {
	*reports
	node int
}

func (rs reporter) ReportUsage(_ context.Context, token, window uint64, counts map[string]uint64) error {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	if have, found := rs.byWindow[window]; found && fmt.Sprint(have) != fmt.Sprint(counts) {
		rs.differ = true
	}
	rs.byWindow[window], rs.tokens, rs.holder = counts, append(rs.tokens, token), rs.node
	rs.latest = max(rs.latest, time.Since(time.Unix(int64(window+1)*5, 0)))
	return nil
}

func (*reports) Scale(context.Context, uint64, string, string, int) error { return nil }

// The wall clock of an entry is wrong by most of a window, and the holder of the duty dies:
// each window must be reported in time, with each caller's request in the window in which it
// ran and nothing else.
func TestUsageReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, rs := newCluster(t, 0), &reports{byWindow: map[uint64]map[string]uint64{}}
		defer cl.stop()
		rows := stampedRows{cl.rows, time.Now()}
		for node := range 5 {
			cl.startReporting(node, rows, rs)
		}
		time.Sleep(10*time.Second + 2500*time.Millisecond)
		want := map[uint64]map[string]uint64{}
		id := 0
		call := func(node int, workspace string, deferred bool) {
			id++
			route, _, err := cl.entries[node].FindRoute("h", "/score/x")
			require.Nil(t, err)
			_, err = cl.entries[node].Call(context.Background(), calls.Request{
				ID: fmt.Sprint("u", id), Method: http.MethodPost, URI: "/score/x", Host: "h", Header: http.Header{}, Route: route,
				Workspace: workspace, Deferred: deferred, Deadline: time.Now().Add(20 * time.Second),
			})
			require.Nil(t, err)
		}
		killed := -1
		first := uint64(time.Now().Unix() / 5)
		for at := range 8 {
			window := uint64(time.Now().Unix() / 5)
			want[window] = map[string]uint64{}
			if at != 3 { // a window without requests
				for node := range cl.entries {
					if node != killed {
						call(node, "w"+strconv.Itoa(node%2), false)
						want[window]["w"+strconv.Itoa(node%2)]++
					}
				}
				live := (killed + 1) % len(cl.entries)
				call(live, "w0", true)
				call(live, "", false)
			} else {
				time.Sleep(1500 * time.Millisecond) // the window before has been reported
				rs.mutex.Lock()
				killed = rs.holder
				rs.mutex.Unlock()
				cl.entries[killed].Kill()
			}
			time.Sleep(time.Until(time.Unix(int64(window+1)*5, 0).Add(2500 * time.Millisecond)))
		}
		time.Sleep(10 * time.Second)
		rs.mutex.Lock()
		defer rs.mutex.Unlock()
		require.False(t, rs.differ)
		require.LessOrEqual(t, rs.latest, 10*time.Second)
		require.Equal(t, []uint64{1, 2}, slices.Compact(rs.tokens), "the duty passed on once")
		for window := first; window < first+8; window++ {
			require.Equal(t, want[window], rs.byWindow[window], "window %d of %d", window-first, len(want))
		}
	})
}

// startReporting starts an entry with the duty of usage reports. The wall clock of the last of
// five is wrong.
func (cl *cluster) startReporting(node int, rows stampedRows, rs *reports) {
	an := &announcer{engines: cl.engines, sender: cl.sender, departures: &fleet.Departures{}, rates: &quota.Limits{}, limits: &cl.limits, started: map[string][]time.Time{}}
	var clock core.Clock = core.SystemClock{}
	if node == 4 {
		clock = skewedClock{by: 4 * time.Second}
	}
	name := "n" + strconv.Itoa(node)
	en := intake.New(
		intake.Settings{Node: name, Domain: "d", Inner: name, Grace: 8 * time.Second, Duties: intake.DutySettings{Instance: name, Usage: true}},
		intake.Ports{
			Direct: rows, Sender: an, Engine: an, Departures: an.departures, Rates: an.rates, Issuer: cl.issuer, Origins: cl.originsOf(node), Streamer: an,
			Dial: func(string) table.Client { return cl.rows }, Starter: cl.starter, Duties: reporter{rs, node},
		},
		cl.decoders(), clock, log.NewNopLogger(), &meter.Set{},
	)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		require.NoError(cl.t, en.Run())
	}()
	cl.starting.Lock()
	defer cl.starting.Unlock()
	cl.entries, cl.ended = append(cl.entries, en), append(cl.ended, ended)
}

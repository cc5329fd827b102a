package intake_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/duty"
	"bilberryshelf/fake"
	"bilberryshelf/fleet"
	"bilberryshelf/intake"
	"bilberryshelf/member"
	"bilberryshelf/meter"
	"bilberryshelf/quota"
	"bilberryshelf/table"
)

// orders records the orders of all entries.
type orders struct {
	mutex sync.Mutex
	all   []string
}

// ReportUsage accepts the reports of the other duty.
func (*orders) ReportUsage(context.Context, uint64, uint64, map[string]uint64) error { return nil }

func (od *orders) Scale(_ context.Context, token uint64, service, domain string, targets int) error {
	od.mutex.Lock()
	defer od.mutex.Unlock()
	od.all = append(od.all, fmt.Sprintf("%s/%s %d by %d", service, domain, targets, token))
	return nil
}

// take returns the orders since the last call.
func (od *orders) take() []string {
	od.mutex.Lock()
	defer od.mutex.Unlock()
	all := od.all
	od.all = nil
	return all
}

// startScaled starts an entry in a cluster whose services desk and lm are scaled. The key of
// a target names its failure domain.
func (cl *cluster) startScaled(node int, ds intake.DutySettings, od *orders) {
	name := "n" + strconv.Itoa(node)
	ds.Instance = name
	de := cl.decoders()
	decodeTarget := de.Target
	de.Target = func(ro table.Row) (fleet.Target, error) {
		ta, err := decodeTarget(ro)
		_, ta.Domain, _ = strings.Cut(ro.ID.Key, "@")
		return ta, err
	}
	de.Config = func(ro table.Row) (*conf.Config, error) {
		sc := conf.Scale{Min: 1, Max: 8, Boot: 4 * time.Second}
		return conf.New(1, []conf.Route{route}, []conf.Service{{Name: "desk", Scale: sc}, {Name: "lm", Scale: sc}}, conf.Limits{}), nil
	}
	an := &announcer{engines: cl.engines, sender: cl.sender, departures: &fleet.Departures{}, rates: &quota.Limits{}, limits: &cl.limits, started: map[string][]time.Time{}}
	en := intake.New(intake.Settings{Node: name, Domain: "d", Inner: name, Grace: 8 * time.Second, Duties: ds},
		intake.Ports{
			Direct: cl.rows, Sender: an, Engine: an, Departures: an.departures, Rates: an.rates, Issuer: cl.issuer, Origins: cl.originsOf(node),
			Streamer: an, Dial: func(string) table.Client { return cl.rows }, Starter: cl.starter, Duties: od,
		}, de, core.SystemClock{}, log.NewNopLogger(), &meter.Set{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = en.Run()
	}()
	cl.entries, cl.ended = append(cl.entries, en), append(cl.ended, ended)
}

// newScaled returns two entries whose requests take the given time.
func newScaled(t *testing.T, ds intake.DutySettings, took time.Duration) (*cluster, *orders) {
	t.Helper()
	cl, od := newCluster(t, 0), &orders{}
	cl.rows, cl.sender.delay = &fake.Rows{}, took
	cl.put(operatorTable, "config")
	for _, id := range []string{"lm1@a", "lm2@b", "desk1@a", "desk2@b"} {
		cl.put(targetTable, id)
	}
	for node := range 2 {
		cl.startScaled(node, ds, od)
	}
	time.Sleep(10 * time.Second)
	return cl, od
}

// load has an entry serve requests.
func (cl *cluster) load(node, count int) {
	ro := conf.Route{Name: "plain", Kind: conf.NonIdempotent, Shares: []conf.Share{{Service: "desk", Weight: 1}}, TargetLatency: 5 * time.Second, Attempts: 1}
	for at := range count {
		go cl.entries[node].Call(context.Background(), calls.Request{ID: strconv.Itoa(at), Route: ro, Deadline: time.Now().Add(10 * time.Second)})
	}
}

// The holder must order targets for the requests and items of all entries, also for those
// that begin and end between two heartbeats, and only when the number changes. A new holder
// must use a higher token and not lower what is needed.
func TestScaling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, od := newScaled(t, intake.DutySettings{Autoscale: true}, 300*time.Millisecond)
		defer cl.stop()
		require.ElementsMatch(t, []string{"lm/a 1 by 1", "lm/b 1 by 1", "desk/a 1 by 1", "desk/b 1 by 1"}, od.take())
		time.Sleep(300 * time.Millisecond)    // a heartbeat was just sent
		for node, want := range []int{2, 3} { // one of the two is not the holder
			cl.load(node, 30+12*node)
			time.Sleep(3 * time.Second)
			require.ElementsMatch(t, []string{fmt.Sprintf("desk/a %d by 1", want), fmt.Sprintf("desk/b %d by 1", want)}, od.take(), "node %d", node)
		}
		require.Nil(t, cl.submit(0, job("j", 10)))
		time.Sleep(2 * time.Second)
		require.ElementsMatch(t, []string{"lm/a 3 by 1", "lm/b 3 by 1"}, od.take())
		page, err := cl.rows.List(context.Background(), table.Range{Table: duty.Table})
		require.NoError(t, err)
		row, err := duty.DecodeRow(page.Rows[0].Value)
		require.NoError(t, err)
		node, err := strconv.Atoi(strings.TrimPrefix(row.Node, "n"))
		require.NoError(t, err)
		cl.entries[node].Kill()
		time.Sleep(9 * time.Second)
		require.ElementsMatch(t, []string{"lm/a 3 by 2", "lm/b 3 by 2", "desk/a 3 by 2", "desk/b 3 by 2"}, od.take())
	})
}

// Without the duty nothing may be ordered, and the rows of the entries must be as before.
func TestScalingWithoutDuty(t *testing.T) {
	for _, ds := range []intake.DutySettings{{}, {Usage: true}} {
		synctest.Test(t, func(t *testing.T) {
			cl, od := newScaled(t, ds, 3*time.Second)
			defer cl.stop()
			cl.load(0, 30)
			time.Sleep(2 * time.Second)
			page, err := cl.rows.List(context.Background(), table.Range{Table: member.Table})
			require.NoError(t, err)
			for _, ro := range page.Rows {
				var re member.Record
				require.NoError(t, cbor.Unmarshal(ro.Value, &re))
				require.Empty(t, re.Load)
			}
			time.Sleep(2 * time.Second)
			require.Empty(t, od.take())
		})
	}
}

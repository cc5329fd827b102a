package intake_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/duty"
	"bilberryshelf/fake"
	"bilberryshelf/fleet"
	"bilberryshelf/intake"
	"bilberryshelf/meter"
	"bilberryshelf/quota"
	"bilberryshelf/table"
)

// noCalls is a client of an API that is not called.
type noCalls struct{ intake.DutyClient }

// startDuties starts an entry with duties on a node.
func startDuties(rows *fake.Rows, node int, lowCapacity bool, ds intake.DutySettings) *intake.Entry {
	name := "n" + strconv.Itoa(node)
	ds.Instance = name
	en := intake.New(
		intake.Settings{Node: name, Domain: "d", Inner: name, Grace: 8 * time.Second, LowCapacity: lowCapacity, Duties: ds},
		intake.Ports{
			Direct: rows, Departures: &fleet.Departures{}, Rates: &quota.Limits{}, Duties: noCalls{},
			Dial: func(string) table.Client { return rows },
		},
		(&cluster{}).decoders(), core.SystemClock{}, log.NewNopLogger(), &meter.Set{},
	)
	go func() { _ = en.Run() }()
	return en
}

// holder returns the row of the lease.
func holder(t *testing.T, rows *fake.Rows) duty.Row {
	t.Helper()
	page, err := rows.List(context.Background(), table.Range{Table: duty.Table})
	require.NoError(t, err)
	if len(page.Rows) == 0 {
		return duty.Row{}
	}
	ro, err := duty.DecodeRow(page.Rows[0].Value)
	require.NoError(t, err)
	return ro
}

// An entry without duties must not touch the lease. One of the others must hold it, also if
// all have low capacity, and must pass it on as soon as it stops.
func TestDutyLease(t *testing.T) {
	for _, lowCapacity := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			rows := &fake.Rows{}
			without := startDuties(rows, 0, false, intake.DutySettings{})
			time.Sleep(5 * time.Second)
			require.Zero(t, holder(t, rows))
			without.Kill()
			time.Sleep(5 * time.Second)

			ds := intake.DutySettings{Usage: true}
			entries := map[string]*intake.Entry{"n1": startDuties(rows, 1, lowCapacity, ds), "n2": startDuties(rows, 2, lowCapacity, ds)}
			time.Sleep(5 * time.Second)
			first := holder(t, rows)
			require.Contains(t, entries, first.Node)
			require.EqualValues(t, 1, first.Token)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				entries[first.Node].Stop()
			}()
			time.Sleep(3500 * time.Millisecond)
			second := holder(t, rows)
			require.NotEqual(t, first.Node, second.Node, "a stopping entry keeps the lease")
			require.NotEmpty(t, second.Holder)
			require.EqualValues(t, 2, second.Token)
			<-stopped
			for _, en := range entries {
				en.Kill()
				<-en.Done()
			}
			<-without.Done()
		})
	}
}

package intake_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/origin"
	"bilberryshelf/table"
)

// Guards against the loss of a place that is used again: the entry that deletes expired places
// is out of step while targets of an earlier version join again, after more than Retention.
// Without its row, streams that begin there go on at another version.
func TestPlaceUsedAgainIsKept(t *testing.T) {
	place := origin.Place{Route: "chat", Service: "desk", Software: "v0"}
	for inStep := range 2 { // one of the others deletes expired places
		for offset := time.Duration(0); offset < 33*time.Second; offset += 1300 * time.Millisecond {
			t.Run(fmt.Sprint(inStep, "/", offset), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					cl := newCluster(t, 3)
					defer cl.stop()
					cl.setSoftware("v1", "desk1", "desk2")
					cl.put(targetTable, "desk1")
					cl.put(targetTable, "desk2")
					cl.setSoftware("v0", "desk3")
					cl.put(targetTable, "desk3")
					time.Sleep(2 * time.Second)
					require.True(t, cl.hasPlace(place))
					cl.drop(targetTable, "desk3")
					time.Sleep(origin.Retention - time.Second + offset)
					for node, li := range cl.links {
						if node != inStep {
							li.slowDown(targetTable, 1500*time.Millisecond)
						}
					}
					time.Sleep(1500 * time.Millisecond)
					cl.put(targetTable, "desk3")
					time.Sleep(6 * time.Second)
					require.True(t, cl.hasPlace(place))
				})
			})
		}
	}
}

// hasPlace reports whether a place has a row.
func (cl *cluster) hasPlace(pa origin.Place) bool {
	id := pa.ID()
	page, err := cl.rows.List(context.Background(), table.Range{Table: id.Table, Part: id.Part, From: id.Key, To: id.Key + "\x00"})
	require.NoError(cl.t, err)
	return len(page.Rows) == 1
}

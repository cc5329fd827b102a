package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/fake"
)

// An entry that adopted several jobs read them from the store one after the other: with the
// store in another region the last one waited for all others.
func TestJobsAreAdoptedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		for _, id := range []string{"j1", "j2", "j3", "j4"} {
			require.Nil(t, cl.submit(0, job(id, 2)))
		}
		cl.kill(0)
		const latency = 200 * time.Millisecond // of each call to the store
		cl.newLink = func(li *link) { li.latency = latency }
		cl.start(0)
		var first, last time.Time
		for last.IsZero() {
			time.Sleep(10 * time.Millisecond)
			adopted := 0
			for _, id := range []string{"j1", "j2", "j3", "j4"} {
				if cl.entries[0].Owns(id) {
					adopted++
				}
			}
			if adopted > 0 && first.IsZero() {
				first = time.Now()
			}
			if adopted == 4 {
				last = time.Now()
			}
		}
		require.Less(t, last.Sub(first), 2*latency)
	})
}

// Guards against an accepted job that no other entry can run: its body has 33 pages, which
// take longer to read from another region than one call may. Jobs that are adopted meanwhile
// do not wait for it, and it is adopted once.
func TestLargeJobIsAdoptedFromAnotherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1)
		defer cl.stop()
		large, small := job("large", 2), job("small", 2)
		for at := range large.Items {
			large.Items[at].Body = make([]byte, 4<<20)
		}
		require.Nil(t, cl.submit(0, large))
		require.Nil(t, cl.submit(0, small))
		cl.kill(0)
		const latency = 200 * time.Millisecond // of each call to the store
		cl.newLink = func(li *link) { li.latency = latency }
		cl.start(0)
		time.Sleep(5 * time.Second)
		require.True(t, cl.entries[0].Owns("small"))
		require.False(t, cl.entries[0].Owns("large"), "33 pages take 6.6 s")
		time.Sleep(25 * time.Second)
		cl.requireComplete(0, large)
		vh, err := batch.Ledger{Store: cl.rows}.Find(fake.Exempt(t.Context()), "large")
		require.NoError(t, err)
		require.EqualValues(t, 2, vh.Head.Epoch)
		body, failed := cl.entries[0].Body(t.Context(), "large", large.Items[3].ID)
		require.Nil(t, failed)
		require.Len(t, body, 4<<20)
	})
}

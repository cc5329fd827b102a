package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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

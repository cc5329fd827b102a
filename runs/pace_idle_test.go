package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
	"bilberryshelf/place"
)

// Guards against an engine that was slow for seconds and has recovered, but counts as slow
// until long after, and against one that counts as slow after one slow period.
func TestLongPaceAfterIdleTime(t *testing.T) {
	const usual = 50 * time.Millisecond
	for _, tc := range []struct {
		name          string
		before, after time.Duration
		slow          bool
	}{
		{"recovered", usual * 27 / 10, usual, false},
		{"one slow period", usual, usual * 5 / 2, false},
		{"still slow", usual * 27 / 10, usual * 27 / 10, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			en := newEngine(fleet.Target{ID: "e"})
			ow, ru := ownerOf(en)
			now := measure(ow, ru, start, 8*time.Second, tc.before, 100)
			delete(en.runs, ru)
			for range 100 {
				now = now.Add(checkInterval)
				ow.updatePaces(now)
			}
			en.runs[&run{engine: en, job: ru.job, item: ru.item, startedAt: now, cancel: func() {}}] = true
			for ru := range en.runs {
				measure(ow, ru, now, 700*time.Millisecond, tc.after, 100)
			}
			require.Equal(t, tc.slow, float64(en.longPace.mean()) > place.SlowFactor*float64(usual), "%v", en.longPace.mean())
		})
	}
}

package guard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
)

// An entry may send until its second hello after the guard began to leave. One
// that was silent for the whole window is not waited for.
func TestUnawareEntries(t *testing.T) {
	start := time.Unix(100, 0)
	const window = 5 * time.Second
	var gr entryRecords
	require.Zero(t, gr.unaware(start, window))
	gr.recordHello("gone", start.Add(-window-1), core.Serving)
	require.Zero(t, gr.unaware(start, window))
	gr.recordHello("here", start.Add(-time.Second), core.Serving)
	gr.recordHello("here", start, core.Serving)
	require.Equal(t, 1, gr.unaware(start, window))
	gr.recordHello("here", start.Add(time.Second), core.Draining)
	require.Equal(t, 1, gr.unaware(start, window), "its requests may be under way")
	gr.recordHello("here", start.Add(2*time.Second), core.Draining)
	require.Zero(t, gr.unaware(start, window))
	gr.recordHello("new", start.Add(2*time.Second), core.Draining)
	require.Equal(t, 1, gr.unaware(start, window))
}

package guard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
)

// An entry may send requests until its second hello after the start of the drain. An
// entry that sent no hello within the window before it is not waited for.
func TestUnawareEntries(t *testing.T) {
	start := time.Unix(100, 0)
	const window = 5 * time.Second
	var ers entryRecords
	require.Zero(t, ers.unaware(start, window))
	ers.recordHello("gone", start.Add(-window-1), core.Serving)
	require.Zero(t, ers.unaware(start, window))
	ers.recordHello("here", start.Add(-time.Second), core.Serving)
	ers.recordHello("here", start, core.Serving)
	require.Equal(t, 1, ers.unaware(start, window))
	ers.recordHello("here", start.Add(time.Second), core.Draining)
	require.Equal(t, 1, ers.unaware(start, window), "its requests may be in transit")
	ers.recordHello("here", start.Add(2*time.Second), core.Draining)
	require.Zero(t, ers.unaware(start, window))
	ers.recordHello("new", start.Add(2*time.Second), core.Draining)
	require.Equal(t, 1, ers.unaware(start, window))
}

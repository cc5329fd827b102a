package runs

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/limit"
)

// Guards against a text that misses an event: after one that found no memory, a smaller one that
// still fits must not be kept, since a dropped job saves what its runs have.
func TestYieldedTextHasNoGap(t *testing.T) {
	ow := &Owner{Texts: &limit.HeldBytes{}}
	ow.Texts.Max = 3 * textChunk
	ru := &run{text: ow.holdText(time.Now(), 0)}
	ru.text.setRun(func() {})
	for _, data := range []string{"one", strings.Repeat("x", 4*textChunk), "three"} {
		ru.add(time.Now(), Event{Data: data})
	}
	require.True(t, ru.text.hasYielded())
	events := ru.finish()
	require.Len(t, events, 1)
	require.Equal(t, "one", events[0].Data)
}

package engine_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/engine"
)

// Events are complete for every size of the pieces in which a stream arrives.
func TestParserSplitsAnywhere(t *testing.T) {
	const raw = "data: {\"choices\":[{\"text\":\"a \"}],\"weight_version\":3}\n\n" +
		"data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n" +
		"data: {\"error\":{\"message\":\"x\"}}\n\ndata: [DONE]\n\n"
	for size := 1; size <= len(raw); size++ {
		var (
			pa     engine.Parser
			events []engine.Event
		)
		for at := 0; at < len(raw); at += size {
			events = append(events, pa.Feed([]byte(raw[at:min(at+size, len(raw))]))...)
		}
		require.True(t, pa.AtEventEnd())
		require.Len(t, events, 4)
		require.Equal(t, "a ", events[0].Text)
		require.Equal(t, uint64(3), events[0].Version)
		require.Equal(t, "b", events[1].Text)
		require.Zero(t, events[1].Version)
		require.True(t, events[2].Failed)
		require.True(t, events[3].Done)
	}
	var pa engine.Parser
	require.Empty(t, pa.Feed([]byte(raw[:20])))
	require.False(t, pa.AtEventEnd())
}

// An event without an end fails the stream, and the parser keeps nothing of it.
func TestEndlessEvent(t *testing.T) {
	var (
		pa     engine.Parser
		failed int
	)
	chunk := []byte(strings.Repeat("x", 1000))
	for range 3 * engine.MaxEvent / len(chunk) {
		for _, ev := range pa.Feed(chunk) {
			require.True(t, ev.Failed)
			failed++
		}
	}
	require.Equal(t, 1, failed)
	require.False(t, pa.AtEventEnd())
	require.Empty(t, pa.Feed([]byte("data: [DONE]\n\n")), "what follows belongs to no event")
}

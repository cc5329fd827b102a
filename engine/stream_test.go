package engine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bilberryshelf/engine"
)

// Events are whole however the bytes are cut up.
func TestParserSplitsAnywhere(t *testing.T) {
	const raw = "data: {\"choices\":[{\"text\":\"a \"}],\"weight_version\":3}\n\n" +
		"data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n" +
		"data: {\"error\":{\"message\":\"x\"}}\n\ndata: [DONE]\n\n"
	for size := 1; size <= len(raw); size++ {
		var (
			st     engine.Parser
			events []engine.Event
		)
		for at := 0; at < len(raw); at += size {
			events = append(events, st.Feed([]byte(raw[at:min(at+size, len(raw))]))...)
		}
		require.True(t, st.AtEventEnd())
		require.Len(t, events, 4)
		require.Equal(t, "a ", events[0].Text)
		require.Equal(t, uint64(3), events[0].Version)
		require.Equal(t, "b", events[1].Text)
		require.Zero(t, events[1].Version)
		require.True(t, events[2].Failed)
		require.True(t, events[3].Done)
	}
	var st engine.Parser
	require.Empty(t, st.Feed([]byte(raw[:20])))
	require.False(t, st.AtEventEnd())
}

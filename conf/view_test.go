package conf_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/conf"
	"bilberryshelf/table"
)

func row(key string, version uint64) table.Row {
	return table.Row{ID: table.ID{Table: "op", Key: key}, Version: version}
}

// Guards against an old configuration that comes back, and against a view that counts as
// fresher than what it was taken from.
func TestJudge(t *testing.T) {
	start := time.Unix(1000, 0)
	asked := start.Add(10 * time.Second)
	for _, tc := range []struct {
		name   string
		held   uint64
		answer conf.Answer
		use    bool
		age    time.Duration
	}{
		{"the same rows", 5, conf.Answer{Confirmed: true, Age: time.Second, Version: 5}, true, time.Second},
		{"newer rows", 5, conf.Answer{Confirmed: true, Age: time.Minute, Version: 6}, true, time.Minute},
		{"older rows", 5, conf.Answer{Confirmed: true, Version: 4}, false, 0},
		{"never confirmed", 5, conf.Answer{Version: 6}, false, 0},
		{"an age below zero", 5, conf.Answer{Confirmed: true, Age: -1, Version: 6}, false, 0},
		{"no rows, confirmed since the start", 0, conf.Answer{Confirmed: true, Age: 10 * time.Second, Version: 6}, true, 10 * time.Second},
		{"no rows, confirmed before the start", 0, conf.Answer{Confirmed: true, Age: 11 * time.Second, Version: 6}, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			vi := conf.View{Since: start}
			if tc.held > 0 {
				vi.Put([]table.Row{row("config", tc.held)})
			}
			at, use := vi.Judge(asked, tc.answer)
			require.Equal(t, tc.use, use)
			if use {
				require.Equal(t, tc.age, asked.Sub(at))
			}
		})
	}
}

// Guards against an older row that arrives late, for example in a list through a slow peer.
func TestViewPut(t *testing.T) {
	var vi conf.View
	require.Len(t, vi.Put([]table.Row{row("a", 3), row("b", 7)}), 2)
	require.Empty(t, vi.Put([]table.Row{row("a", 3), row("b", 6)}))
	require.Equal(t, []table.Row{row("a", 5)}, vi.Put([]table.Row{row("a", 5), row("b", 7)}))
	require.EqualValues(t, 7, vi.Version())
	require.Equal(t, []table.Row{row("b", 7)}, vi.Answer(time.Now(), 5).Rows)
	require.False(t, vi.Answer(time.Now(), 5).Confirmed)
}

// Guards against questions that end, or a view that grows older, because of a peer's answer.
func TestViewAge(t *testing.T) {
	start := time.Unix(1000, 0)
	vi := conf.View{Since: start}
	require.Equal(t, conf.StaleViewAge, vi.AskIn(start))
	vi.Confirm(start.Add(time.Second))
	vi.ConfirmThrough(start)
	now := start.Add(3 * time.Second)
	require.Equal(t, 2*time.Second, vi.Answer(now, 0).Age)
	vi.ConfirmThrough(now.Add(-time.Second))
	require.Equal(t, time.Second, vi.Answer(now, 0).Age)
	require.Zero(t, vi.AskIn(now), "the store has not confirmed it")
	vi.Confirm(now)
	require.Equal(t, conf.StaleViewAge, vi.AskIn(now))
}

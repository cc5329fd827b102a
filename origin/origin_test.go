package origin_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/fleet"
	"bilberryshelf/origin"
	"bilberryshelf/table"
)

var (
	chat   = conf.Route{Name: "chat", Kind: conf.Stream, Resumable: true, Shares: []conf.Share{{Service: "desk"}}}
	plain  = conf.Route{Name: "look", Kind: conf.Idempotent, Shares: []conf.Share{{Service: "desk"}}}
	first  = origin.Place{Route: "chat", Service: "desk", Software: "v1"}
	second = origin.Place{Route: "chat", Service: "desk", Software: "v2"}
)

// What a process does not know yet must never count as evidence that there is nothing.
func TestDecide(t *testing.T) {
	always, one, two := origin.Retention+1, []origin.Place{second}, []origin.Place{first, second}
	for _, tc := range []struct {
		name string
		ev   origin.Evidence
		want origin.Certainty
		at   origin.Place
	}{
		{"remembered", origin.Evidence{Remembered: &first, Places: two, Silent: 3}, origin.Known, first},
		{"store does not answer", origin.Evidence{Complete: always, Places: one}, origin.Unsettled, origin.Place{}},
		{"no place yet", origin.Evidence{Read: true, Complete: always}, origin.Unsettled, origin.Place{}},
		{"only place", origin.Evidence{Read: true, Complete: always, Places: one}, origin.Known, second},
		{"only place, an entry is silent", origin.Evidence{Read: true, Complete: always, Places: one, Silent: 1}, origin.Known, second},
		{"recorded for a short time", origin.Evidence{Read: true, Complete: time.Minute, Places: one}, origin.Unsettled, origin.Place{}},
		{"several, an entry is silent", origin.Evidence{Read: true, OriginRead: true, Complete: always, Places: two, Silent: 1}, origin.Unsettled, origin.Place{}},
		{"several, origin not read", origin.Evidence{Read: true, Complete: always, Places: two}, origin.Unsettled, origin.Place{}},
		{"several, not stored", origin.Evidence{Read: true, OriginRead: true, Complete: always, Places: two}, origin.Lost, origin.Place{}},
	} {
		pa, got := origin.Decide(tc.ev)
		require.Equal(t, tc.want, got, tc.name)
		require.Equal(t, tc.at, pa, tc.name)
	}
}

// A place is kept for Retention after its last target, and written again if it is used again.
func TestPlaces(t *testing.T) {
	now := time.Unix(1000, 0)
	target := func(software string) fleet.Target { return fleet.Target{Service: "desk", Software: software} }
	var pl origin.Places
	require.Empty(t, pl.Missing())
	pl.Update(now, []conf.Route{chat, plain}, []fleet.Target{target("v1"), {Service: "lm", Software: "v9"}})
	require.Equal(t, []origin.Place{first}, pl.Missing(), "only routes whose streams are resumed")
	require.False(t, pl.Has(first))
	pl.Recorded(now, first)
	require.True(t, pl.Has(first))
	require.False(t, pl.Several("chat"))

	pl.Update(now, []conf.Route{chat}, []fleet.Target{target("v1"), target("v2")})
	require.Equal(t, []origin.Place{second}, pl.Missing())
	pl.Recorded(now, second)
	require.True(t, pl.Several("chat"))

	now = now.Add(time.Hour)
	pl.Update(now, []conf.Route{chat}, []fleet.Target{target("v2")})
	require.False(t, pl.Has(first), "no stream begins there")
	require.True(t, pl.Several("chat"), "streams that began there may still be resumed")
	now = now.Add(origin.Retention)
	require.Empty(t, pl.Expired(now))
	pl.Update(now, []conf.Route{chat}, []fleet.Target{target("v1"), target("v2")})
	require.Equal(t, []origin.Place{first}, pl.Missing(), "another entry may be about to delete the row")
	pl.Recorded(now, first)
	pl.Update(now, []conf.Route{chat}, []fleet.Target{target("v2")})
	require.True(t, pl.Unused())
	require.Equal(t, []origin.Place{first}, pl.Expired(now.Add(origin.Retention+1)))
	require.False(t, pl.Unused())
	require.False(t, pl.Several("chat"))
}

// A row that was listed at the start and whose version serves no longer counts.
func TestPlacesBeforeTheStart(t *testing.T) {
	now := time.Unix(1000, 0)
	var pl origin.Places
	pl.Recorded(now, first, second)
	pl.Update(now, []conf.Route{chat}, []fleet.Target{{Service: "desk", Software: "v2"}})
	require.True(t, pl.Several("chat"))
	require.Equal(t, []origin.Place{second}, pl.Missing(), "its row is written again before it is used")
	require.False(t, pl.Has(second))
}

func TestRows(t *testing.T) {
	long := origin.Place{Route: strings.Repeat("r", 300), Service: strings.Repeat("s", 300), Software: strings.Repeat("v", 300)}
	for _, pa := range []origin.Place{first, long} {
		pu, err := pa.Put()
		require.NoError(t, err)
		require.LessOrEqual(t, len(pu.ID.Key), 200)
		ra := origin.PlaceRange(pa.Route)
		require.GreaterOrEqual(t, pu.ID.Key, ra.From)
		require.Less(t, pu.ID.Key, ra.To)
		got, ok, err := origin.DecodePlace(table.Row{ID: pu.ID, Value: pu.Value})
		require.NoError(t, err)
		require.True(t, ok)
		require.Equal(t, pa, got)
	}
	_, _, err := origin.DecodePlace(table.Row{ID: first.ID(), Value: []byte("x")})
	require.Error(t, err)

	for _, tc := range []struct {
		since origin.Since
		want  time.Duration
	}{{origin.Since{Always: true}, origin.Retention + 1}, {origin.Since{At: 2 * time.Second}, 3 * time.Second}} {
		pu, err := tc.since.Put()
		require.NoError(t, err)
		ro := table.Row{ID: pu.ID, Value: pu.Value}
		_, isPlace, err := origin.DecodePlace(ro)
		require.NoError(t, err)
		require.False(t, isPlace)
		since, ok, err := origin.DecodeSince(ro)
		require.NoError(t, err)
		require.True(t, ok)
		require.Equal(t, tc.want, since.For(5*time.Second))
	}

	pu, err := origin.Stored{Place: first, Expires: 7}.Put("id")
	require.NoError(t, err)
	require.Equal(t, origin.ID("chat", "id"), pu.ID)
	require.Contains(t, batch.Parts(), pu.ID.Part)
	st, err := origin.DecodeStored(table.Row{ID: pu.ID, Value: pu.Value})
	require.NoError(t, err)
	require.Equal(t, origin.Stored{Place: first, Expires: 7}, st)
}

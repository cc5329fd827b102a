package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/batch"
	"bilberryshelf/conf"
	"bilberryshelf/fleet"
)

var start = time.Unix(1000, 0)

// step returns a job with one item for each element of groups. The trainer waits for
// the required number of complete groups.
func step(required int, groups ...string) *job {
	body := &batch.Job{ID: "j", Model: "m", MinVersion: 2, RequiredGroups: required}
	for at, gr := range groups {
		body.Items = append(body.Items, batch.Item{ID: gr + string(rune('0'+at)), Group: gr})
	}
	return newJob(body, batch.VersionedHead{}, conf.Route{Name: "r", Attempts: 3, Shares: []conf.Share{{Service: "lm"}}}, nil)
}

// runOn starts an item on an engine, with events at the engine's pace.
func runOn(it *item, en *engine, events int) {
	ru := &run{engine: en, item: it, cancel: func() {}, startedAt: start}
	for at := range events {
		ru.add(start.Add(time.Duration(at)*en.pace), Event{Data: "x", Version: 2})
	}
	it.state, it.run = running, ru
}

func TestAppendEvents(t *testing.T) {
	it := &item{}
	it.appendEvents([]Event{{Data: "a", Version: 2}, {Data: "b", Version: 3}}, "v1", 2)
	require.Equal(t, []string{"a", "b"}, it.events)
	it.appendEvents([]Event{{Data: "c", Version: 3}, {Data: "d", Version: 1}}, "v1", 2)
	require.Equal(t, []string{"a", "b"}, it.events, "the run is discarded if one event is of older weights")
	require.Equal(t, []uint64{2, 3}, it.versions)
	require.Equal(t, "v1", it.software)
}

func TestReuse(t *testing.T) {
	text := func(events int, version uint64) batch.Partial {
		pa := batch.Partial{}
		for range events {
			pa.Events, pa.Versions = append(pa.Events, "x"), append(pa.Versions, version)
		}
		return pa
	}
	for _, tc := range []struct {
		name      string
		stored    batch.Partial
		runEvents int
		state     itemState
		want      int
	}{
		{"a longer text for a running item", text(20, 2), 5, running, 20},
		{"a text for a waiting item", text(20, 2), 0, waiting, 20},
		{"a text that is only a little longer", text(8, 2), 5, running, 0},
		{"a text of older weights", text(20, 1), 5, running, 0},
		{"a text of software that no longer serves", batch.Partial{Events: text(20, 2).Events, Versions: text(20, 2).Versions, Software: "v0"}, 5, running, 0},
		{"a complete text of such software", batch.Partial{Events: text(20, 2).Events, Versions: text(20, 2).Versions, Software: "v0", Complete: true}, 5, running, 20},
		{"a text for an item that is scored", text(20, 2), 0, scoring, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			jo := step(1, "a")
			it := jo.items[0]
			if tc.state == running {
				runOn(it, newEngine(fleet.Target{ID: "e"}), tc.runEvents)
			}
			it.state = tc.state
			jo.reuse(map[string]batch.Partial{it.item.ID: tc.stored}, func(software string) bool { return software == "" })
			require.Len(t, it.events, tc.want)
			require.Equal(t, tc.want > 0, it.resumed)
		})
	}
}

// The remaining time of an item is bounded by the longest text, the pace of its
// engine and the scoring call. An item without an engine has no bound.
func TestRemaining(t *testing.T) {
	const longest = 100
	en := newEngine(fleet.Target{ID: "e"})
	en.pace = 40 * time.Millisecond
	it := step(1, "a").items[0]
	require.Equal(t, batch.NoBound, it.remaining(start, longest))
	runOn(it, en, 90)
	require.Equal(t, 10*en.pace+usualScoreTime, it.remaining(start, longest))
	it.run.superseded = true
	require.Equal(t, batch.NoBound, it.remaining(start, longest))
	it.state, it.run, it.completeSince = scoring, nil, start
	require.Equal(t, usualScoreTime, it.remaining(start, longest))
	require.Equal(t, checkInterval, it.remaining(start.Add(time.Second), longest), "the scoring call takes longer than usual")
	it.state = done
	require.Zero(t, it.remaining(start, longest))
}

// The remaining time of a group is that of its last item, and the step is complete
// with the required number of groups.
func TestProgress(t *testing.T) {
	en := newEngine(fleet.Target{ID: "e"})
	en.pace = 40 * time.Millisecond
	jo := step(2, "a", "a", "b", "c")
	jo.readySince = start
	jo.items[0].state = done
	runOn(jo.items[1], en, 98)
	jo.items[2].state = done
	pr := jo.progress(start, 100)
	require.ElementsMatch(t, []time.Duration{2*en.pace + usualScoreTime, 0, batch.NoBound}, pr.Remaining)
	require.True(t, pr.ShouldWait(), "the second group is complete within the bound")
	jo.items[1].state = done
	require.False(t, jo.progress(start, 100).ShouldWait(), "the second group is complete")
}

// The pace of a run is that of most of its events: an engine that reads the prompts of
// other runs pauses for several events, and is not slow. One that is slow shows after three
// gaps, and one that stops shows while the pause lasts.
func TestPace(t *testing.T) {
	const usual = 40 * time.Millisecond
	for _, tc := range []struct {
		name string
		gaps []time.Duration
		// since is the time since the last event.
		since time.Duration
		want  time.Duration
	}{
		{"too few events", []time.Duration{usual, usual, usual, usual}, 0, 0},
		{"steady", []time.Duration{usual, usual, usual, usual, usual}, 0, usual},
		{"one pause", []time.Duration{usual, usual, 300 * time.Millisecond, usual, usual}, 0, usual},
		{"two pauses", []time.Duration{usual, 300 * time.Millisecond, usual, 300 * time.Millisecond, usual}, 0, usual},
		{"in a pause", []time.Duration{usual, usual, usual, usual, usual}, 300 * time.Millisecond, usual},
		{"slow since three events", []time.Duration{usual, usual, 4 * usual, 4 * usual, 4 * usual}, 0, 4 * usual},
		{"slow since two events, and no event since", []time.Duration{usual, usual, usual, 4 * usual, 4 * usual}, 5 * usual, 4 * usual},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			ru := &run{startedAt: now}
			ru.add(now, Event{Version: 1})
			for _, gap := range tc.gaps {
				now = now.Add(gap)
				ru.add(now, Event{Version: 1})
			}
			require.Equal(t, tc.want, ru.pace(now.Add(tc.since)))
		})
	}
}

// A text that has outlived its estimate counts as long, not as nearly complete.
func TestRemainingEvents(t *testing.T) {
	it := &item{item: &batch.Item{Hint: 40 * tokensPerEvent, PromptTokens: 100, MaxTokens: 100 + 200*tokensPerEvent}}
	for generated, want := range map[int]int{0: 40, 30: 10, 40: 21, 100: 51} {
		it.events = make([]string, generated)
		require.Equal(t, want, it.remainingEvents(), generated)
	}
	it.item.Hint, it.events = 1000*tokensPerEvent, nil
	require.Equal(t, 200, it.remainingEvents(), "no more than the request permits")
}

// An end without an event counts for the text that the item had: not for a longer one that was
// read from the store since, nor for one that was continued or begun anew.
func TestEndIsConfirmedForOneText(t *testing.T) {
	en := &engine{target: fleet.Target{ID: "e1"}}
	for name, change := range map[string]func(jo *job, it *item){
		"stored text": func(jo *job, it *item) {
			jo.reuse(map[string]batch.Partial{it.item.ID: {ID: it.item.ID, Events: make([]string, 9), Versions: []uint64{2, 2, 2, 2, 2, 2, 2, 2, 2}}}, func(string) bool { return true })
			require.Len(t, it.events, 9)
		},
		"continued":  func(_ *job, it *item) { it.appendEvents([]Event{{Data: "b", Version: 2}}, "v1", 2) },
		"begun anew": func(_ *job, it *item) { it.reset() },
		"as it was":  nil,
	} {
		jo := step(1, "g")
		it := jo.items[0]
		it.appendEvents([]Event{{Data: "a", Version: 2}}, "v1", 2)
		require.False(t, it.endConfirmed(en), name)
		if change != nil {
			change(jo, it)
		}
		require.Equal(t, change == nil, it.endConfirmed(en), name)
		require.Equal(t, "e1", it.avoid)
	}
}

// Guards against events that stand twice in a text: a stored text replaces that of an item
// while a run of it goes on, and the texts are saved, or the job is dropped, before the run has
// ended. The end of that run does not complete the stored text either.
func TestReplacedTextDoesNotHoldEventsOfItsRun(t *testing.T) {
	for _, ending := range []Ending{Interrupted, Complete, Failed, Refused} {
		jo := step(1, "a")
		it := jo.items[0]
		en := newEngine(fleet.Target{ID: "e"})
		runOn(it, en, 3)
		ru := it.run
		ru.job = jo
		stored := batch.Partial{ID: it.item.ID, Events: []string{"1", "2", "3", "4", "5", "6", "7", "8"}, Versions: []uint64{2, 2, 2, 2, 2, 2, 2, 2}}
		jo.reuse(map[string]batch.Partial{it.item.ID: stored}, func(string) bool { return true })
		require.Equal(t, stored.Events, it.events)
		ru.add(start, Event{Data: "late", Version: 2})
		pa, found := it.partial(jo)
		require.True(t, found)
		require.Equal(t, stored.Events, pa.Events)
		require.Len(t, pa.Versions, len(stored.Events))

		it.run, it.state = nil, waiting
		new(Owner).continueItem(start, ru, Outcome{Ending: ending}, ru.finish())
		require.Equal(t, waiting, it.state, ending)
		require.False(t, it.complete)
		require.Equal(t, ending == Failed, it.failures == 1, "the engine ran the item")
		require.Equal(t, stored.Events, it.events)
	}
}

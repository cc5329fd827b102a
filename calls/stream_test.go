package calls_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

// streamAttempt is the behavior of a target in one attempt at a stream.
type streamAttempt struct {
	// events is the number of events sent from the requested one on, one every 50 ms.
	events int
	// err ends the attempt; nil means that the stream is complete.
	err *core.Error
	// hang keeps the stream open without further events.
	hang bool
	// comments is the time between two comments of a stream that hangs; zero means none.
	comments time.Duration
	status   int
}

// fakeStreamer plays one streamAttempt per call and records the requested positions.
type fakeStreamer struct {
	attempts  []streamAttempt
	afterIDs  []int
	requested []string
}

func (sr *fakeStreamer) Stream(ctx context.Context, ta fleet.Target, _ calls.Request, after int,
	begin func(calls.Response) error, event func(int, []byte) error,
) error {
	sa := sr.attempts[len(sr.requested)]
	sr.requested, sr.afterIDs = append(sr.requested, ta.ID), append(sr.afterIDs, after)
	if sa.events == 0 && sa.err != nil {
		return sa.err
	}
	if err := begin(calls.Response{Status: max(sa.status, 200), Stamp: ta.ID}); err != nil {
		return err
	}
	for at := range sa.events {
		time.Sleep(50 * time.Millisecond)
		if err := event(after+at+1, fmt.Appendf(nil, "%d ", after+at+1)); err != nil {
			return err
		}
	}
	for sa.hang {
		tick := time.After(sa.comments)
		if sa.comments == 0 {
			tick = nil
		}
		select {
		case <-tick:
			if err := event(calls.NoEvent, []byte(":")); err != nil {
				return err
			}
		case <-ctx.Done():
			return core.InDoubt(core.CodeTargetLost, "left")
		}
	}
	if sa.err != nil {
		return sa.err
	}
	return nil
}

// The log of a stream lists the targets of all its attempts, also those that were asked
// before it was resumed.
func TestStreamRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		cut, full := core.InDoubt(core.CodeAnswerCut, "cut"), core.Refuse(core.CodeFull, "full")
		sr := &fakeStreamer{attempts: []streamAttempt{{events: 1, err: cut}, {err: full}, {err: full}, {err: full}, {err: full}, {events: 1}}}
		fo := newForwarder(&fakeTargets{}, 6)
		fo.Streamer, fo.Logger = sr, log.NewLogfmtLogger(&out)
		re := request(conf.Stream, 10*time.Second)
		re.Route.Resumable, re.Route.Timeout = true, 2*time.Second
		require.Nil(t, fo.Stream(context.Background(), re, &sink{}))
		require.Contains(t, out.String(), "targets="+strings.Join(sr.requested, ","))
	})
}

// sink collects the events of a stream and disconnects after disconnectAfter of them, if set.
type sink struct {
	text            strings.Builder
	heads           []string
	disconnectAfter int
	delay           time.Duration
}

func (si *sink) Begin(rs calls.Response) { si.heads = append(si.heads, rs.Stamp) }

func (si *sink) Event(raw []byte) error {
	time.Sleep(si.delay)
	if si.disconnectAfter > 0 && strings.Count(si.text.String(), " ") >= si.disconnectAfter {
		return context.Canceled
	}
	si.text.Write(raw)
	return nil
}

func TestStream(t *testing.T) {
	full := core.Refuse(core.CodeFull, "full")
	cut := core.InDoubt(core.CodeAnswerCut, "cut")
	for _, tc := range []struct {
		name      string
		resumable bool
		attempts  []streamAttempt
		sink      sink
		text      string
		afterIDs  []int
		code      core.Code
		verdict   core.Verdict
		within    time.Duration
	}{
		{name: "whole", attempts: []streamAttempt{{events: 3}}, text: "1 2 3 ", afterIDs: []int{0}, within: 160 * time.Millisecond},
		{name: "a refusal leads to another target", attempts: []streamAttempt{{err: full}, {events: 2}}, text: "1 2 ", afterIDs: []int{0, 0}, within: 110 * time.Millisecond},
		{name: "all refuse: refused at once", attempts: []streamAttempt{{err: full}, {err: full}, {err: full}, {err: full}}, afterIDs: []int{0, 0, 0, 0}, code: core.CodeFull, verdict: core.NotRun, within: 10 * time.Millisecond},
		{name: "cut before the first event: never sent again", attempts: []streamAttempt{{err: cut}}, afterIDs: []int{0}, code: core.CodeAnswerCut, verdict: core.MayHaveRun, within: 10 * time.Millisecond},
		{name: "cut: aborted", attempts: []streamAttempt{{events: 2, err: cut}}, text: "1 2 ", afterIDs: []int{0}, code: core.CodeAnswerCut, verdict: core.MayHaveRun, within: 110 * time.Millisecond},
		{name: "resumed after the last event", resumable: true, attempts: []streamAttempt{{events: 2, err: cut}, {events: 2}}, text: "1 2 3 4 ", afterIDs: []int{0, 2}, within: 210 * time.Millisecond},
		{name: "resumed after the idle timeout", resumable: true, attempts: []streamAttempt{{events: 2, hang: true}, {events: 2}}, text: "1 2 3 4 ", afterIDs: []int{0, 2}, within: 1300 * time.Millisecond},
		{name: "comments are not progress", resumable: true, attempts: []streamAttempt{{events: 2, hang: true, comments: 400 * time.Millisecond}, {events: 2}}, text: "1 2 ::3 4 ", afterIDs: []int{0, 2}, within: 1300 * time.Millisecond},
		{name: "comments before the first event are not progress", resumable: true, attempts: []streamAttempt{{hang: true, comments: 400 * time.Millisecond}, {events: 2}}, text: "::1 2 ", afterIDs: []int{0, 0}, within: 1200 * time.Millisecond},
		{name: "comments read slowly", resumable: true, attempts: []streamAttempt{{events: 1, hang: true, comments: 400 * time.Millisecond}, {events: 1}}, sink: sink{delay: 900 * time.Millisecond}, text: "1 ::2 ", afterIDs: []int{0, 1}, within: 4800 * time.Millisecond},
		{name: "stalled before the first event, with comments", attempts: []streamAttempt{{hang: true, comments: 300 * time.Millisecond}}, text: "::::::", afterIDs: []int{0}, code: core.CodeTargetLost, verdict: core.MayHaveRun, within: 2100 * time.Millisecond},
		{name: "resumed when a slot is free", resumable: true, attempts: []streamAttempt{{events: 1, err: cut}, {err: full}, {err: full}, {err: full}, {err: full}, {events: 1}}, text: "1 2 ", afterIDs: []int{0, 1, 1, 1, 1, 1}, within: 300 * time.Millisecond},
		{name: "no more targets than the route permits", resumable: true, attempts: []streamAttempt{{events: 1, err: cut}, {events: 1, err: cut}}, text: "1 2 ", afterIDs: []int{0, 1}, code: core.CodeAnswerCut, verdict: core.MayHaveRun, within: 110 * time.Millisecond},
		{name: "ended without an event: another target continues", resumable: true, attempts: []streamAttempt{{}, {events: 2}}, text: "1 2 ", afterIDs: []int{0, 0}, within: 110 * time.Millisecond},
		{name: "ended without an event at two targets: complete", resumable: true, attempts: []streamAttempt{{}, {}}, afterIDs: []int{0, 0}, within: 10 * time.Millisecond},
		{name: "not resumable: an end without an event counts", attempts: []streamAttempt{{}}, afterIDs: []int{0}, within: 10 * time.Millisecond},
		{name: "resumed without an event, no further attempt: aborted", resumable: true, attempts: []streamAttempt{{events: 1, err: cut}, {}}, text: "1 ", afterIDs: []int{0, 1}, code: core.CodeAnswerCut, verdict: core.MayHaveRun, within: 110 * time.Millisecond},
		{name: "not resumed by a response with another status", resumable: true, attempts: []streamAttempt{{events: 1, err: cut}, {events: 1, status: 500}}, text: "1 ", afterIDs: []int{0, 1}, code: core.CodeAnswerCut, verdict: core.MayHaveRun, within: 110 * time.Millisecond},
		{name: "ended by a caller that disconnects", resumable: true, attempts: []streamAttempt{{events: 9}}, sink: sink{disconnectAfter: 2}, text: "1 2 ", afterIDs: []int{0}, code: core.CodeAnswerDropped, verdict: core.MayHaveRun, within: 160 * time.Millisecond},
		{name: "a slow reader does not make the target count as stalled", resumable: true, attempts: []streamAttempt{{events: 2}}, sink: sink{delay: 1500 * time.Millisecond}, text: "1 2 ", afterIDs: []int{0}, within: 3200 * time.Millisecond},
		{name: "stalled before the first event", attempts: []streamAttempt{{hang: true}}, afterIDs: []int{0}, code: core.CodeTargetLost, verdict: core.MayHaveRun, within: 2100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sr := &fakeStreamer{attempts: tc.attempts}
				fo := newForwarder(&fakeTargets{}, 6)
				fo.Streamer = sr
				re := request(conf.Stream, 10*time.Second)
				re.Route.Resumable, re.Route.Timeout = tc.resumable, 2*time.Second
				si := tc.sink
				started := time.Now()
				err := fo.Stream(context.Background(), re, &si)
				require.LessOrEqual(t, time.Since(started), tc.within)
				require.Equal(t, tc.text, si.text.String())
				require.Equal(t, tc.afterIDs, sr.afterIDs)
				require.LessOrEqual(t, len(si.heads), 1, "only the head of the first target")
				if tc.code == "" {
					require.Nil(t, err)
					return
				}
				require.NotNil(t, err)
				require.Equal(t, tc.code, err.Code)
				require.Equal(t, tc.verdict, err.Verdict)
			})
		})
	}
}

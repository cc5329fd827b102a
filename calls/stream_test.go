package calls_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/calls"
	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
)

// streamAttempt is what a target does in one attempt at a stream.
type streamAttempt struct {
	// events is how many are sent from the place asked for, one each 50 ms.
	events int
	// err ends the attempt; nil is the stream's own end.
	err *core.Error
	// hang falls silent after the events.
	hang   bool
	status int
}

// fakeStreamer plays one part for each attempt.
type fakeStreamer struct {
	attempts  []streamAttempt
	afters    []int
	requested []string
}

func (sr *fakeStreamer) Stream(ctx context.Context, ta fleet.Target, _ calls.Request, after int,
	begin func(calls.Response) error, event func(int, []byte) error,
) error {
	pa := sr.attempts[len(sr.requested)]
	sr.requested, sr.afters = append(sr.requested, ta.ID), append(sr.afters, after)
	if pa.events == 0 && pa.err != nil {
		return pa.err
	}
	if err := begin(calls.Response{Status: max(pa.status, 200), Stamp: ta.ID}); err != nil {
		return err
	}
	for at := range pa.events {
		time.Sleep(50 * time.Millisecond)
		if err := event(after+at+1, fmt.Appendf(nil, "%d ", after+at+1)); err != nil {
			return err
		}
	}
	if pa.hang {
		<-ctx.Done()
		return core.InDoubt(core.CodeTargetLost, "left")
	}
	if pa.err != nil {
		return pa.err
	}
	return nil
}

// sink is a caller that takes events, or leaves after some.
type sink struct {
	text       strings.Builder
	heads      []string
	leaveAfter int
	delay      time.Duration
}

func (pa *sink) Begin(an calls.Response) { pa.heads = append(pa.heads, an.Stamp) }

func (pa *sink) Event(raw []byte) error {
	time.Sleep(pa.delay)
	if pa.leaveAfter > 0 && strings.Count(pa.text.String(), " ") >= pa.leaveAfter {
		return context.Canceled
	}
	pa.text.Write(raw)
	return nil
}

func TestStream(t *testing.T) {
	full := core.Refuse(core.CodeFull, "full")
	cut := core.InDoubt(core.CodeAnswerCut, "cut")
	for _, tc := range []struct {
		name      string
		resumable bool
		parts     []streamAttempt
		page      sink
		text      string
		afters    []int
		code      core.Code
		verdict   core.Verdict
		within    time.Duration
	}{
		{name: "whole", parts: []streamAttempt{{events: 3}}, text: "1 2 3 ", afters: []int{0}, within: 160 * time.Millisecond},
		{name: "a refusal leads to another target", parts: []streamAttempt{{err: full}, {events: 2}}, text: "1 2 ", afters: []int{0, 0}, within: 110 * time.Millisecond},
		{name: "all refuse: refused at once", parts: []streamAttempt{{err: full}, {err: full}, {err: full}, {err: full}}, afters: []int{0, 0, 0, 0}, code: core.CodeFull, verdict: core.NotRun, within: 10 * time.Millisecond},
		{name: "cut before the first event: never again", parts: []streamAttempt{{err: cut}}, afters: []int{0}, code: core.CodeAnswerCut, verdict: core.MayHaveRun, within: 10 * time.Millisecond},
		{name: "cut: broken off", parts: []streamAttempt{{events: 2, err: cut}}, text: "1 2 ", afters: []int{0}, code: core.CodeAnswerCut, verdict: core.MayHaveRun, within: 110 * time.Millisecond},
		{name: "resumed behind the last event", resumable: true, parts: []streamAttempt{{events: 2, err: cut}, {events: 2}}, text: "1 2 3 4 ", afters: []int{0, 2}, within: 210 * time.Millisecond},
		{name: "resumed after silence", resumable: true, parts: []streamAttempt{{events: 2, hang: true}, {events: 2}}, text: "1 2 3 4 ", afters: []int{0, 2}, within: 1300 * time.Millisecond},
		{name: "resumed when a place is free", resumable: true, parts: []streamAttempt{{events: 1, err: cut}, {err: full}, {err: full}, {err: full}, {err: full}, {events: 1}}, text: "1 2 ", afters: []int{0, 1, 1, 1, 1, 1}, within: 300 * time.Millisecond},
		{name: "no more targets than the route permits", resumable: true, parts: []streamAttempt{{events: 1, err: cut}, {events: 1, err: cut}}, text: "1 2 ", afters: []int{0, 1}, code: core.CodeAnswerCut, verdict: core.MayHaveRun, within: 110 * time.Millisecond},
		{name: "not resumed by an answer of another kind", resumable: true, parts: []streamAttempt{{events: 1, err: cut}, {events: 1, status: 500}}, text: "1 ", afters: []int{0, 1}, code: core.CodeAnswerCut, verdict: core.MayHaveRun, within: 110 * time.Millisecond},
		{name: "a caller that leaves ends it", resumable: true, parts: []streamAttempt{{events: 9}}, page: sink{leaveAfter: 2}, text: "1 2 ", afters: []int{0}, code: core.CodeAnswerDropped, verdict: core.MayHaveRun, within: 160 * time.Millisecond},
		{name: "a slow reader is no silent target", resumable: true, parts: []streamAttempt{{events: 2}}, page: sink{delay: 1500 * time.Millisecond}, text: "1 2 ", afters: []int{0}, within: 3200 * time.Millisecond},
		{name: "silent before the first event", parts: []streamAttempt{{hang: true}}, afters: []int{0}, code: core.CodeTargetLost, verdict: core.MayHaveRun, within: 2100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sr := &fakeStreamer{attempts: tc.parts}
				ca := newForwarder(&fakeTargets{}, 6)
				ca.Streamer = sr
				re := request(conf.Stream, 10*time.Second)
				re.Route.Resumable, re.Route.Timeout = tc.resumable, 2*time.Second
				pa := tc.page
				began := time.Now()
				err := ca.Stream(context.Background(), re, &pa)
				require.LessOrEqual(t, time.Since(began), tc.within)
				require.Equal(t, tc.text, pa.text.String())
				require.Equal(t, tc.afters, sr.afters)
				require.LessOrEqual(t, len(pa.heads), 1, "the head of the first target only")
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

package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/client"
	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/sample"
	"bilberryshelf/setup"
	"bilberryshelf/trial"
)

func spec(step string, groups, size int) sample.Spec {
	sp := sample.Spec{Step: step, Service: "blend-lm", GroupSize: size, MaxTokens: 100, Staleness: 1, Version: 1}
	for gr := range groups {
		sp.Prompts = append(sp.Prompts, fmt.Sprintf("prompt %d of %s", gr, step))
	}
	return sp
}

// collect runs a step and checks the text of every sample against the expected
// output of the engine. It calls during after each sample.
func collect(ctx context.Context, t *testing.T, st *client.Step, during func(count int)) []sample.Sample {
	t.Helper()
	var all []sample.Sample
	seen := map[sample.Slot]bool{}
	err := st.Run(ctx, func(sa sample.Sample) error {
		require.False(t, seen[sa.Slot], "slot %v was delivered twice", sa.Slot)
		seen[sa.Slot] = true
		require.Equal(t, fake.Answer(st.Spec.Prompts[sa.Slot.Group], sa.Slot.Index+1, st.Spec.MaxTokens), sa.Text)
		all = append(all, sa)
		if during != nil {
			during(len(all))
		}
		return nil
	})
	require.NoError(t, err)
	require.Len(t, all, st.Spec.Slots())
	return all
}

// P3: a step delivers every sample exactly once although its owner is killed and
// an engine crashes during the step.
func TestStepSurvivesEntryAndEngineCrash(t *testing.T) {
	sy := newSystem(t, options{engines: 3, entries: 2, tokenEvery: time.Millisecond})
	sy.announce(1)
	ft := &failoverTransport{nodes: sy.entries}
	st := &client.Step{
		Client: &client.Client{URL: sy.entries[0].URL, Token: trial.TrainerToken, HTTP: &http.Client{Transport: ft}},
		Spec:   spec("survives", 16, 4), Wait: 500 * time.Millisecond,
	}
	owner := core.Owner("chemists/survives", []string{"entry-0", "entry-1"})
	collect(sy.ctx, t, st, func(count int) {
		switch count {
		case 10:
			for at, no := range sy.entries {
				if fmt.Sprintf("entry-%d", at) == owner {
					no.Kill()
				}
			}
		case 30:
			sy.engines[0].Crash()
		}
	})
}

// failoverTransport is a load balancer that switches to the next entry when one
// fails.
type failoverTransport struct {
	nodes []*trial.Node
	at    int
}

func (ft *failoverTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var last error
	for range ft.nodes {
		next := req.Clone(req.Context())
		body, err := req.GetBody()
		if err != nil {
			return nil, err
		}
		next.Body = body
		next.URL.Host = ft.nodes[ft.at%len(ft.nodes)].URL[len("http://"):]
		res, err := http.DefaultTransport.RoundTrip(next)
		if err == nil {
			return res, nil
		}
		last = err
		ft.at++
	}
	return nil, last
}

// A trainer that restarts with the samples it has accepted gets only the others.
func TestTrainerRestart(t *testing.T) {
	sy := newSystem(t, options{engines: 2})
	sy.announce(1)
	first := &client.Step{Client: sy.entries[0].Trainer(), Spec: spec("restart", 4, 4), Wait: time.Second}
	kept := map[sample.Slot]bool{}
	stop := fmt.Errorf("the trainer crashes")
	err := first.Run(sy.ctx, func(sa sample.Sample) error {
		kept[sa.Slot] = true
		if len(kept) == 5 {
			return stop
		}
		return nil
	})
	require.ErrorIs(t, err, stop)

	second := &client.Step{Client: sy.entries[0].Trainer(), Spec: spec("restart", 4, 4), Wait: time.Second}
	second.Resume(first.Accepted())
	err = second.Run(sy.ctx, func(sa sample.Sample) error {
		// The fifth was delivered but not accepted, so it is delivered again.
		require.NotContains(t, first.Accepted(), sa.Slot)
		return nil
	})
	require.NoError(t, err)
	require.Len(t, second.Accepted(), 16)
}

// P1 and P2: weights are swapped during generations. Every version label must be
// true, and no sample may be too old for the version that the trainer states.
func TestSampleVersionLabels(t *testing.T) {
	sy := newSystem(t, options{engines: 2, tokenEvery: 2 * time.Millisecond})
	sy.announce(1)
	version := uint64(1)
	st := &client.Step{
		Client: sy.entries[0].Trainer(), Spec: spec("versions", 8, 4), Wait: time.Second,
		Version: func() uint64 { return version },
	}
	all := collect(sy.ctx, t, st, func(count int) {
		if count%10 == 0 && version < 4 {
			version++
			require.NoError(t, sy.entries[0].Announce(sy.ctx, "blend-lm", version))
		}
	})
	for _, sa := range all {
		last := uint64(0)
		for _, se := range sa.Segments {
			require.Greater(t, se.Version, last, "the versions of a sample must rise")
			last = se.Version
		}
		require.LessOrEqual(t, last, version)
	}
}

// P1: if an engine is configured as reporting versions late, no sample generated
// during a swap is delivered with labels, since these may be wrong.
func TestLateVersionReports(t *testing.T) {
	sy := newSystem(t, options{
		engines: 1, tokenEvery: 3 * time.Millisecond,
		guard: func(se *setup.Guard) { se.Engine.LateReports = true },
	})
	sy.announce(1)
	sy.engines[0].Set(fake.Faults{LateReport: 1 << 30})
	received := false
	st := &client.Step{Client: sy.entries[0].Trainer(), Spec: spec("late", 6, 2), Wait: time.Second}
	st.Spec.Staleness = 5
	go func() {
		for sy.engines[0].Running() == 0 {
			time.Sleep(time.Millisecond)
		}
		_ = sy.entries[0].Announce(sy.ctx, "blend-lm", 2)
		for sy.engines[0].Version() != 2 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		sy.engines[0].Set(fake.Faults{})
	}()
	for _, sa := range collect(sy.ctx, t, st, func(int) { received = true }) {
		require.Len(t, sa.Segments, 1, "a sample generated during a swap was labelled %v", sa.Segments)
	}
	require.True(t, received)
}

// A failed swap leaves the old version in place and is retried; a target reports
// the new version only after it is loaded.
func TestFailedSwapIsRetried(t *testing.T) {
	sy := newSystem(t, options{engines: 2})
	for _, en := range sy.engines {
		en.Set(fake.Faults{FailLoads: 2})
	}
	sy.announce(1)
	for _, en := range sy.engines {
		require.Equal(t, uint64(1), en.Version())
	}
	require.Error(t, sy.entries[0].Announce(sy.ctx, "blend-lm", 0))
	require.NoError(t, sy.entries[0].Announce(sy.ctx, "blend-lm", 1), "the same announcement again")
}

// P9: if the platform fails right after a commit, every entry still gets the change
// from the other entries and enforces it.
func TestGossipDuringPlatformOutage(t *testing.T) {
	sy := newSystem(t, options{services: 1, entries: 3})
	sheet := trial.SheetHeader + trial.LoanRow("mine", "lot-check", "lot-check-00", "somebody", core.Service, core.Normal, time.Hour)
	var ap trial.ApplyResult
	require.NoError(t, sy.entries[0].Operator().Call(sy.ctx, http.MethodPost, "/v1/sheets", []byte(sheet), &ap, client.Options{}))
	sy.Platform.Set(fake.Faults{Down: true})
	for _, no := range sy.entries {
		require.NoError(t, no.Wait(sy.ctx, func(st trial.Status) bool { return st.Generation == ap.Generation }))
	}
	require.Eventually(t, func() bool {
		an := sy.check(2, "after", "")
		return an.Status == http.StatusForbidden
	}, testTimeout, 20*time.Millisecond)
	sy.Platform.Set(fake.Faults{})
}

// If the platform's answer is lost after the write took effect, the acceptor
// settles the outcome, and the sheet is accepted exactly once.
func TestLostPlatformAnswer(t *testing.T) {
	sy := newSystem(t, options{services: 1})
	before, err := sy.entries[0].Status(sy.ctx)
	require.NoError(t, err)
	sy.Platform.Set(fake.Faults{LoseAnswers: 1})
	ap := sy.apply(trial.SheetHeader + trial.LoanRow("mine", "lot-check", "lot-check-00", "sales-desk", core.Service, core.High, time.Hour))
	require.Equal(t, before.Generation+1, ap.Generation)
}

// A guard enforces a recall as soon as it has the new configuration, also for
// requests through an entry that still has the old one.
func TestGuardEnforcesRecall(t *testing.T) {
	sy := newSystem(t, options{services: 1, entries: 2})
	require.Equal(t, http.StatusOK, sy.check(1, "before", "").Status)
	var ap trial.ApplyResult
	require.NoError(t, sy.entries[0].Operator().Call(sy.ctx, http.MethodPost, "/v1/loans/lots/recall", nil, &ap, client.Options{}))
	require.Eventually(t, func() bool { return sy.check(1, "after the recall", "").Status == http.StatusForbidden }, testTimeout, 10*time.Millisecond)
	ran := sy.runs("after the recall")
	for range 5 {
		require.Equal(t, http.StatusForbidden, sy.check(1, "after the recall", "").Status)
	}
	require.Equal(t, ran, sy.runs("after the recall"))
}

// Engines that crashed one after the other while they ran the same samples had those
// condemned: each had run alone on an engine that died. The step waited for them for ten
// minutes. Samples are owed, however many engines died under them.
func TestSampleCondemnedByBurstOfCrashes(t *testing.T) {
	sy := newSystem(t, options{engines: 2, tokenEvery: 4 * time.Millisecond})
	sy.announce(1)
	ctx, cancel := context.WithTimeout(sy.ctx, testTimeout/2)
	defer cancel()
	burst := make(chan struct{})
	go func() {
		defer close(burst)
		for at := range 24 {
			time.Sleep(150 * time.Millisecond)
			sy.engines[at%2].Crash()
			time.Sleep(50 * time.Millisecond)
			if err := sy.RestartTarget(engineName(at % 2)); err != nil {
				t.Error(err)
			}
		}
	}()
	st := &client.Step{
		Client: &client.Client{URL: sy.entries[0].URL, Token: trial.TrainerToken},
		Spec:   spec("unlucky", 3, 2), Wait: 500 * time.Millisecond,
	}
	collect(ctx, t, st, nil)
	<-burst
}

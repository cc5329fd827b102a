package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/engine"
	"bilberryshelf/fake"
	"bilberryshelf/setup"
	"bilberryshelf/trial"
)

// testTimeout limits a test; its duration is not checked otherwise.
const testTimeout = time.Minute

// system runs engines, services and entries that share one sheet.
type system struct {
	*trial.Cluster
	t        *testing.T
	ctx      context.Context
	entries  []*trial.Node
	engines  []*fake.Engine
	services []*fake.Service
}

// options configure a system.
type options struct {
	engines, services, entries int
	tokenEvery                 time.Duration
	duration                   time.Duration // how long a service call takes
	guard                      func(se *setup.Guard)
	entry                      func(se *setup.Entry)
}

func newSystem(t *testing.T, op options) *system {
	t.Helper()
	cl, err := trial.New(nil)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	sy := &system{Cluster: cl, t: t, ctx: ctx}
	t.Cleanup(func() {
		cl.Close()
		cancel()
	})
	for at := range op.engines {
		en := &fake.Engine{TokenEvery: op.tokenEvery}
		sy.engines = append(sy.engines, en)
		_, err := cl.AddTarget(engineName(at), "blend-lm", "recife-a", en, nil, op.guard)
		require.NoError(t, err)
	}
	for at := range op.services {
		sv := &fake.Service{CallTime: op.duration}
		sy.services = append(sy.services, sv)
		_, err := cl.AddTarget(serviceName(at), "lot-check", "recife-a", nil, sv, op.guard)
		require.NoError(t, err)
	}
	for at := range max(op.entries, 1) {
		no, err := cl.AddEntry(fmt.Sprintf("entry-%d", at), "recife-a", op.entry)
		require.NoError(t, err)
		sy.entries = append(sy.entries, no)
	}
	sy.apply(sy.sheet())
	return sy
}

func engineName(at int) string  { return fmt.Sprintf("blend-lm-%02d", at) }
func serviceName(at int) string { return fmt.Sprintf("lot-check-%02d", at) }

func (sy *system) sheet() string {
	text := trial.SheetHeader
	if last := len(sy.engines) - 1; last >= 0 {
		targets := fmt.Sprintf("blend-lm-[00-%02d]", last)
		text += trial.LoanRow("desk", "blend-lm", targets, "sales-desk", core.Caller, core.High, time.Hour)
		text += trial.LoanRow("train", "blend-lm", targets, "chemists", core.Trainer, core.Low, time.Hour)
	}
	if last := len(sy.services) - 1; last >= 0 {
		text += trial.LoanRow("lots", "lot-check", fmt.Sprintf("lot-check-[00-%02d]", last), "sales-desk", core.Service, core.Normal, time.Hour)
	}
	return text
}

// apply applies a sheet and waits until every entry has adopted it and sees all
// targets serving.
func (sy *system) apply(text string) trial.ApplyResult {
	sy.t.Helper()
	ap, err := sy.entries[0].Apply(sy.ctx, text)
	require.NoError(sy.t, err)
	for _, no := range sy.entries {
		require.NoError(sy.t, no.Wait(sy.ctx, func(st trial.Status) bool {
			serving := len(st.Targets) == len(sy.engines)+len(sy.services) && st.Generation >= ap.Generation
			for _, ta := range st.Targets {
				serving = serving && ta.State == core.Serving
			}
			return serving
		}))
	}
	return ap
}

// announce announces a version and waits until all engines have loaded it.
func (sy *system) announce(version uint64) {
	sy.t.Helper()
	require.NoError(sy.t, sy.entries[0].Announce(sy.ctx, "blend-lm", version))
	for _, no := range sy.entries {
		require.NoError(sy.t, no.Wait(sy.ctx, func(st trial.Status) bool {
			for _, ta := range st.Targets {
				if ta.Version != version && ta.Name[0] == 'b' {
					return false
				}
			}
			return true
		}))
	}
}

func (sy *system) check(entry int, body, key string) trial.Answer {
	headers := map[string]string{"Bilberryshelf-Timeout": "10s"}
	if key != "" {
		headers["Idempotency-Key"] = key
	}
	return sy.entries[entry].Send(sy.ctx, "/services/lot-check/lots", body, headers)
}

func (sy *system) complete(entry int, prompt string, tokens int) trial.Answer {
	body := fmt.Sprintf(`{"model":"blend-lm","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	return sy.entries[entry].Send(sy.ctx, "/v1/completions", body, nil)
}

// textOf returns the text of a streamed answer, whether it contains an error, and
// whether it is complete, with its end marker.
func textOf(an trial.Answer) (text string, failed, complete bool) {
	var stream engine.Parser
	for _, ev := range stream.Feed([]byte(an.Body)) {
		text += ev.Text
		failed = failed || ev.Failed
		complete = complete || ev.Done
	}
	return text, failed, complete && an.Err == nil
}

// runs returns how often the services ran a request with the body, in total.
func (sy *system) runs(body string) int {
	total := 0
	for _, sv := range sy.services {
		total += sv.Runs()[body]
	}
	return total
}

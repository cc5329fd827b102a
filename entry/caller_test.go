package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/setup"
	"bilberryshelf/trial"
)

// The published OpenAI client library works unchanged.
func TestOpenAIClientLibrary(t *testing.T) {
	sy := newSystem(t, options{engines: 2})
	cl := openai.NewClient(option.WithBaseURL(sy.entries[0].URL+"/v1/"), option.WithAPIKey(trial.CallerToken), option.WithMaxRetries(0))

	completion, err := cl.Completions.New(sy.ctx, openai.CompletionNewParams{
		Model:  "blend-lm",
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("warm grey")}, MaxTokens: openai.Int(32),
	})
	require.NoError(t, err)
	require.Equal(t, fake.Answer("warm grey", 0, 32), completion.Choices[0].Text)

	chat := openai.ChatCompletionNewParams{
		Model: "blend-lm", MaxCompletionTokens: openai.Int(32),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("cool grey")},
	}
	answer, err := cl.Chat.Completions.New(sy.ctx, chat)
	require.NoError(t, err)
	require.NotEmpty(t, answer.Choices[0].Message.Content)

	stream := cl.Chat.Completions.NewStreaming(sy.ctx, chat)
	text := ""
	for stream.Next() {
		for _, ch := range stream.Current().Choices {
			text += ch.Delta.Content
		}
	}
	require.NoError(t, stream.Err())
	require.Equal(t, answer.Choices[0].Message.Content, text)

	_, err = cl.Completions.New(sy.ctx, openai.CompletionNewParams{Model: "no-such-model"})
	var refused *openai.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, string(core.CodeUnknownService), refused.Code)
}

type errorBody struct {
	Error struct {
		Code    core.Code    `json:"code"`
		Verdict core.Verdict `json:"verdict"`
	} `json:"error"`
}

// Every request refused before it is run gets a specific error code and the
// verdict not-run.
func TestRequestValidation(t *testing.T) {
	sy := newSystem(t, options{engines: 1, services: 1, entry: func(se *setup.Entry) { se.Limits.MaxBody = 1000 }})
	const good = `{"model":"blend-lm","prompt":"x"}`
	for _, tc := range []struct {
		name, path, body string
		headers          map[string]string
		status           int
		code             core.Code
	}{
		{"wrong token", "/v1/completions", good, map[string]string{"Authorization": "Bearer wrong"}, 401, core.CodeUnauthorized},
		{"no token", "/v1/completions", good, map[string]string{"Authorization": ""}, 401, core.CodeUnauthorized},
		{"token of another role", "/v1/completions", good, map[string]string{"Authorization": "Bearer " + trial.OperatorToken}, 401, core.CodeUnauthorized},
		{"oversized body", "/v1/completions", strings.Repeat("x", 1001), nil, 413, core.CodeTooLarge},
		{"broken JSON", "/v1/completions", `{"model":`, nil, 400, core.CodeBadRequest},
		{"no model", "/v1/completions", `{}`, nil, 400, core.CodeBadRequest},
		{"no tokens", "/v1/completions", `{"model":"blend-lm","prompt":"x","max_tokens":0}`, nil, 400, core.CodeBadRequest},
		{"tokens below zero", "/v1/completions", `{"model":"blend-lm","prompt":"x","max_tokens":-5}`, nil, 400, core.CodeBadRequest},
		{"too many tokens", "/v1/completions", `{"model":"blend-lm","prompt":"x","max_tokens":99999999}`, nil, 400, core.CodeBadRequest},
		{"too many tokens of a chat", "/v1/chat/completions", `{"model":"blend-lm","messages":[],"max_completion_tokens":99999999}`, nil, 400, core.CodeBadRequest},
		{"tokens of another type", "/v1/completions", `{"model":"blend-lm","prompt":"x","max_tokens":"many"}`, nil, 400, core.CodeBadRequest},
		{"unknown service", "/services/none/x", good, nil, 404, core.CodeUnknownService},
		{"unknown path", "/v2/anything", good, nil, 404, core.CodeUnknownService},
		{"bad priority", "/v1/completions", good, map[string]string{"Bilberryshelf-Priority": "urgent"}, 400, core.CodeBadRequest},
		{"bad deadline", "/v1/completions", good, map[string]string{"Bilberryshelf-Timeout": "soon"}, 400, core.CodeBadRequest},
		{"bad flag", "/services/lot-check/x", good, map[string]string{"Bilberryshelf-Idempotent": "maybe"}, 400, core.CodeBadRequest},
		{"long key", "/services/lot-check/x", good, map[string]string{"Idempotency-Key": strings.Repeat("k", 257)}, 400, core.CodeBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			an := sy.entries[0].Send(sy.ctx, tc.path, tc.body, tc.headers)
			require.NoError(t, an.Err)
			require.Equal(t, tc.status, an.Status, an.Body)
			require.Equal(t, core.NotRun, an.Verdict)
			var eb errorBody
			require.NoError(t, json.Unmarshal([]byte(an.Body), &eb))
			require.Equal(t, tc.code, eb.Error.Code)
			require.Equal(t, core.NotRun, eb.Error.Verdict)
		})
	}
}

// A borrower without a loan is refused, and its request does not run.
func TestLoansAreEnforced(t *testing.T) {
	sy := newSystem(t, options{services: 1})
	sy.apply(trial.SheetHeader + trial.LoanRow("other", "lot-check", "lot-check-00", "somebody", core.Service, core.Normal, time.Hour))
	an := sy.check(0, "one", "")
	require.Equal(t, http.StatusForbidden, an.Status, an.Body)
	require.Equal(t, core.NotRun, an.Verdict)
	require.Zero(t, sy.runs("one"))
}

// The guard enforces the lender's limit exactly, also when requests arrive
// through several entries.
func TestLenderLimitIsExact(t *testing.T) {
	sy := newSystem(t, options{services: 1, entries: 2, duration: 300 * time.Millisecond})
	sheet := trial.SheetHeader + trial.LoanRow("lots", "lot-check", "lot-check-00", "sales-desk", core.Service, core.Normal, time.Hour)
	sy.apply(strings.Replace(sheet, "normal,,keep", "normal,2,keep", 1))
	results := make(chan trial.Answer, 6)
	for at := range 6 {
		go func() { results <- sy.check(at%2, fmt.Sprint("limited-", at), "") }()
	}
	most := 0
	for done := 0; done < 6; {
		select {
		case an := <-results:
			require.Equal(t, http.StatusOK, an.Status, an.Body)
			done++
		default:
			running := 0
			for at := range 6 {
				running += sy.runs(fmt.Sprint("limited-", at))
			}
			most = max(most, running-done)
			time.Sleep(5 * time.Millisecond)
		}
	}
	require.LessOrEqual(t, most, 2)
}

// P6: requests with the same key, sent to two entries concurrently and again
// later, run once, and all get the same answer.
func TestKeyRunsOnce(t *testing.T) {
	sy := newSystem(t, options{services: 3, entries: 2, duration: 50 * time.Millisecond})
	for nu := range 10 {
		body := fmt.Sprint("lot-", nu)
		answers := make(chan trial.Answer, 4)
		for at := range 4 {
			go func() { answers <- sy.check(at%2, body, body) }()
		}
		first := ""
		for range 4 {
			an := <-answers
			require.Equal(t, http.StatusOK, an.Status, an.Body)
			require.Equal(t, core.Ran, an.Verdict)
			if first == "" {
				first = an.Body
			}
			require.Equal(t, first, an.Body)
		}
		again := sy.check(1, body, body)
		require.Equal(t, first, again.Body)
		require.Equal(t, 1, sy.runs(body))
	}
	other := sy.check(0, "another body", "lot-0")
	require.Equal(t, http.StatusConflict, other.Status)
	require.Equal(t, core.NotRun, other.Verdict)
	require.Zero(t, sy.runs("another body"))
}

// P6: a target that accepts the request and then closes the connection gets it
// only once, with or without a key: no HTTP library on the path retries it.
func TestInterruptedAnswerRunsOnce(t *testing.T) {
	sy := newSystem(t, options{services: 2, entries: 2})
	for _, sv := range sy.services {
		sv.Set(fake.Faults{Cut: 1})
	}
	for _, key := range []string{"", "cut-key"} {
		body := "cut" + key
		an := sy.check(0, body, key)
		require.NotEqual(t, http.StatusOK, an.Status)
		require.Equal(t, core.MayHaveRun, an.Verdict, an.Body)
		if key != "" {
			again := sy.check(1, body, key)
			require.Equal(t, core.MayHaveRun, again.Verdict, again.Body)
		}
		require.Equal(t, 1, sy.runs(body))
	}
}

// P5: if the only target accepts no connections, the request fails with the
// verdict not-run.
func TestDownTargetIsNotRun(t *testing.T) {
	sy := newSystem(t, options{services: 1})
	sy.services[0].Crash()
	an := sy.check(0, "down", "")
	require.NotEqual(t, http.StatusOK, an.Status)
	require.Equal(t, core.NotRun, an.Verdict, an.Body)
	require.Zero(t, sy.runs("down"))
}

// P4: a stream whose engine crashes is resumed at another target; the caller gets
// the complete text exactly once.
func TestStreamIsResumed(t *testing.T) {
	sy := newSystem(t, options{engines: 2, tokenEvery: 5 * time.Millisecond})
	const prompt, tokens = "a long answer please", 400
	want := fake.Answer(prompt, 0, tokens)
	require.Greater(t, len(want), 200, "the answer must be long enough to cut")
	done := make(chan trial.Answer)
	go func() { done <- sy.complete(0, prompt, tokens) }()
	crashed := false
	for !crashed {
		for at := range sy.engines {
			if sy.engines[at].Running() > 0 {
				time.Sleep(50 * time.Millisecond)
				sy.engines[at].Crash()
				crashed = true
				break
			}
		}
	}
	an := <-done
	text, failed, complete := textOf(an)
	require.NoError(t, an.Err, an.Body)
	require.False(t, failed)
	require.True(t, complete)
	require.Equal(t, want, text)
}

// P4: a stream that cannot be resumed ends with an explicit error and an aborted
// connection, so that a truncated answer never looks complete.
func TestInterruptedStreamIsNeverComplete(t *testing.T) {
	sy := newSystem(t, options{engines: 2})
	for _, en := range sy.engines {
		en.Set(fake.Faults{Cut: 3})
	}
	an := sy.complete(0, "a long answer please", 400)
	text, failed, complete := textOf(an)
	require.False(t, complete)
	require.True(t, failed || an.Status != http.StatusOK, an.Body)
	require.True(t, strings.HasPrefix(fake.Answer("a long answer please", 0, 400), text))
}

// A request that crashes engines crashes at most two of them. Every entry then
// refuses it, and requests that ran on the same engines still succeed.
func TestPoisonRequestCostsTwoTargets(t *testing.T) {
	sy := newSystem(t, options{engines: 4, entries: 2, tokenEvery: 2 * time.Millisecond})
	others := make(chan trial.Answer, 8)
	for at := range 8 {
		go func() { others <- sy.complete(at%2, fmt.Sprint("innocent ", at), 300) }()
	}
	bad := fmt.Sprintf(`{"model":"blend-lm","prompt":%q,"max_tokens":5}`, fake.PoisonMarker)
	an := sy.entries[0].Send(sy.ctx, "/v1/completions", bad, nil)
	require.NotEqual(t, http.StatusOK, an.Status)
	deadTargets := func() int {
		count := 0
		for at := range sy.engines {
			if !sy.Target(engineName(at)).Up() {
				count++
			}
		}
		return count
	}
	require.LessOrEqual(t, deadTargets(), 2)
	require.Eventually(t, func() bool {
		an := sy.entries[1].Send(sy.ctx, "/v1/completions", bad, nil)
		var eb errorBody
		return json.Unmarshal([]byte(an.Body), &eb) == nil && eb.Error.Code == core.CodePoison && an.Verdict == core.NotRun
	}, testTimeout, 50*time.Millisecond)
	require.LessOrEqual(t, deadTargets(), 2)
	for range 8 {
		an := <-others
		_, failed, complete := textOf(an)
		require.True(t, complete && !failed, "%d %s %v", an.Status, an.Body, an.Err)
	}
}

// P7 and P8: a draining guard gets no new requests and completes its streams.
func TestGuardDrainCompletesStreams(t *testing.T) {
	sy := newSystem(t, options{engines: 2, tokenEvery: 3 * time.Millisecond})
	const prompt, tokens = "a long answer please", 400
	done := make(chan trial.Answer, 6)
	for range 6 {
		go func() { done <- sy.complete(0, prompt, tokens) }()
	}
	require.Eventually(t, func() bool { return sy.engines[0].Running()+sy.engines[1].Running() == 6 }, testTimeout, time.Millisecond)
	drained := sy.Target(engineName(0)).Guard
	drained.Runner.Stop()
	require.NoError(t, sy.entries[0].Wait(sy.ctx, func(st trial.Status) bool {
		for _, ta := range st.Targets {
			if ta.Name == engineName(0) {
				return ta.State == core.Draining || ta.State == core.Down
			}
		}
		return true
	}))
	after := sy.complete(0, "new work", 8)
	require.Equal(t, engineName(1), after.Header.Get("Bilberryshelf-Target"))
	for range 6 {
		text, failed, complete := textOf(<-done)
		require.True(t, complete && !failed)
		require.Equal(t, fake.Answer(prompt, 0, tokens), text)
	}
	<-drained.Runner.Done()
}

// P8: a draining entry fails its readiness check and completes the requests in
// progress.
func TestEntryDrainCompletesStreams(t *testing.T) {
	sy := newSystem(t, options{engines: 1, entries: 2, tokenEvery: 3 * time.Millisecond})
	done := make(chan trial.Answer)
	go func() { done <- sy.complete(0, "a long answer please", 400) }()
	require.Eventually(t, func() bool { return sy.engines[0].Running() == 1 }, testTimeout, time.Millisecond)
	sy.entries[0].Runner.Stop()
	require.Eventually(t, func() bool {
		req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, sy.entries[0].URL+"/readyz", nil)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer res.Body.Close() // nothing to read
		return res.StatusCode == http.StatusServiceUnavailable
	}, testTimeout, 5*time.Millisecond)
	text, failed, complete := textOf(<-done)
	require.True(t, complete && !failed)
	require.Equal(t, fake.Answer("a long answer please", 0, 400), text)
	<-sy.entries[0].Runner.Done()
}

// In a planned restart the guard hands its keys over: afterwards a repeated request
// gets the verdict ran, and a new key runs without delay. After a crash the state of
// earlier keys is unknown, so a repeated request gets may-have-run.
func TestKeysAcrossRestarts(t *testing.T) {
	sy := newSystem(t, options{services: 1})
	require.Equal(t, http.StatusOK, sy.check(0, "one", "one").Status)

	sy.Target(serviceName(0)).Guard.Drain()
	require.NoError(t, sy.StartGuard(serviceName(0)))
	require.Eventually(t, func() bool { return sy.check(0, "two", "two").Status == http.StatusOK }, testTimeout, 50*time.Millisecond)
	again := sy.check(0, "one", "one")
	require.Equal(t, core.Ran, again.Verdict, again.Body)
	require.Equal(t, 1, sy.runs("one"))

	sy.Target(serviceName(0)).Guard.Kill()
	require.NoError(t, sy.StartGuard(serviceName(0)))
	require.Eventually(t, func() bool { return sy.check(0, "free", "").Status == http.StatusOK }, testTimeout, 50*time.Millisecond,
		"a request without a key is not in doubt")
	in := sy.check(0, "two", "two")
	require.Equal(t, core.MayHaveRun, in.Verdict, in.Body)
	require.Equal(t, 1, sy.runs("two"))
}

// While the list of instances is stale for the whole test, a guard that restarts
// at another address causes no failed request that another target can run.
func TestStaleInstanceList(t *testing.T) {
	sy := newSystem(t, options{services: 2})
	sy.Platform.Set(fake.Faults{LagMS: int(testTimeout.Milliseconds())})
	ta := sy.Target(serviceName(0))
	ta.Guard.Drain()
	ta.Settings.Listen = "127.0.0.1:0"
	require.NoError(t, sy.StartGuard(serviceName(0)))
	for nu := range 20 {
		body := fmt.Sprint("lagging-", nu)
		an := sy.check(0, body, "")
		require.Equal(t, http.StatusOK, an.Status, an.Body)
		require.Equal(t, serviceName(1), an.Header.Get("Bilberryshelf-Target"))
		require.Equal(t, 1, sy.runs(body))
	}
	sy.Platform.Set(fake.Faults{})
	require.Eventually(t, func() bool {
		an := sy.check(0, "back", "")
		return an.Header.Get("Bilberryshelf-Target") == serviceName(0)
	}, testTimeout, 20*time.Millisecond)
}

// A target that named how many requests per second it takes got as many as came.
func TestGuardExceedsRateLimitOfTarget(t *testing.T) {
	sy := newSystem(t, options{services: 1, entries: 2})
	sy.services[0].Set(fake.Faults{RateLimit: "5"})
	require.Equal(t, http.StatusOK, sy.check(0, "first", "").Status)
	const span = 4 * time.Second
	served := 0
	for began := time.Now(); time.Since(began) < span; {
		an := sy.check(served%2, fmt.Sprint("call ", time.Now().UnixNano()), "")
		require.Equal(t, http.StatusOK, an.Status, an.Body)
		served++
	}
	require.LessOrEqual(t, served, int(1.5*5*span.Seconds())+5)
	require.GreaterOrEqual(t, served, 10, "the rate is used")
	sy.services[0].Set(fake.Faults{})
	require.Equal(t, http.StatusOK, sy.check(0, "last", "").Status)
	began := time.Now()
	for at := range 50 {
		require.Equal(t, http.StatusOK, sy.check(0, fmt.Sprint("free ", at), "").Status)
	}
	require.Less(t, time.Since(began), 5*time.Second, "the limit has ended")
}

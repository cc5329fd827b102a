package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"bilberryshelf/core"
	"bilberryshelf/engine"
	"bilberryshelf/loan"
	"bilberryshelf/sample"
	"bilberryshelf/wire"
)

// driveSteps starts the runs that the steps want.
func (en *Entry) driveSteps(ctx context.Context) {
	en.loop.Do(func() {
		now := en.clock.Now()
		for na, st := range en.steps {
			if now.Sub(st.used) > stepHold {
				delete(en.steps, na)
				continue
			}
			for _, jo := range st.NextJobs(now) {
				go en.generate(ctx, na, st, jo)
			}
		}
	})
}

// generate runs one slot and reports to its step.
func (en *Entry) generate(ctx context.Context, name string, st *step, jo sample.Job) {
	sa, certain, er := en.runSample(ctx, st, jo)
	en.loop.Do(func() {
		if er != nil {
			st.Failed(en.clock.Now(), jo, max(er.RetryAfter, failedPause))
			return
		}
		st.Finished(en.clock.Now(), jo, sa, certain)
		close(st.news)
		st.news = make(chan struct{})
	})
	if er != nil {
		en.meters.Count("sample-failed", string(er.Code), 1)
		level.Debug(en.logger).Log("event", "sample-failed", "step", name, "code", er.Code)
		return
	}
	en.driveSteps(ctx)
}

// sampleBody is the completions request of one sample.
type sampleBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int    `json:"seed"`
	Stream    bool   `json:"stream"`
}

const sampleTimeout = 16 * time.Minute

func (en *Entry) runSample(ctx context.Context, st *step, jo sample.Job) (sample.Sample, bool, *core.Error) {
	var sa sample.Sample
	sp := st.Spec
	lo, er := en.find(sp.Trainer, sp.Service)
	if er != nil {
		return sa, false, er
	}
	body, err := json.Marshal(sampleBody{
		Model: sp.Service, Prompt: sp.Prompts[jo.Slot.Group], MaxTokens: sp.MaxTokens,
		Seed: jo.Slot.Index + 1, Stream: true,
	})
	if err != nil {
		return sa, false, core.Refuse(core.CodeBadRequest, "%v", err)
	}
	rq := en.sampleRequest(sp, jo, lo, body)
	tr := &transcript{}
	var began time.Time
	tr.started = func() { began = en.clock.Now() }
	tr.progress = func(tokens int) {
		took := en.clock.Now().Sub(began).Seconds()
		target := tr.target
		en.loop.Post(func() {
			st.Progress(jo, tokens)
			if re := en.remotes[target]; re != nil && took > 0 {
				re.health.RecordSpeed(float64(tokens) / took)
			}
		})
	}
	if er := en.perform(ctx, rq, tr); er != nil {
		return sa, false, er
	}
	sa.Text = tr.text.String()
	for _, se := range tr.segments {
		sa.Segments = append(sa.Segments, sample.Segment{Version: se.Version, Tokens: int(se.Tokens)})
	}
	return sa, len(tr.segments) > 0, nil
}

func (en *Entry) sampleRequest(sp sample.Spec, jo sample.Job, lo loan.Loan, body []byte) *request {
	const path = "/v1/completions"
	deadline := en.clock.Now().Add(sampleTimeout)
	if !sp.Deadline.IsZero() && sp.Deadline.Before(deadline) && sp.Deadline.After(en.clock.Now()) {
		deadline = sp.Deadline
	}
	return &request{
		id: uuid.NewString(), tenant: sp.Trainer, service: sp.Service, loan: lo,
		method: http.MethodPost, path: path, body: body,
		headers: []*wire.Header{{Name: "Content-Type", Value: "application/json"}},
		digest:  core.Digest(http.MethodPost, sp.Service+path, body), idempotent: true,
		key: sp.Key(jo), priority: lo.Priority, deadline: deadline,
		prefix: prefixOf(sp.Trainer, []byte(sp.Prompts[jo.Slot.Group])),
		model:  true, sample: true, least: jo.MinVersion,
	}
}

// transcript receives a sample.
type transcript struct {
	stream   engine.Stream
	text     strings.Builder
	closed   bool
	segments []*wire.Segment
	tokens   int
	target   string
	// started is told of a new answer, progress of the tokens so far, now and
	// then.
	started  func()
	progress func(tokens int)
}

// progressEvery is the number of tokens between two reports of progress.
const progressEvery = 64

func (tr *transcript) begin(head *wire.Head, target string) *core.Error {
	*tr = transcript{started: tr.started, progress: tr.progress, target: target}
	tr.started()
	if head.Status != http.StatusOK {
		return core.InDoubt(core.CodeAnswerCut, "the engine answered with status %d", head.Status)
	}
	return nil
}

func (tr *transcript) take(raw []byte) *core.Error {
	for _, ev := range tr.stream.Feed(raw) {
		if ev.Failed {
			return core.InDoubt(core.CodeAnswerCut, "the engine ended its stream with an error")
		}
		tr.text.WriteString(ev.Text)
		if tr.tokens += ev.Tokens; ev.Tokens > 0 && tr.tokens%progressEvery == 0 {
			tr.progress(tr.tokens)
		}
		tr.closed = tr.closed || ev.Last
	}
	return nil
}

func (tr *transcript) end(end *wire.End) *core.Error {
	if !tr.closed {
		return core.InDoubt(core.CodeAnswerCut, "the engine ended its stream without the end mark")
	}
	tr.segments = end.Segments
	return nil
}

func (tr *transcript) spoilt() bool { return false }

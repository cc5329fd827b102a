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

// startSampleRuns starts the runs that the steps need next and deletes unused
// steps.
func (en *Entry) startSampleRuns(ctx context.Context) {
	en.loop.Do(func() {
		now := en.clock.Now()
		for na, st := range en.steps {
			if now.Sub(st.lastUsed) > stepTTL {
				delete(en.steps, na)
				continue
			}
			for _, jo := range st.NextJobs(now) {
				go en.generate(ctx, na, st, jo)
			}
		}
	})
}

// generate runs one job of a step and reports the result to the step.
func (en *Entry) generate(ctx context.Context, name string, st *step, jo sample.Job) {
	sa, certain, er := en.runSample(ctx, st, jo)
	en.loop.Do(func() {
		if er != nil {
			st.Failed(en.clock.Now(), jo, max(er.RetryAfter, minSlotRetryDelay))
			return
		}
		st.Finished(en.clock.Now(), jo, sa, certain)
		close(st.sampleAdded)
		st.sampleAdded = make(chan struct{})
	})
	if er != nil {
		en.meters.Count("sample-failed", string(er.Code), 1)
		level.Debug(en.logger).Log("event", "sample-failed", "step", name, "code", er.Code)
		return
	}
	en.startSampleRuns(ctx)
}

// sampleBody is the body of the completions request for one sample.
type sampleBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int    `json:"seed"`
	Stream    bool   `json:"stream"`
}

// sampleTimeout is the time limit of a run, unless the deadline of the step is
// earlier.
const sampleTimeout = 16 * time.Minute

// runSample generates one sample. The second result reports whether the versions
// of its segments are known for certain.
func (en *Entry) runSample(ctx context.Context, st *step, jo sample.Job) (sample.Sample, bool, *core.Error) {
	var sa sample.Sample
	sp := st.Spec
	lo, er := en.trainerLoan(sp.Trainer, sp.Service)
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
	tr.onStart = func() { began = en.clock.Now() }
	tr.onProgress = func(tokens int) {
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
	if !sp.Deadline.IsZero() && sp.Deadline.Before(deadline) {
		deadline = sp.Deadline
	}
	return &request{
		id: uuid.NewString(), tenant: sp.Trainer, service: sp.Service, loan: lo,
		method: http.MethodPost, path: path, body: body,
		headers: []*wire.Header{{Name: "Content-Type", Value: "application/json"}},
		digest:  core.Digest(http.MethodPost, sp.Service+path, body), idempotent: true,
		key: sp.Key(jo), priority: lo.Priority, deadline: deadline,
		prefixHash: hashPrefix(sp.Trainer, []byte(sp.Prompts[jo.Slot.Group])),
		completion: true, sample: true, minVersion: jo.MinVersion,
	}
}

// transcript is the receiver of a sample's stream.
type transcript struct {
	stream   engine.Parser
	text     strings.Builder
	ended    bool
	segments []*wire.Segment
	tokens   int
	target   string
	// onStart is called at the head of each answer, onProgress with the number
	// of tokens so far, every progressInterval tokens.
	onStart    func()
	onProgress func(tokens int)
}

// maxSampleText is the largest text of a sample, in bytes: eight for each token that a sample
// may ask for by default.
const maxSampleText = 1 << 20

// progressInterval is the number of tokens between two progress reports.
const progressInterval = 64

func (tr *transcript) begin(head *wire.Head, target string) *core.Error {
	*tr = transcript{onStart: tr.onStart, onProgress: tr.onProgress, target: target}
	tr.onStart()
	if head.Status != http.StatusOK {
		return core.InDoubt(core.CodeAnswerCut, "the engine answered with status %d", head.Status)
	}
	return nil
}

func (tr *transcript) receive(raw []byte) *core.Error {
	for _, ev := range tr.stream.Feed(raw) {
		if ev.Failed {
			return core.InDoubt(core.CodeAnswerCut, "the engine ended its stream with an error")
		}
		if tr.text.Len()+len(ev.Text) > maxSampleText {
			return core.InDoubt(core.CodeAnswerTooLarge, "the text of a sample is larger than %d bytes", maxSampleText)
		}
		tr.text.WriteString(ev.Text)
		before := tr.tokens
		if tr.tokens += ev.Tokens; tr.tokens/progressInterval > before/progressInterval {
			tr.onProgress(tr.tokens)
		}
		tr.ended = tr.ended || ev.Done
	}
	return nil
}

func (tr *transcript) end(end *wire.End) *core.Error {
	if !tr.ended {
		return core.InDoubt(core.CodeAnswerCut, "the engine ended its stream without the end marker [DONE]")
	}
	tr.segments = end.Segments
	return nil
}

func (tr *transcript) unresumable() bool { return false }

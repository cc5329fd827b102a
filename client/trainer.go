// Package client is what trainers and operators use to talk to the entries.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
	"bilberryshelf/sample"
)

// Client talks to the entries behind the balancer.
type Client struct {
	// URL is that of the balancer or of any entry.
	URL   string
	Token string
	// HTTP is the library's default client if nil.
	HTTP *http.Client
}

// Options are the headers of one call.
type Options struct {
	Wait time.Duration
}

// answerLimit bounds the bytes of an answer.
const answerLimit = 256 << 20

// Call sends a request and decodes the JSON answer. An error answer comes back
// as a *core.Error with its verdict.
func (cl *Client) Call(ctx context.Context, method, path string, body []byte, into any, op Options) error {
	req, err := http.NewRequestWithContext(ctx, method, cl.URL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "call")
	}
	req.Header.Set("Authorization", "Bearer "+cl.Token)
	if op.Wait > 0 {
		req.Header.Set("Bilberryshelf-Wait", op.Wait.String())
	}
	hc := cl.HTTP
	if hc == nil {
		hc = http.DefaultClient
	}
	res, err := hc.Do(req)
	if err != nil {
		return core.InDoubt(core.CodeAnswerCut, "%v", err)
	}
	defer res.Body.Close() // a failed close of a read body loses nothing
	raw, err := io.ReadAll(io.LimitReader(res.Body, answerLimit))
	if err != nil {
		return core.InDoubt(core.CodeAnswerCut, "%v", err)
	}
	if res.StatusCode/100 != 2 && res.StatusCode != http.StatusUnprocessableEntity {
		return errorOf(res.StatusCode, raw)
	}
	return errors.Wrap(json.Unmarshal(raw, into), "read the answer")
}

func errorOf(status int, raw []byte) error {
	var reply struct {
		Error struct {
			Message      string       `json:"message"`
			Code         core.Code    `json:"code"`
			Verdict      core.Verdict `json:"verdict"`
			RetryAfterMS int64        `json:"retry-after-ms"`
		} `json:"error"`
	}
	if json.Unmarshal(raw, &reply) != nil || reply.Error.Code == "" {
		return core.InDoubt(core.CodeAnswerCut, "status %d: %s", status, bytes.TrimSpace(raw))
	}
	er := reply.Error
	return &core.Error{
		Verdict: er.Verdict, Code: er.Code, Text: er.Message,
		RetryAfter: time.Duration(er.RetryAfterMS) * time.Millisecond,
	}
}

// Step is a step on its way through a trainer. It accepts each slot once,
// whichever entries answer, and creates the step again when its owner is gone.
type Step struct {
	Client *Client
	Spec   sample.Spec
	// Version tells the trainer's present version; the spec's own if nil.
	Version func() uint64
	// Wait is how long one take waits for samples.
	Wait time.Duration

	token string
	have  []sample.Slot
	known map[sample.Slot]bool
}

const (
	// defaultWait is the wait of a take that sets none.
	defaultWait = 5 * time.Second
	// againPause is the shortest wait before a failed call is made again.
	againPause = 100 * time.Millisecond
)

// Have lists the slots accepted so far; a trainer that restarts keeps them and
// sets them with Resume.
func (st *Step) Have() []sample.Slot { return st.have }

// Resume sets the slots that the trainer has from before its restart.
func (st *Step) Resume(have []sample.Slot) {
	st.known = map[sample.Slot]bool{}
	for _, sl := range have {
		st.known[sl] = true
	}
	st.have = have
}

// Run takes samples until all slots are accepted. Accept is called once for
// each slot; its error ends the step.
func (st *Step) Run(ctx context.Context, accept func(sa sample.Sample) error) error {
	if st.known == nil {
		st.Resume(nil)
	}
	if err := st.create(ctx); err != nil {
		return err
	}
	for len(st.have) < st.Spec.Slots() {
		gi, err := st.take(ctx)
		if err != nil {
			if err := st.recover(ctx, err); err != nil {
				return err
			}
			continue
		}
		st.token = gi.Token
		for _, sa := range gi.Samples {
			if st.known[sa.Slot] {
				continue
			}
			if err := accept(sa); err != nil {
				return err
			}
			st.known[sa.Slot] = true
			st.have = append(st.have, sa.Slot)
		}
	}
	_, _ = st.take(ctx) // confirms the last answer, so that guards may drop it
	return nil
}

func (st *Step) create(ctx context.Context) error {
	raw, err := json.Marshal(st.Spec)
	if err != nil {
		return errors.Wrap(err, "step")
	}
	for {
		var state struct{}
		err := st.Client.Call(ctx, http.MethodPost, "/v1/steps", raw, &state, Options{})
		if err == nil {
			return nil
		}
		if er := core.AsError(err); !comesBack(er) {
			return err
		}
		if err := pause(ctx, err); err != nil {
			return err
		}
	}
}

func (st *Step) take(ctx context.Context) (sample.TakeResponse, error) {
	var gi sample.TakeResponse
	ta := sample.Take{Token: st.token, Have: st.have, Version: st.Spec.Version}
	if ta.Have == nil {
		ta.Have = []sample.Slot{}
	}
	if st.Version != nil {
		ta.Version = st.Version()
	}
	raw, err := json.Marshal(ta)
	if err != nil {
		return gi, errors.Wrap(err, "take")
	}
	wait := st.Wait
	if wait == 0 {
		wait = defaultWait
	}
	path := "/v1/steps/" + url.PathEscape(st.Spec.Step) + "/take"
	err = st.Client.Call(ctx, http.MethodPost, path, raw, &gi, Options{Wait: wait})
	return gi, err
}

// recover waits after a failed take, and creates a step anew whose owner is
// gone.
func (st *Step) recover(ctx context.Context, err error) error {
	er := core.AsError(err)
	if !comesBack(er) {
		return err
	}
	if err := pause(ctx, err); err != nil {
		return err
	}
	if er.Code == core.CodeUnknownStep {
		return st.create(ctx)
	}
	return nil
}

// comesBack reports the errors after which a trainer asks again.
func comesBack(er *core.Error) bool {
	switch er.Code {
	case core.CodeBadRequest, core.CodeUnauthorized, core.CodeForbidden, core.CodeConflict, core.CodeUnknownService, core.CodeTooLarge:
		return false
	default:
		return true
	}
}

func pause(ctx context.Context, err error) error {
	wait := max(core.AsError(err).RetryAfter, againPause)
	select {
	case <-ctx.Done():
		return errors.CombineErrors(ctx.Err(), err)
	case <-time.After(wait):
		return nil
	}
}

// Package client calls the HTTP interface of the entries for trainers and
// operators.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
	"bilberryshelf/limit"
	"bilberryshelf/sample"
	"bilberryshelf/strict"
)

// Client calls one entry, or all of them through a load balancer.
type Client struct {
	// URL is the base URL of the load balancer or of an entry.
	URL   string
	Token string
	// HTTP sends the requests; nil means a client with strict.Default.
	HTTP *http.Client
}

// Options are optional headers of a call.
type Options struct {
	// Wait is sent as Bilberryshelf-Wait if it is positive.
	Wait time.Duration
}

// maxResponseBytes is the largest response, in bytes. A larger one is an error.
const maxResponseBytes = 256 << 20

// Call sends a request and decodes the JSON response. An error response and a
// failed connection are returned as a *core.Error with a verdict. Status 422 is
// decoded like a success, because it lists the faults of a refused sheet.
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
		hc = &http.Client{Transport: strict.Default}
	}
	res, err := hc.Do(req)
	if err != nil {
		return core.InDoubt(core.CodeAnswerCut, "%v", err)
	}
	defer res.Body.Close() // an error on closing a fully read body is harmless
	raw, err := limit.ReadAll(res.Body, maxResponseBytes)
	if err != nil {
		return core.InDoubt(core.CodeAnswerCut, "%v", err)
	}
	if res.StatusCode/100 != 2 && res.StatusCode != http.StatusUnprocessableEntity {
		return decodeError(res.StatusCode, raw)
	}
	return errors.Wrap(json.Unmarshal(raw, into), "decode the response")
}

func decodeError(status int, raw []byte) error {
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

// Step runs one step for a trainer. It accepts each slot once, even if several
// entries return it, and creates the step again when its owner has failed.
type Step struct {
	Client *Client
	Spec   sample.Spec
	// Version returns the trainer's current weight version; nil means
	// Spec.Version.
	Version func() uint64
	// Wait is how long an entry holds a take that has no samples yet; zero means
	// defaultTakeWait.
	Wait time.Duration

	token      string
	accepted   []sample.Slot
	isAccepted map[sample.Slot]bool
}

const (
	// defaultTakeWait is used if Step.Wait is zero.
	defaultTakeWait = 5 * time.Second
	// minRetryWait is the shortest wait before a failed call is retried.
	minRetryWait = 100 * time.Millisecond
)

// Accepted returns the slots accepted so far. A trainer stores them and passes
// them to Resume after a restart.
func (st *Step) Accepted() []sample.Slot { return st.accepted }

// Resume sets the slots that the trainer accepted before its restart.
func (st *Step) Resume(accepted []sample.Slot) {
	st.isAccepted = map[sample.Slot]bool{}
	for _, sl := range accepted {
		st.isAccepted[sl] = true
	}
	st.accepted = accepted
}

// Run takes samples until all slots are accepted. It calls accept once for each
// slot and returns its first error.
func (st *Step) Run(ctx context.Context, accept func(sa sample.Sample) error) error {
	if st.isAccepted == nil {
		st.Resume(nil)
	}
	if err := st.create(ctx); err != nil {
		return err
	}
	for len(st.accepted) < st.Spec.Slots() {
		res, err := st.take(ctx)
		if err != nil {
			if err := st.recover(ctx, err); err != nil {
				return err
			}
			continue
		}
		st.token = res.Token
		for _, sa := range res.Samples {
			if st.isAccepted[sa.Slot] {
				continue
			}
			if err := accept(sa); err != nil {
				return err
			}
			st.isAccepted[sa.Slot] = true
			st.accepted = append(st.accepted, sa.Slot)
		}
	}
	_, _ = st.take(ctx) // confirms the last samples, which lets the guards delete them
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
		if er := core.AsError(err); !retryable(er) {
			return err
		}
		if err := waitBeforeRetry(ctx, err); err != nil {
			return err
		}
	}
}

func (st *Step) take(ctx context.Context) (sample.TakeResponse, error) {
	var res sample.TakeResponse
	ta := sample.Take{Token: st.token, Have: st.accepted, Version: st.Spec.Version}
	if ta.Have == nil {
		ta.Have = []sample.Slot{}
	}
	if st.Version != nil {
		ta.Version = st.Version()
	}
	raw, err := json.Marshal(ta)
	if err != nil {
		return res, errors.Wrap(err, "take")
	}
	wait := st.Wait
	if wait == 0 {
		wait = defaultTakeWait
	}
	path := "/v1/steps/" + url.PathEscape(st.Spec.Step) + "/take"
	err = st.Client.Call(ctx, http.MethodPost, path, raw, &res, Options{Wait: wait})
	return res, err
}

// recover waits after a failed take, and creates the step again if the
// entries no longer know it.
func (st *Step) recover(ctx context.Context, err error) error {
	er := core.AsError(err)
	if !retryable(er) {
		return err
	}
	if err := waitBeforeRetry(ctx, err); err != nil {
		return err
	}
	if er.Code == core.CodeUnknownStep {
		return st.create(ctx)
	}
	return nil
}

// retryable reports whether a call that failed with the error may succeed later.
func retryable(er *core.Error) bool {
	switch er.Code {
	case core.CodeBadRequest, core.CodeUnauthorized, core.CodeForbidden, core.CodeConflict, core.CodeUnknownService, core.CodeTooLarge:
		return false
	default:
		return true
	}
}

func waitBeforeRetry(ctx context.Context, err error) error {
	wait := max(core.AsError(err).RetryAfter, minRetryWait)
	select {
	case <-ctx.Done():
		return errors.CombineErrors(ctx.Err(), err)
	case <-time.After(wait):
		return nil
	}
}

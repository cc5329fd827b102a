// Package engine is the client side of the protocol of targets: health checks, orders to
// load weights, and the parsing of response streams. Model engines use the completions
// protocol with one addition: each chunk may name the version of the weights that
// generated it, in the field weight_version. An overloaded target announces in the header
// RateLimitHeader of its responses how many requests per second it accepts.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"bilberryshelf/limit"
)

// Client sends health checks and orders to one target.
type Client struct {
	URL  string
	HTTP *http.Client
}

// Health is the state that a target reports.
type Health struct {
	// StartID differs after each start of the target. It is empty if the target does not
	// report one.
	StartID string `json:"start"`
	// Version is the version of the weights that it generates with.
	Version uint64 `json:"version"`
	// Running is the number of requests in flight. It may be out of date.
	Running int `json:"running"`
}

// Order tells an engine to load a version of the weights.
type Order struct {
	Version uint64 `json:"version"`
	Object  string `json:"object"`
	// Fence is the fencing token. The engine refuses an order if it has accepted one with
	// a higher token.
	Fence uint64 `json:"fence"`
}

// The errors that a guard distinguishes.
var (
	// ErrOldFence means that the engine has accepted an order with a higher fencing token.
	ErrOldFence = errors.New("the target has accepted an order with a higher fencing token")
	// ErrStoreBusy means that the weight store refused the load temporarily; it may be
	// retried.
	ErrStoreBusy = errors.New("the weight store refused the load temporarily")
)

// RateLimitHeader holds the number of requests per second, a decimal number, that a target
// accepts for as long as its responses announce it.
const RateLimitHeader = "Bilberryshelf-Rate-Limit"

const (
	healthPath = "/health"
	loadPath   = "/v1/orders/load"
	// maxResponse is the largest response, in bytes. A larger one is an error.
	maxResponse = 64 << 10
)

// Health fetches the target's state.
func (cl Client) Health(ctx context.Context) (Health, error) {
	var he Health
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, cl.URL+healthPath, nil)
	if err != nil {
		return he, errors.Wrap(err, "health")
	}
	body, status, err := cl.do(req)
	if err != nil {
		return he, errors.Wrap(err, "health")
	}
	if status != http.StatusOK {
		return he, errors.Newf("health: status %d", status)
	}
	// A plain service may respond with any body; the fields are then empty.
	_ = json.Unmarshal(body, &he)
	return he, nil
}

// Load orders the engine to load a version and waits until the engine confirms the load.
// It returns ErrOldFence or ErrStoreBusy if the order is refused for that reason.
func (cl Client) Load(ctx context.Context, or Order) error {
	raw, err := json.Marshal(or)
	if err != nil {
		return errors.Wrap(err, "order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.URL+loadPath, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "order")
	}
	req.Header.Set("Content-Type", "application/json")
	body, status, err := cl.do(req)
	switch {
	case err != nil:
		return errors.Wrap(err, "order")
	case status == http.StatusConflict:
		return ErrOldFence
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return ErrStoreBusy
	case status != http.StatusOK:
		return errors.Newf("order: status %d: %s", status, strings.TrimSpace(string(body)))
	}
	return nil
}

func (cl Client) do(req *http.Request) ([]byte, int, error) {
	res, err := cl.HTTP.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close() // the body has been read; a failed close loses nothing
	body, err := limit.ReadAll(res.Body, maxResponse)
	return body, res.StatusCode, err
}

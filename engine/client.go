// Package engine is what the system says to targets: orders, health, and the
// reading of their streams. Model engines speak the completions protocol with
// one addition: each chunk may name the version of the weights that produced
// it, in the field weight_version.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Client talks to one target.
type Client struct {
	URL  string
	HTTP *http.Client
}

// Health is what a target says of itself.
type Health struct {
	// StartID changes with every start of the target; empty if it has no such
	// notion.
	StartID string `json:"start"`
	// Version is the version of the weights that it generates with.
	Version uint64 `json:"version"`
	// Running is the number of requests in progress; it lags.
	Running int `json:"running"`
}

// Order tells an engine to load a version of the weights.
type Order struct {
	Version uint64 `json:"version"`
	Object  string `json:"object"`
	// Fence is the fencing number; higher orders win.
	Fence uint64 `json:"fence"`
}

// The errors that a guard decides on.
var (
	// ErrOldFence means that the engine took an order with a higher number.
	ErrOldFence = errors.New("the target took an order with a higher fencing number")
	// ErrStoreBusy means that the weight store refused the load for now.
	ErrStoreBusy = errors.New("the weight store refused the load for now")
)

const (
	healthPath = "/health"
	loadPath   = "/v1/orders/load"
	// maxResponse bounds the bytes of a control answer.
	maxResponse = 64 << 10
)

// Health asks for the target's health.
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
	// A plain service may answer anything; then there is just no start.
	_ = json.Unmarshal(body, &he)
	return he, nil
}

// Load orders the engine to load a version and waits until it says so.
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
	defer res.Body.Close() // a failed close of a read body loses nothing
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponse))
	return body, res.StatusCode, err
}

package intake

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/batch"
	"bilberryshelf/calls"
	"bilberryshelf/core"
)

// Call serves a plain request.
func (en *Entry) Call(ctx context.Context, re calls.Request) (calls.Response, *core.Error) {
	return en.caller.Do(ctx, re)
}

// Stream serves a request whose answer is events.
func (en *Entry) Stream(ctx context.Context, re calls.Request, sink calls.Sink) *core.Error {
	return en.caller.Stream(ctx, re, sink)
}

const (
	// scoreTimeoutFactor is how many times its objective a scoring call may take.
	scoreTimeoutFactor = 4
	// defaultScoreTimeout stands in for a route without an objective.
	defaultScoreTimeout = time.Second
	// scoreRetryDelay is the pause before a scoring call that was refused is repeated.
	scoreRetryDelay = 50 * time.Millisecond
	// scoreRetries bounds the calls of one round; the owner starts another.
	scoreRetries = 5
)

// Score has a text scored. Failures is the number of answers with an error, if
// they reached the number that the route permits; else it is zero.
func (en *Entry) Score(ctx context.Context, sc batch.Scorer) (score string, failures int, err error) {
	route, _, failed := en.Find(sc.Host, sc.Path)
	if failed != nil {
		return "", 0, failed
	}
	span := scoreTimeoutFactor * route.TargetLatency
	if span <= 0 {
		span = defaultScoreTimeout
	}
	for range scoreRetries + route.Attempts {
		answer, failed := en.caller.Do(ctx, calls.Request{
			ID: sc.ID, Method: http.MethodPost, URI: sc.Path, Host: sc.Host, Header: http.Header{}, Body: sc.Body,
			Route: route, Deadline: en.clock.Now().Add(span),
		})
		switch {
		case failed != nil:
			err = failed
		case answer.Status/100 == 2 && answer.Stamp != "":
			return answer.Stamp, 0, nil
		case answer.Status == http.StatusInternalServerError:
			failures++
			err = errors.Newf("scoring call failed %d times", failures)
			if failures >= max(route.Attempts, 1) {
				return "", failures, err
			}
		default:
			err = errors.Newf("scoring call: status %d", answer.Status)
		}
		select {
		case <-ctx.Done():
			return "", 0, ctx.Err()
		case <-en.clock.After(scoreRetryDelay):
		}
	}
	return "", 0, err
}

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

// Call serves a request whose response is not streamed.
func (en *Entry) Call(ctx context.Context, re calls.Request) (calls.Response, *core.Error) {
	if refused := en.Admit(re.Deadline); refused != nil {
		return calls.Response{}, refused
	}
	ctx, cancel := en.untilEnd(ctx)
	defer cancel()
	return en.forwarder.Do(ctx, en.limitDeadline(re))
}

// Stream serves a request whose response is a stream of events.
func (en *Entry) Stream(ctx context.Context, re calls.Request, sink calls.Sink) *core.Error {
	if refused := en.Admit(re.Deadline); refused != nil {
		return refused
	}
	ctx, cancel := en.untilEnd(ctx)
	defer cancel()
	return en.forwarder.Stream(ctx, en.limitDeadline(re), sink)
}

// limitDeadline returns the request with a deadline that this process lives to see, if it
// is stopping: a request that it accepts must get an answer.
func (en *Entry) limitDeadline(re calls.Request) calls.Request {
	if dr := en.drain.Load(); dr != nil && dr.endsAt.Before(re.Deadline) {
		re.Deadline = dr.endsAt
	}
	return re
}

const (
	// scoreTimeoutFactor times the route's target latency is the timeout of a
	// scoring call.
	scoreTimeoutFactor = 4
	// defaultScoreTimeout is the timeout on a route without a target latency.
	defaultScoreTimeout = time.Second
	// scoreRetryDelay is the pause before a scoring call is retried.
	scoreRetryDelay = 50 * time.Millisecond
	// scoreRetries is how many calls one round makes beyond the route's attempts;
	// after them the owner starts another round.
	scoreRetries = 5
)

// Score calls the scorer of a text of a job and returns its score. If as many calls as the
// route permits were answered with status 500, it returns their number as failures.
// After any other error failures is zero, and the caller may retry.
func (en *Entry) Score(ctx context.Context, jo *batch.Job, sc batch.Scorer) (score string, failures int, err error) {
	route, failed := en.scorerRoute(jo, sc)
	if failed != nil {
		return "", 0, failed
	}
	timeout := scoreTimeoutFactor * route.TargetLatency
	if timeout <= 0 {
		timeout = defaultScoreTimeout
	}
	for range scoreRetries + route.Attempts {
		rs, failed := en.forwarder.Do(ctx, calls.Request{
			ID: sc.ID, Method: http.MethodPost, URI: sc.Path, Host: sc.Host, Header: http.Header{}, Body: sc.Body,
			Route: route, Deadline: en.clock.Now().Add(timeout), Patience: timeout, Deferred: true,
		})
		if err = checkScore(rs); failed != nil {
			err = failed
		}
		if err == nil {
			return rs.Stamp, 0, nil
		}
		if rs.Status == http.StatusInternalServerError {
			if failures++; failures >= max(route.Attempts, 1) {
				return "", failures, errors.Newf("scoring call failed %d times", failures)
			}
		}
		select {
		case <-ctx.Done():
			return "", 0, ctx.Err()
		case <-en.clock.After(scoreRetryDelay):
		}
	}
	return "", 0, err
}

// checkScore returns an error unless a response of a scorer has a score that can be stored.
func checkScore(rs calls.Response) error {
	switch {
	case rs.Status/100 != 2 || rs.Stamp == "":
		return errors.Newf("scoring call: status %d", rs.Status)
	case len(rs.Stamp) > batch.MaxScoreBytes:
		return errors.Newf("scoring call: a score of %d bytes", len(rs.Stamp))
	default:
		return nil
	}
}

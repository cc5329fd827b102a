package calls

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
)

const (
	// clientIdleLimit is the shortest pause after which clients of the platform abandon
	// a stream, by the platform's page.
	clientIdleLimit = 2 * time.Second
	// streamIdleTimeout is the silence after which a stream goes on elsewhere: half of
	// that pause, so that the other target has the rest.
	streamIdleTimeout = clientIdleLimit / 2
	// streamRetryInterval is the time between two looks for a target with room while a
	// stream waits to go on.
	streamRetryInterval = fullBackoff
)

// Sink takes a stream as it comes. It is used by one goroutine at a time.
type Sink interface {
	// Begin takes the status and headers, once.
	Begin(an Response)
	// Event takes the bytes of one whole event, or of a body that has none. An
	// error means that the caller has gone.
	Event(raw []byte) error
}

// Streamer sends a request whose answer is events. It goes on behind event
// after, and tells begin of the head of a sound answer and event of each whole
// event with its id. Its errors are those of a Sender; nil means that the
// answer came to its end.
type Streamer interface {
	Stream(ctx context.Context, ta fleet.Target, re Request, after int, begin func(an Response) error, event func(id int, raw []byte) error) error
}

// stream is the state of one stream.
type stream struct {
	*attempts
	sink   Sink
	begun  bool
	events int
	// lastEventID is the id of the last event that was passed on.
	lastEventID int
	// lastEventAt is when that was, or when the request came.
	lastEventAt     time.Time
	firstEventAfter time.Duration
}

// Stream serves a request by events (rules 7 and 8). An error after the first
// byte means that the answer must be broken off.
func (ca *Forwarder) Stream(ctx context.Context, re Request, sink Sink) *core.Error {
	started := ca.Clock.Now()
	ctx, cancel := context.WithDeadline(ctx, re.Deadline)
	defer cancel()
	st := &stream{attempts: newAttempts(ca, re), sink: sink, lastEventID: re.LastEventID, lastEventAt: started}
	err := st.run(ctx, started)
	st.record(err, ca.Clock.Now().Sub(started), "events", st.events, "after", st.lastEventID, "first", st.firstEventAfter)
	return err
}

// run makes the attempts of a stream, one after the other.
func (st *stream) run(ctx context.Context, started time.Time) *core.Error {
	for {
		ta, found := st.next(ctx)
		switch {
		case found:
		case st.waitForTarget(ctx):
			continue
		default:
			return st.finalStreamError(ctx)
		}
		err := core.AsError(st.attempt(ctx, ta, started))
		if err == nil {
			return nil
		}
		st.accept(outcome{err: err})
		if callerLeft(err) {
			return err
		}
		if st.begun && repeatable(st.re.Route) {
			logs.Info(st.fo.Logger, "stream goes on elsewhere", "id", st.re.ID, "from", ta.ID, "after", st.lastEventID,
				"silent", st.fo.Clock.Now().Sub(st.lastEventAt), "code", err.Code, "text", err.Text)
		}
	}
}

// waitForTarget pauses before another look for a target, if the stream has begun, the
// route permits another attempt, and its caller is still there.
func (st *stream) waitForTarget(ctx context.Context) bool {
	if !st.begun || !repeatable(st.re.Route) || st.sent >= st.fo.maxAttempts(st.re) || st.fo.Clock.Now().Sub(st.lastEventAt) >= clientIdleLimit {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-st.fo.Clock.After(streamRetryInterval):
		st.tried, st.refused = nil, 0
		return true
	}
}

func (st *stream) finalStreamError(ctx context.Context) *core.Error {
	if ctx.Err() != nil {
		return st.deadlineError()
	}
	return st.finalError()
}

// attempt reads a stream from one target. A silent target is left by rule 7, or
// when the time to the first event is over.
func (st *stream) attempt(ctx context.Context, ta fleet.Target, started time.Time) error {
	ca := st.fo
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := ca.Clock.Now()
	var (
		stalled atomic.Bool
		first   time.Duration
	)
	watch := time.AfterFunc(st.firstEventTimeout(started), func() { stalled.Store(true); cancel() })
	defer watch.Stop()
	err := ca.Streamer.Stream(ctx, ta, st.re, st.lastEventID, st.begin, func(id int, raw []byte) error {
		watch.Stop() // a slow reader is no silent target
		if first == 0 {
			first = ca.Clock.Now().Sub(began)
		}
		if st.events == 0 {
			st.firstEventAfter = ca.Clock.Now().Sub(started)
			ca.Meters.Observe("first-event", st.re.Route.Name, st.firstEventAfter)
		}
		if err := st.sink.Event(raw); err != nil {
			return core.InDoubt(core.CodeAnswerDropped, "the caller has gone: %v", err)
		}
		st.events++
		st.lastEventID, st.lastEventAt = max(st.lastEventID, id), ca.Clock.Now()
		if repeatable(st.re.Route) {
			watch.Reset(streamIdleTimeout)
		}
		return nil
	})
	if err != nil && stalled.Load() {
		err = core.InDoubt(core.CodeTargetLost, "target %s is silent", ta.ID)
	}
	ou := outcome{target: ta, err: core.AsError(err), took: first}
	dropped := callerLeft(ou.err) || (ctx.Err() != nil && !stalled.Load())
	ca.Balancer.end(ca.Clock.Now(), ta.ID, ou, dropped)
	st.recordHealth(ou, dropped || stalled.Load())
	return err
}

// callerLeft tells that the caller left.
func callerLeft(err *core.Error) bool { return err != nil && err.Code == core.CodeAnswerDropped }

// firstEventTimeout is how long a target may be silent before its first event.
func (st *stream) firstEventTimeout(started time.Time) time.Duration {
	wait := st.re.Deadline.Sub(st.fo.Clock.Now())
	if bound := st.re.Route.Timeout; bound > 0 && !st.begun {
		wait = min(wait, bound-st.fo.Clock.Now().Sub(started))
	}
	if repeatable(st.re.Route) {
		wait = min(wait, max(streamIdleTimeout, st.share(1)))
	}
	return wait
}

// begin passes the first head on. A later one must be that of a stream.
func (st *stream) begin(an Response) error {
	switch {
	case !st.begun:
		st.begun = true
		st.sink.Begin(an)
	case an.Status != http.StatusOK:
		return core.InDoubt(core.CodeAnswerCut, "the stream was not resumed: status %d", an.Status)
	}
	return nil
}

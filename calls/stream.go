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
	// clientIdleLimit is the shortest time without an event after which clients of the
	// platform abandon a stream, according to the platform's documentation.
	clientIdleLimit = 2 * time.Second
	// streamIdleTimeout is the time without an event after which a stream is resumed at
	// another target: half of clientIdleLimit, which leaves the other half to the new
	// target.
	streamIdleTimeout = clientIdleLimit / 2
	// streamRetryInterval is the time between two searches for a target with capacity
	// while a stream waits to be resumed.
	streamRetryInterval = fullBackoff
)

// Sink receives a stream. It is used by one goroutine at a time.
type Sink interface {
	// Begin receives the status and headers. It is called at most once.
	Begin(rs Response)
	// Event receives the bytes of one complete event, or the body of a response
	// without events. An error means that the caller has disconnected.
	Event(raw []byte) error
}

// NoEvent is the id of comments and empty lines between events.
const NoEvent = -1

// Streamer sends a request whose response is a stream of events and asks for those that
// follow the event id after. It calls begin with the head of a valid response and event
// with each complete event and its id, or with NoEvent. Its errors are those of a Sender;
// nil means that the response is complete.
type Streamer interface {
	Stream(ctx context.Context, ta fleet.Target, re Request, after int, begin func(rs Response) error, event func(id int, raw []byte) error) error
}

// stream is the state of one stream.
type stream struct {
	*attempts
	sink   Sink
	begun  bool
	events int
	// lastEventID is the id of the last event that was forwarded.
	lastEventID int
	// lastEventAt is the time of the last forwarded event, at first that of the request.
	lastEventAt     time.Time
	firstEventAfter time.Duration
	// emptyEnds counts the attempts since the last event that ended in order without one.
	emptyEnds int
	// unrecorded is set if the last search left out a target where no stream may begin yet.
	unrecorded bool
}

// Stream forwards a request whose response is a stream (rules 7 and 8). An error after
// the first byte means that the response must be aborted.
func (fo *Forwarder) Stream(ctx context.Context, re Request, sink Sink) *core.Error {
	started := fo.Clock.Now()
	ctx, cancel := context.WithDeadline(ctx, re.Deadline)
	defer cancel()
	st := &stream{attempts: newAttempts(fo, re), sink: sink, lastEventID: re.LastEventID, lastEventAt: started}
	st.requireRecord()
	err := st.findOrigin(ctx)
	if err == nil {
		err = st.run(ctx, started)
	}
	st.runs.end()
	st.record(err, fo.Clock.Now().Sub(started), "events", st.events, "after", st.lastEventID, "software", st.software, "first", st.firstEventAfter)
	return err
}

// run makes the attempts of a stream, one at a time.
func (st *stream) run(ctx context.Context, started time.Time) *core.Error {
	for {
		ta, found := st.next(ctx)
		switch {
		case found:
		case st.waitForPermit(ctx) || st.waitForRecord(ctx) || st.waitForTarget(ctx):
			continue
		default:
			return st.finalStreamError(ctx)
		}
		err := core.AsError(st.attempt(ctx, ta, started))
		if err == nil {
			return nil
		}
		st.accept(outcome{target: ta, err: err})
		if callerDisconnected(err) || err.Code == core.CodeTextTooLong || (err.Code == core.CodeOutdated && !st.waitForTarget(ctx)) {
			return err
		}
		st.logResumption(ta, err)
	}
}

// logResumption logs that a stream which has begun goes on at another target.
func (st *stream) logResumption(from fleet.Target, err *core.Error) {
	if !st.begun || !repeatable(st.re.Route) || err.Code == core.CodeOutdated {
		return
	}
	logs.Info(st.fo.Logger, "stream resumed elsewhere", "id", st.re.ID, "from", from.ID, "software", from.Software, "after", st.lastEventID,
		"silent", st.fo.Clock.Now().Sub(st.lastEventAt), "code", err.Code, "text", err.Text)
}

// waitForTarget waits before the next search for a target. It returns false if the stream
// has not begun, the route permits no further attempt, or the caller has disconnected or
// has had no event for clientIdleLimit.
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

// attempt reads a stream from one target. It cancels the attempt if no event arrives in
// time (rule 7 and firstEventTimeout).
func (st *stream) attempt(ctx context.Context, ta fleet.Target, started time.Time) error {
	fo := st.fo
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := fo.Clock.Now()
	st.runs.sent(ta, began)
	var (
		stalled atomic.Bool
		first   time.Duration
	)
	before := st.events
	idleLimit := st.firstEventTimeout(started)
	progressAt := began
	watch := time.AfterFunc(idleLimit, func() { stalled.Store(true); cancel() })
	defer watch.Stop()
	begin := func(rs Response) error { return st.begin(ta, rs) }
	err := fo.stream(ctx, ta, st.re, st.lastEventID, begin, func(id int, raw []byte) error {
		watch.Stop()       // time spent on a slow reader does not count
		if id == NoEvent { // a target may stall and still send a comment now and then
			idle := fo.Clock.Now().Sub(progressAt)
			err := st.forward(raw)
			progressAt = fo.Clock.Now().Add(-idle)
			watch.Reset(max(idleLimit-idle, 0))
			return err
		}
		if first == 0 {
			first = fo.Clock.Now().Sub(began)
		}
		if st.events == 0 {
			st.runs.firstEvent(ta, fo.Clock.Now())
			st.firstEventAfter = fo.Clock.Now().Sub(started)
			st.recordFirstEvent()
		}
		if err := st.forwardEvent(ta, id, raw); err != nil {
			return err
		}
		st.events++
		st.emptyEnds = 0
		progressAt = fo.Clock.Now()
		st.lastEventID, st.lastEventAt = max(st.lastEventID, id), progressAt
		idleLimit = st.re.Deadline.Sub(progressAt)
		if repeatable(st.re.Route) {
			idleLimit = streamIdleTimeout
		}
		watch.Reset(idleLimit)
		return nil
	})
	if err != nil && stalled.Load() {
		err = core.InDoubt(core.CodeTargetLost, "target %s sent no event on the stream within the time limit", ta.ID)
	}
	st.runs.ended(ta, core.AsError(err))
	if first == 0 { // a stream without events was answered when it ended
		first = fo.Clock.Now().Sub(began)
	}
	ou := outcome{target: ta, err: core.AsError(err), took: first}
	canceled := callerDisconnected(ou.err) || (ctx.Err() != nil && !stalled.Load())
	fo.Balancer.end(fo.Clock.Now(), ta.ID, ou, canceled)
	st.recordHealth(ou, canceled || stalled.Load())
	return st.confirmEnd(ta, err, st.events-before)
}

// forwardEvent passes an event on to the caller, unless it is beyond those that the caller asks
// for (rule 7).
func (st *stream) forwardEvent(ta fleet.Target, id int, raw []byte) error {
	if most := st.re.MaxEvents; most > 0 && id > most && repeatable(st.re.Route) {
		return core.InDoubt(core.CodeTextTooLong, "event %d of target %s, at most %d were asked for", id, ta.ID, most)
	}
	return st.forward(raw)
}

// endConfirmations is the number of targets that must say that a stream is complete, if they
// send no event of it.
const endConfirmations = 2

// confirmEnd returns the error of an attempt. One that ended in order without an event may
// mean that the stream is complete, if only its end was lost before; or the target has
// failed, and the caller would take what it has for the whole stream. So the end counts once
// another target confirms it, or the same one if there is no other.
func (st *stream) confirmEnd(ta fleet.Target, err error, events int) error {
	if err != nil || events > 0 || !repeatable(st.re.Route) {
		return err
	}
	if st.emptyEnds++; st.emptyEnds >= endConfirmations {
		return nil
	}
	return core.InDoubt(core.CodeAnswerCut, "target %s ended the stream without an event after %d", ta.ID, st.lastEventID)
}

// recordFirstEvent measures the time to the first event, and has the entries remember where
// a new stream began.
func (st *stream) recordFirstEvent() {
	st.fo.Meters.Observe("first-event", st.re.Route.Name, st.firstEventAfter)
	if st.fo.Origins != nil && st.re.LastEventID == 0 && repeatable(st.re.Route) {
		st.fo.Origins.Record(st.re.Route, st.re.ID, Origin{Service: st.service, Software: st.software})
	}
}

// forward passes bytes of the stream on to the caller.
func (st *stream) forward(raw []byte) error {
	if err := st.sink.Event(raw); err != nil {
		return core.InDoubt(core.CodeAnswerDropped, "the caller has disconnected: %v", err)
	}
	return nil
}

// callerDisconnected reports whether an attempt ended because the caller disconnected.
func callerDisconnected(err *core.Error) bool {
	return err != nil && err.Code == core.CodeAnswerDropped
}

// firstEventTimeout returns how long to wait for the first event of a target.
func (st *stream) firstEventTimeout(started time.Time) time.Duration {
	wait := st.re.Deadline.Sub(st.fo.Clock.Now())
	if bound := st.re.Route.Timeout; bound > 0 && !st.begun {
		wait = min(wait, bound-st.fo.Clock.Now().Sub(started))
	}
	if repeatable(st.re.Route) {
		wait = min(wait, max(streamIdleTimeout, st.latencyShare(1)))
	}
	return wait
}

// begin forwards the status and headers of the first target. Those of a later one are
// dropped; its status must be 200. From then on the stream keeps to the software of the
// first target (rule 12).
func (st *stream) begin(ta fleet.Target, rs Response) error {
	switch {
	case !st.begun:
		st.begun = true
		if repeatable(st.re.Route) {
			st.bind(ta.Software)
		}
		st.sink.Begin(rs)
	case rs.Status != http.StatusOK:
		return core.InDoubt(core.CodeAnswerCut, "the stream was not resumed: status %d", rs.Status)
	}
	return nil
}

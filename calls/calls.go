// Package calls forwards scoring calls and the requests of all routes except rollout
// routes to the targets of a service, with retries, hedging and resumable streams.
//
// Expected load: a few short requests per second, plus bursts of scoring calls in each
// step. Targets may become slow, lose or corrupt responses, leave, or stop responding.
//
//  1. A request goes to the less loaded of two random targets that are ready and not
//     in backoff. Preferred are targets of the entry's region with an idle connection
//     and low load, then targets of its failure domain, then of its region, while they
//     have capacity: the latency between regions exceeds most response times.
//     Of two targets that report their slowdowns, the one with the smaller product of
//     load + 1 and expected latency gets the request. Two random ones are compared, not
//     all, since all entries see the same values and would choose the same target. A
//     target that is slow now ranks like one with a higher load, and is not avoided.
//  2. After a refusal with not-run the next target is tried at once. After MaxRefusals
//     refusals the caller is refused with a retry-after time.
//  3. An idempotent request is retried at another target if its target fails or sends
//     no valid response. If there is no response after HedgeShare of its target latency, it
//     is also sent to a second target; the first valid response is used and the other
//     attempt is canceled.
//  4. No request is run by more targets than its route permits.
//  5. A request that may run only once is never sent again if it may have run.
//  6. A target that fails is avoided for a time that grows with each consecutive
//     failure. After faultyAfter failures it is not used at all in that time while another
//     target is sound, even if that one is full: a refusal at once tells the caller that the
//     request can be sent again, the error of a faulty target does not.
//  7. A stream is forwarded event by event and never sent to two targets at once. A
//     resumable stream continues at another target after its last complete event if
//     the connection breaks or no event arrives for streamIdleTimeout. The caller sees
//     one response with the headers of the first target. An attempt that ends in order
//     without an event completes the stream once a second one says so too.
//  8. A stream that cannot continue is aborted, so that the caller never takes it for
//     complete.
//  9. A request that crashed poison.MaxDeaths targets, as counted over all entries, is
//     not sent to any more. Later requests with the same content are refused at once.
//     Scoring calls are exempt: they are in flight at a crash by coincidence only.
//  10. A target that announces in a response that it leaves gets no further request of
//     this entry, not even one that was assigned to it and is not sent yet; that one
//     is assigned again.
//  11. A target that limits its rate gets a request only with a permit, which is taken
//     right before the request is sent. Other targets are preferred. If no other target
//     can take the request it waits for a permit, at most for its Patience; if none is
//     expected by then, it is refused at once.
//  12. A stream continues only at the software version that began it, also when its caller
//     resumes it at another entry, since no event of another version would fit. If that
//     version is not known the caller is refused: with a retry-after time while it may
//     become known, without one if it won't, or if the version serves no longer.
//     After a pause of this process no stream continues until the list of targets is
//     current again: a target may have started again under its id with other software.
//  13. While plain requests are not served because all targets asked are full, a workspace
//     with more requests in flight than its share is refused at once (limit.FairShare).
package calls

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log"

	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
	"bilberryshelf/meter"
	"bilberryshelf/poison"
	"bilberryshelf/quota"
)

const (
	// HedgeShare is the part of the target latency after which an idempotent request is
	// also sent to a second target.
	HedgeShare = 0.4
	// MaxRefusals is the number of refusals by targets after which the caller is
	// refused.
	MaxRefusals = 4
	// defaultTargetLatency applies to routes without a target latency.
	defaultTargetLatency = 500 * time.Millisecond
	// minTimeShare is the part of the target latency that must remain before the deadline to
	// start an attempt: a target could not respond in less.
	minTimeShare = 0.1
	// permitPatience is the part of the target latency for which a request waits for a
	// permit.
	permitPatience = 0.25
	// outdatedRetryAfter is when the caller of a stream returns after a pause of this process.
	outdatedRetryAfter = 300 * time.Millisecond
	// claimInterval is how often a waiting request renews its claim of a permit.
	claimInterval = 100 * time.Millisecond
)

// Request is a request to one target of a service.
type Request struct {
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	Route  conf.Route
	// Workspace is the name of the workspace whose key the caller sent; empty if there is
	// none.
	Workspace string
	// Deadline is the earlier of the caller's deadline and the route's time limit.
	Deadline time.Time
	// Patience is how long the request may wait for a target that limits its rate; zero
	// means permitPatience of the target latency.
	Patience time.Duration
	// Deferred is set for a call on behalf of an item that was handed in earlier. It is owed
	// until its job ends and never counts as the cause of a crash (rule 9).
	Deferred bool
	// LastEventID is the id of the last event of a stream that the caller received.
	LastEventID int
	// MaxEvents is the most events that a stream may have, one for each token that the caller
	// asks for; zero if that is not known.
	MaxEvents int
	// Resumes is the id of the caller's request that got the first event of the stream;
	// empty if the caller did not say.
	Resumes string
	// CutOff ends the writing to the caller, so that a write in progress fails; nil if there is
	// no such caller. It may be called until the request is served.
	CutOff func()
}

// Response is the complete response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamp is the target's signature of the response.
	Stamp string
	// Running, Waiting and Slots are the load that the target reported, in requests;
	// Slots is zero if it reported none.
	Running, Waiting, Slots int
	// Slowdown is how long work takes at the target at this moment, 100 meaning as usual;
	// zero if the target does not report it.
	Slowdown int
}

// Sender sends a request to a target. Its errors carry a verdict; a *core.Error with
// not-run means that the target guarantees not to have run the request.
type Sender interface {
	Send(ctx context.Context, ta fleet.Target, re Request) (Response, error)
}

// Forwarder forwards requests to targets. All fields are required unless noted
// otherwise; a zero Balancer is valid.
type Forwarder struct {
	Sender Sender
	// Streamer is needed for streams only.
	Streamer Streamer
	Clock    core.Clock
	Logger   log.Logger
	Meters   *meter.Set
	// IntN returns a random integer in [0, below).
	IntN     func(below int) int
	Balancer *Balancer
	// Losses counts the targets that requests crashed. OnDeath is optional; it is
	// called for each crash that this entry detects and must not block.
	Losses  poison.Counter
	OnDeath func(lo poison.Loss)
	// Departures holds the targets that announced that they leave; nil means none.
	Departures *fleet.Departures
	// Freshness tells whether the targets may be outdated after a pause of this process; nil
	// means never.
	Freshness *fleet.Freshness
	// Rates holds the limits that targets announced; nil means none.
	Rates *quota.Limits
	// Origins is optional; without it no stream is resumed for its caller.
	Origins Origins
	// OnRun is optional; it is called once for each caller's request with a workspace that
	// began to run, and must not block.
	OnRun func(Ran)

	shares shares
}

// outcome is the result of one attempt.
type outcome struct {
	target   fleet.Target
	response Response
	err      *core.Error
	took     time.Duration
}

// attempts is the state of one request.
type attempts struct {
	fo      *Forwarder
	re      Request
	service string
	digest  uint64
	// accepts restricts the targets that may be chosen; nil means any. software is the
	// version to which a stream is bound.
	accepts  func(fleet.Target) bool
	software string
	// asked are the targets of all attempts, tried those that must not be chosen again.
	asked    []string
	tried    []string
	results  chan outcome
	inFlight int
	sent     int
	refused  int
	verdict  core.Verdict
	last     *core.Error
	// limited are the targets that the last search left out for lack of a permit; waitUntil
	// is when the request stops waiting for one, permitAt when one is expected.
	limited   []fleet.Target
	waitUntil time.Time
	permitAt  time.Time
	runs      *runLog
}

func newAttempts(fo *Forwarder, re Request) *attempts {
	return &attempts{fo: fo, re: re, service: re.Route.Pick(fo.IntN), digest: re.digest(), runs: newRunLog(fo, re)}
}

// Do forwards a request. Its errors carry a verdict and, if the request did not run, a
// retry-after time.
func (fo *Forwarder) Do(ctx context.Context, re Request) (Response, *core.Error) {
	started := fo.Clock.Now()
	ctx, cancel := context.WithDeadline(ctx, re.Deadline)
	defer cancel()
	at := newAttempts(fo, re)
	at.results = make(chan outcome, fo.maxAttempts(re)+MaxRefusals)
	res, err := at.runInShare(func() (Response, *core.Error) { return at.run(ctx) })
	at.runs.end()
	now := fo.Clock.Now()
	more := []any{"status", res.Status}
	if err != nil {
		more = []any{"left", re.Deadline.Sub(now)}
	}
	at.record(err, now.Sub(started), more...)
	return res, err
}

func (*Forwarder) maxAttempts(re Request) int { return max(re.Route.Attempts, 1) }

// record logs and counts the outcome of a request. More holds additional log fields.
func (at *attempts) record(err *core.Error, took time.Duration, more ...any) {
	fo, route := at.fo, at.re.Route.Name
	fo.Meters.Observe("request", route, took)
	fields := append([]any{
		"id", at.re.ID, "route", route, "targets", strings.Join(at.asked, ","), "refused-by", at.refused, "took", took,
	}, more...)
	if err == nil {
		fo.Meters.Count("requests-answered", route, 1)
		logs.Info(fo.Logger, "request answered", fields...)
		return
	}
	fo.Balancer.refuse(fo.Clock.Now(), at.service, err)
	fo.Meters.Count("requests-refused", string(err.Code), 1)
	fields = append(fields, "service", at.service, "sent", at.sent, "verdict", err.Verdict, "code", err.Code, "text", err.Text)
	logs.Warn(fo.Logger, "request not served", fields...)
}

func (at *attempts) run(ctx context.Context) (Response, *core.Error) {
	if !at.launchOrWait(ctx) {
		return Response{}, at.finalError()
	}
	hedge, assumed := at.fo.Clock.After(at.latencyShare(HedgeShare)), at.runs.assumed(at.fo)
	for {
		select {
		case ou := <-at.results:
			at.inFlight--
			if at.accept(ou) {
				return ou.response, nil
			}
			if at.inFlight == 0 && !at.launchOrWait(ctx) {
				return Response{}, at.finalError()
			}
		case <-hedge:
			hedge = nil
			if at.re.Route.Kind == conf.Idempotent {
				at.launch(ctx)
			}
		case <-assumed:
			at.runs.end()
		case <-ctx.Done():
			return Response{}, at.deadlineError()
		}
	}
}

// latencyShare returns the given part of the route's target latency.
func (at *attempts) latencyShare(part float64) time.Duration {
	latency := at.re.Route.TargetLatency
	if latency <= 0 {
		latency = defaultTargetLatency
	}
	return time.Duration(part * float64(latency))
}

// next chooses the target of the next attempt, if the rules permit another attempt.
func (at *attempts) next(ctx context.Context) (fleet.Target, bool) {
	fo := at.fo
	at.limited = nil
	mayHaveRun := at.verdict != "" && at.verdict != core.NotRun
	if (mayHaveRun && !repeatable(at.re.Route)) || at.sent >= fo.maxAttempts(at.re) || at.refused >= MaxRefusals || ctx.Err() != nil {
		return fleet.Target{}, false
	}
	if at.re.Deadline.Sub(fo.Clock.Now()) < at.latencyShare(minTimeShare) || at.condemned() != nil {
		return fleet.Target{}, false
	}
	now := fo.Clock.Now()
	ta, limited, found := fo.Balancer.pickTarget(now, at.service, at.accepts, at.tried, func(ta fleet.Target) (bool, int) {
		return fo.Rates.Permits(now, ta, at.re.Route.Priority)
	}, fo.IntN)
	if !found {
		at.limited = limited
		return fleet.Target{}, false
	}
	at.tried, at.asked = append(at.tried, ta.ID), append(at.asked, ta.ID)
	at.sent++
	fo.Balancer.begin(ta.ID)
	return ta, true
}

// repeatable reports whether a request may be sent again after it may have run (rule 5).
func repeatable(ro conf.Route) bool {
	return ro.Kind == conf.Idempotent || ro.ResumableStream()
}

// launch starts another attempt, if the rules permit it.
func (at *attempts) launch(ctx context.Context) bool {
	fo := at.fo
	ta, found := at.next(ctx)
	if !found {
		return false
	}
	at.inFlight++
	started := fo.Clock.Now()
	at.runs.sent(ta, started)
	go func() {
		res, err := fo.send(ctx, ta, at.re)
		ou := outcome{target: ta, response: res, err: core.AsError(err), took: fo.Clock.Now().Sub(started)}
		at.runs.ended(ta, ou.err)
		canceled := ctx.Err() != nil
		fo.Balancer.end(fo.Clock.Now(), ta.ID, ou, canceled)
		at.recordHealth(ou, canceled)
		at.results <- ou
	}()
	return true
}

// send sends a request, unless its target announced since it was chosen that it leaves
// (rule 10).
func (fo *Forwarder) send(ctx context.Context, ta fleet.Target, re Request) (Response, error) {
	if err := fo.checkSend(ta, re); err != nil {
		return Response{}, err
	}
	res, err := fo.Sender.Send(ctx, ta, re)
	fo.recordTooLarge(re, ta, err)
	return res, err
}

// stream does the same for a request whose response is a stream.
func (fo *Forwarder) stream(ctx context.Context, ta fleet.Target, re Request, after int,
	begin func(rs Response) error, event func(id int, raw []byte) error,
) error {
	if after > 0 && fo.Freshness.Outdated() {
		return core.Refuse(core.CodeOutdated, "the list of targets is outdated after a pause of this process").WithRetryAfter(outdatedRetryAfter)
	}
	if err := fo.checkSend(ta, re); err != nil {
		return err
	}
	err := fo.Streamer.Stream(ctx, ta, re, after, begin, event)
	fo.recordTooLarge(re, ta, err)
	return err
}

// checkSend checks right before a request is sent what may have changed since its target
// was chosen: the process may have been paused in between. It takes the permit that a
// target with a limited rate requires (rule 11).
func (fo *Forwarder) checkSend(ta fleet.Target, re Request) error {
	leaving, now := fo.Departures.Departing(ta), fo.Clock.Now()
	switch {
	case leaving:
		return core.Refuse(core.CodeDraining, "target %s is leaving", ta.ID)
	case !now.Before(re.Deadline):
		return core.Refuse(core.CodeDeadline, "deadline exceeded before the request was sent to target %s", ta.ID)
	case !fo.Rates.Take(now, ta, re.Route.Priority):
		return core.Refuse(core.CodeTargetLimit, "no permit for target %s", ta.ID)
	default:
		return nil
	}
}

// recordTooLarge logs and counts a response that exceeded the limits on its size.
func (fo *Forwarder) recordTooLarge(re Request, ta fleet.Target, err error) {
	if failed := core.AsError(err); failed != nil && failed.Code == core.CodeAnswerTooLarge {
		fo.Meters.Count("responses-too-large", ta.Service, 1)
		logs.Warn(fo.Logger, "response too large, connection closed", "id", re.ID, "target", ta.ID, "service", ta.Service, "text", failed.Text)
	}
}

// accept reports whether an outcome is a response for the caller. If not, it merges the
// error into the verdict and the counts of the request.
func (at *attempts) accept(ou outcome) bool {
	if ou.err == nil {
		return true
	}
	at.last = ou.err
	at.verdict = at.verdict.Combine(ou.err.Verdict)
	if ou.err.Verdict == core.NotRun {
		at.sent--
		switch ou.err.Code {
		case core.CodeDraining, core.CodeOutdated: // the target was not asked
		case core.CodeTargetLimit: // nor was this one, and it may be chosen again
			at.tried = slices.DeleteFunc(at.tried, func(id string) bool { return id == ou.target.ID })
		default:
			at.refused++
		}
	}
	return false
}

// finalError returns the error for a request that no other target may or can run.
func (at *attempts) finalError() *core.Error {
	verdict := at.verdict
	if refused := at.condemned(); refused != nil && at.sent == 0 {
		return refused
	}
	if left := at.re.Deadline.Sub(at.fo.Clock.Now()); verdict == "" && left < at.latencyShare(minTimeShare) {
		return core.Refuse(core.CodeDeadline, "only %v are left, too little for a target to respond", left)
	}
	if notRun := verdict == "" || verdict == core.NotRun; notRun && len(at.limited) > 0 {
		return at.limitError()
	} else if notRun {
		wait := at.fo.Balancer.retryAfter(at.fo.Clock.Now(), at.service, at.fo.IntN)
		return core.Refuse(core.CodeFull, "no target of service %s takes the request", at.service).WithRetryAfter(wait)
	}
	if at.last != nil {
		return at.last.WithVerdict(verdict)
	}
	return core.InDoubt(core.CodeTargetLost, "no target of service %s answered", at.service)
}

// deadlineError returns the error for a request whose deadline passed. Attempts still in
// flight may run.
func (at *attempts) deadlineError() *core.Error {
	if at.inFlight == 0 && (at.verdict == "" || at.verdict == core.NotRun) {
		return core.Refuse(core.CodeDeadline, "deadline exceeded before a target took the request")
	}
	return core.InDoubt(core.CodeDeadline, "no response within the time left")
}

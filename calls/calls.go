// Package calls serves plain requests: one request, one whole answer.
//
// The load pattern: a few short requests a second beside the scoring calls of
// a step, which come in bursts; targets that turn slow, lose answers, spoil
// them, leave, or fall silent.
//
//  1. A request goes to the less loaded of two targets drawn among those that
//     are ready and not resting: first among those of the entry's region with an
//     idle connection and little load, then in its failure domain and then in its
//     region while they have room, since a link between regions takes longer than
//     most answers.
//  2. A refusal with not-run leads to another target at once. When MostRefusals
//     targets refused, the caller is refused with the time to come back.
//  3. An idempotent request whose target fails or gives no sound answer goes to
//     another target. One that has no answer after HedgeShare of its objective
//     is sent to a second target beside the first; the first sound answer wins
//     and the other is dropped.
//  4. No request is run by more targets than its route permits.
//  5. A request that may run only once is never sent again after a doubt.
//  6. A target that fails rests, longer each time in a row.
//  7. A stream is passed on event by event and is never sent to two targets at
//     once. One that may be resumed goes on at another target behind its last
//     whole event when its target breaks off or is silent for streamStall; what
//     the caller sees is one answer with the headers of the first target.
//  8. A stream that can't go on is broken off, so that it never looks whole.
//  9. A request that crashed poison.MostDeaths targets, at any entry, is sent to no
//     further one. What comes again with its content is refused at once.
package calls

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"

	"bilberryshelf/conf"
	"bilberryshelf/core"
	"bilberryshelf/fleet"
	"bilberryshelf/logs"
	"bilberryshelf/meter"
	"bilberryshelf/poison"
)

const (
	// HedgeShare is the part of the objective after which a second target is
	// asked.
	HedgeShare = 0.4
	// MaxRefusals bounds the targets that are asked before the caller is
	// refused.
	MaxRefusals = 4
	// defaultObjective stands in for a route without one.
	defaultObjective = 500 * time.Millisecond
	// leastShare is the part of the objective that must be left for a target to be
	// asked: in less it could not answer.
	leastShare = 0.1
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
	// Deadline is when the caller leaves or the route's bound is reached.
	Deadline time.Time
	// LastEventID is the id of the last event that the caller has of a stream.
	LastEventID int
}

// Response is the whole answer of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stamp is the target's signature of the answer.
	Stamp string
	// Running and Slots are the load that the target told; Slots is zero if it
	// told none.
	Running, Waiting, Slots int
}

// Sender sends a request to a target. Its errors carry a verdict; a *core.Error
// with not-run is a promise of the target.
type Sender interface {
	Send(ctx context.Context, ta fleet.Target, re Request) (Response, error)
}

// Forwarder serves requests. Set all fields; the zero Board works.
type Forwarder struct {
	Sender Sender
	// Streamer is needed for streams only.
	Streamer Streamer
	Clock    core.Clock
	Logger   log.Logger
	Meters   *meter.Set
	IntN     func(below int) int
	Balancer *Balancer
	// Losses counts the targets that requests crashed; Tell, if set, is told of each
	// death that is seen here and must not block.
	Losses  poison.Counter
	OnDeath func(lo poison.Loss)
}

// outcome is what came of one attempt.
type outcome struct {
	target   fleet.Target
	response Response
	err      *core.Error
	took     time.Duration
}

// attempts is the state of one request.
type attempts struct {
	fo       *Forwarder
	re       Request
	service  string
	digest   uint64
	tried    []string
	results  chan outcome
	inFlight int
	sent     int
	refused  int
	verdict  core.Verdict
	last     *core.Error
}

func newAttempts(ca *Forwarder, re Request) *attempts {
	return &attempts{fo: ca, re: re, service: re.Route.Pick(ca.IntN), digest: re.digest()}
}

// Do serves a request. Its errors carry a verdict and, where the request did
// not run, the time to come back.
func (ca *Forwarder) Do(ctx context.Context, re Request) (Response, *core.Error) {
	started := ca.Clock.Now()
	ctx, cancel := context.WithDeadline(ctx, re.Deadline)
	defer cancel()
	at := newAttempts(ca, re)
	at.results = make(chan outcome, ca.maxAttempts(re)+MaxRefusals)
	answer, err := at.run(ctx)
	now := ca.Clock.Now()
	more := []any{"status", answer.Status}
	if err != nil {
		more = []any{"left", re.Deadline.Sub(now)}
	}
	at.record(err, now.Sub(started), more...)
	return answer, err
}

func (*Forwarder) maxAttempts(re Request) int { return max(re.Route.Attempts, 1) }

// record logs and counts what came of a request. More is what else the log line
// tells.
func (at *attempts) record(err *core.Error, took time.Duration, more ...any) {
	ca, route := at.fo, at.re.Route.Name
	ca.Meters.Observe("request", route, took)
	fields := append([]any{
		"id", at.re.ID, "route", route, "targets", strings.Join(at.tried, ","), "refused-by", at.refused, "took", took,
	}, more...)
	if err == nil {
		ca.Meters.Count("requests-answered", route, 1)
		logs.Info(ca.Logger, "request answered", fields...)
		return
	}
	ca.Meters.Count("requests-refused", string(err.Code), 1)
	fields = append(fields, "service", at.service, "sent", at.sent, "verdict", err.Verdict, "code", err.Code, "text", err.Text)
	logs.Warn(ca.Logger, "request not served", fields...)
}

func (at *attempts) run(ctx context.Context) (Response, *core.Error) {
	if !at.launch(ctx) {
		return Response{}, at.finalError()
	}
	hedge := at.fo.Clock.After(at.share(HedgeShare))
	for {
		select {
		case ou := <-at.results:
			at.inFlight--
			if at.accept(ou) {
				return ou.response, nil
			}
			if at.inFlight == 0 && !at.launch(ctx) {
				return Response{}, at.finalError()
			}
		case <-hedge:
			hedge = nil
			if at.re.Route.Kind == conf.Idempotent {
				at.launch(ctx)
			}
		case <-ctx.Done():
			return Response{}, at.deadlineError()
		}
	}
}

// share is a part of the route's objective.
func (at *attempts) share(part float64) time.Duration {
	objective := at.re.Route.TargetLatency
	if objective <= 0 {
		objective = defaultObjective
	}
	return time.Duration(part * float64(objective))
}

// next takes one more target, if the rules permit one.
func (at *attempts) next(ctx context.Context) (fleet.Target, bool) {
	ca := at.fo
	doubt := at.verdict != "" && at.verdict != core.NotRun
	if (doubt && !repeatable(at.re.Route)) || at.sent >= ca.maxAttempts(at.re) || at.refused >= MaxRefusals || ctx.Err() != nil {
		return fleet.Target{}, false
	}
	if at.re.Deadline.Sub(ca.Clock.Now()) < at.share(leastShare) || at.condemned() != nil {
		return fleet.Target{}, false
	}
	ta, found := ca.Balancer.pickTarget(ca.Clock.Now(), at.service, at.tried, ca.IntN)
	if !found {
		return fleet.Target{}, false
	}
	at.tried = append(at.tried, ta.ID)
	at.sent++
	ca.Balancer.begin(ta.ID)
	return ta, true
}

// repeatable tells whether a request may be sent again after a doubt (rule 5).
func repeatable(ro conf.Route) bool {
	return ro.Kind == conf.Idempotent || (ro.Kind == conf.Stream && ro.Resumable)
}

// launch sends the request to one more target, if the rules permit one.
func (at *attempts) launch(ctx context.Context) bool {
	ca := at.fo
	ta, found := at.next(ctx)
	if !found {
		return false
	}
	at.inFlight++
	go func() {
		began := ca.Clock.Now()
		answer, err := ca.Sender.Send(ctx, ta, at.re)
		ou := outcome{target: ta, response: answer, err: core.AsError(err), took: ca.Clock.Now().Sub(began)}
		dropped := ctx.Err() != nil
		ca.Balancer.end(ca.Clock.Now(), ta.ID, ou, dropped)
		at.recordHealth(ou, dropped)
		at.results <- ou
	}()
	return true
}

// accept tells whether an outcome is an answer for the caller.
func (at *attempts) accept(ou outcome) bool {
	if ou.err == nil {
		return true
	}
	at.last = ou.err
	at.verdict = at.verdict.Combine(ou.err.Verdict)
	if ou.err.Verdict == core.NotRun {
		at.sent--
		at.refused++
	}
	return false
}

// finalError is the final answer when no target is left to ask.
func (at *attempts) finalError() *core.Error {
	verdict := at.verdict
	if refused := at.condemned(); refused != nil && at.sent == 0 {
		return refused
	}
	if left := at.re.Deadline.Sub(at.fo.Clock.Now()); verdict == "" && left < at.share(leastShare) {
		return core.Refuse(core.CodeDeadline, "only %v are left, too little for a target", left)
	}
	if verdict == "" || verdict == core.NotRun {
		wait := at.fo.Balancer.retryAfter(at.fo.Clock.Now(), at.service, at.fo.IntN)
		return core.Refuse(core.CodeFull, "no target of %s takes the request", at.service).WithRetryAfter(wait)
	}
	if at.last != nil {
		return at.last.WithVerdict(verdict)
	}
	return core.InDoubt(core.CodeTargetLost, "no target of %s answered", at.service)
}

// deadlineError is the final answer when the time is over. What is still open may run.
func (at *attempts) deadlineError() *core.Error {
	if at.inFlight == 0 && (at.verdict == "" || at.verdict == core.NotRun) {
		return core.Refuse(core.CodeDeadline, "the time was over before a target took the request")
	}
	return core.InDoubt(core.CodeDeadline, "no answer within the time that was left")
}

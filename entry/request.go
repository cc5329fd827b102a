package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"bilberryshelf/core"
	"bilberryshelf/limit"
	"bilberryshelf/loan"
	"bilberryshelf/retry"
	"bilberryshelf/wire"
)

// request is one request on its way to a target.
type request struct {
	id         string
	tenant     string
	service    string
	loan       loan.Loan
	method     string
	path       string
	headers    []*wire.Header
	body       []byte
	digest     uint64
	idempotent bool
	// key is the key that guards remember; keyed says that the caller chose it,
	// so that it binds the request to the key's home.
	key        string
	keyed      bool
	priority   core.Priority
	deadline   time.Time
	prefixHash uint64
	// completion says that the answer is a completion, so that a stream of it must
	// end with the end mark.
	completion bool
	sample     bool
	minVersion uint64
}

const (
	// maxSettles is the number of settle questions for one request.
	maxSettles = 2
	// maxResends is the number of looks for a place.
	maxResends = 100
	// internalKeyHold is how long a key that no caller knows is held.
	internalKeyHold = time.Minute
)

// perform gets one request run and its answer into the receiver. A nil error
// means that the whole answer has been received.
func (en *Entry) perform(ctx context.Context, rq *request, rc receiver) *core.Error {
	began := en.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, rq.deadline.Sub(began))
	defer cancel()
	ch := en.newRetryState(rq, rc)
	var er *core.Error
	for turn := range maxAdmissions {
		if er = en.admit(ctx, rq, turn > 0); er != nil {
			break
		}
		er = en.serveAdmitted(ctx, ch)
		if !ch.plan.CanRequeue(er) || !en.sleepJittered(ctx, min(max(er.RetryAfter, minRequeueDelay), maxRequeueDelay)) {
			break
		}
	}
	if er != nil && er.Verdict == core.NotRun && ch.plan.InDoubt() {
		er = er.WithVerdict(core.MayHaveRun)
	}
	en.recordRequest(rq, began, er)
	return er
}

const (
	// maxAdmissions bounds how often a request that found no room queues again.
	maxAdmissions = 100
	// minRequeueDelay and mostPause bound the wait before it does.
	minRequeueDelay = 5 * time.Millisecond
	maxRequeueDelay = 250 * time.Millisecond
)

// serveAdmitted makes the attempts of one turn and gives the place back.
func (en *Entry) serveAdmitted(ctx context.Context, ch *retryState) *core.Error {
	began := en.clock.Now()
	er := en.runAttempts(ctx, ch)
	end := limit.Failed
	switch {
	case er == nil:
		end = limit.Served
	case er.Code == core.CodeFull:
		end = limit.Overloaded
	}
	took := en.clock.Now().Sub(began)
	en.loop.Post(func() { en.releaseSlot(ch.rq, end, took) })
	return er
}

func (en *Entry) recordRequest(rq *request, began time.Time, er *core.Error) {
	took := en.clock.Now().Sub(began)
	en.meters.Observe("request", rq.tenant, took)
	en.meters.Observe("class", string(rq.priority), took)
	code := "ok"
	if er != nil {
		code = string(er.Code)
		level.Info(en.logger).Log("event", "request-failed", "request", rq.id, "tenant", rq.tenant, "loan", rq.loan.ID,
			"service", rq.service, "code", er.Code, "verdict", er.Verdict, "text", er.Text, "took", took)
	}
	en.meters.Count("requests", code, 1)
}

// retryState is the state of one request between its attempts.
type retryState struct {
	rq        *request
	rc        receiver
	plan      retry.Plan
	tried     []string
	placement placement
	id        core.AttemptID
	// startDeadline is the deadline of the last attempt, in its guard's clock.
	startDeadline time.Time
}

func (en *Entry) newRetryState(rq *request, rc receiver) *retryState {
	return &retryState{rq: rq, rc: rc, plan: retry.Plan{
		Idempotent: rq.idempotent, Pinned: rq.keyed, AttemptsLeft: en.settings.Limits.Attempts - 1,
		SettlesLeft: maxSettles, ResendsLeft: maxResends, Deadline: rq.deadline,
	}}
}

// runAttempts follows the plan of the request until it is answered, given up, or
// has to wait for another turn.
func (en *Entry) runAttempts(ctx context.Context, ch *retryState) *core.Error {
	next := retry.Next{Action: retry.OtherTarget}
	for next.Action != retry.Finish {
		if next.Wait > 0 && !en.sleepJittered(ctx, next.Wait) {
			return ch.plan.Abort()
		}
		re := en.runAction(ctx, ch, next.Action)
		if re.Event == "" {
			return nil
		}
		if ch.rc.unresumable() {
			return re.Error.WithVerdict(core.MayHaveRun)
		}
		next = ch.plan.Next(en.clock.Now(), re, en.spendRetry)
	}
	return next.Error
}

// runAction makes one move; an empty report means that the answer is whole.
func (en *Entry) runAction(ctx context.Context, ch *retryState, move retry.Action) retry.Report {
	if move == retry.Settle {
		return en.settle(ctx, ch)
	}
	if move != retry.Attach {
		at, er := en.placement(ctx, ch)
		if er != nil {
			return retry.Report{Event: retry.Refused, Error: er}
		}
		ch.placement = at
	}
	ch.id = core.AttemptID(uuid.New())
	oc := en.attempt(ctx, ch)
	if oc.complete() {
		en.recordSuccess(ch.rq, ch.placement, oc.headLatency)
		return oc.report
	}
	if countsAgainstTarget(oc.report) {
		ch.tried = append(ch.tried, ch.placement.endpoint.Name)
		en.recordFailure(ctx, ch.placement)
	}
	if er := oc.report.Error; er.Code == core.CodeStaleRevision {
		en.loop.Post(func() { en.fetchRevision(er.Revision) })
	}
	return oc.report
}

// countsAgainstTarget reports an attempt that speaks against its target.
func countsAgainstTarget(re retry.Report) bool {
	if re.Event == retry.Cut {
		return true
	}
	switch re.Error.Code {
	case core.CodeTargetDown, core.CodeTargetLost, core.CodeAnswerCut, core.CodeDraining, core.CodeOldIncarnation:
		return true
	default:
		return false
	}
}

func (en *Entry) sleepJittered(ctx context.Context, wait time.Duration) bool {
	wait += time.Duration(rand.Int64N(int64(wait)/2 + 1))
	select {
	case <-ctx.Done():
		return false
	case <-en.clock.After(wait):
		return true
	}
}

func (en *Entry) spendRetry() bool {
	ok := false
	en.loop.Do(func() { ok = en.budget.Spend() })
	en.meters.Count("retries", "", 1)
	return ok
}

// recordSuccess and wentWrong report to the health of the target. An answer of a
// request that ran alone clears it.
func (en *Entry) recordSuccess(rq *request, at placement, first time.Duration) {
	en.loop.Post(func() {
		now := en.clock.Now()
		if at.alone {
			en.poison.RecordSuccess(now, rq.digest)
		}
		if re := en.remotes[at.endpoint.Name]; re != nil {
			re.health.RecordAnswer(now, first, en.medianLatency(re))
		}
	})
}

// medianSpeed is the median speed of generations at the other targets of the
// service, and typicalFirst their median time to the head; zero if fewer than
// two are known. They run on the loop.
func (en *Entry) medianSpeed(than *remote) float64 {
	return medianOfOthers(en, than, func(re *remote) float64 { return re.health.Speed() })
}

func (en *Entry) medianLatency(than *remote) time.Duration {
	return medianOfOthers(en, than, func(re *remote) time.Duration { return re.health.Latency() })
}

// medianOfOthers is the median of what is known of the other targets of a service.
func medianOfOthers[T cmp.Ordered](en *Entry, than *remote, value func(re *remote) T) T {
	var (
		others []T
		zero   T
	)
	for _, re := range en.remotes {
		if known := value(re); re != than && re.inst.Service == than.inst.Service && known > zero {
			others = append(others, known)
		}
	}
	if len(others) < minMedianPeers {
		return zero
	}
	slices.Sort(others)
	return others[len(others)/2]
}

// minMedianPeers is how many other targets must be known for a typical time.
const minMedianPeers = 2

// recordFailure asks the guard at once whether its target died, so that what it
// learns holds for the very next attempt.
func (en *Entry) recordFailure(ctx context.Context, at placement) {
	var re *remote
	en.loop.Do(func() {
		if re = en.remotes[at.endpoint.Name]; re != nil {
			re.health.RecordFailure(en.clock.Now())
		}
	})
	if re != nil {
		en.hello(ctx, re)
	}
}

// settle asks a guard what became of the last attempt. The question names the
// attempt's own deadline, by which the guard tells an attempt that it never saw
// from one that it has forgotten.
func (en *Entry) settle(ctx context.Context, ch *retryState) retry.Report {
	ctx, cancel := context.WithTimeout(ctx, en.settings.Timing.SettleTimeout.Std())
	defer cancel()
	co := ch.placement.endpoint
	res, err := co.client.Settle(ctx, &wire.SettleRequest{Id: ch.id[:], Incarnation: co.Incarnation, ForbidUntilNanos: ch.startDeadline.UnixNano()})
	if err != nil {
		return retry.Report{Event: retry.Unsettled, Error: core.InDoubt(core.CodeTargetLost, "the guard does not say what became of it")}
	}
	en.meters.Count("settled", res.State, 1)
	return retry.Report{Event: retry.Settled, State: res.State}
}

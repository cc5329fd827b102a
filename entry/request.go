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

// request is a request of a caller, or for a sample, to be run by a target.
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
	// key is the idempotency key that guards store; keyed reports whether the
	// caller chose it and the request must run at the key's home.
	key        string
	keyed      bool
	priority   core.Priority
	deadline   time.Time
	prefixHash uint64
	// completion reports whether the answer is a completion; if streamed, it must
	// end with the end marker [DONE].
	completion bool
	sample     bool
	minVersion uint64
}

const (
	// maxSettles limits the settle calls of one request.
	maxSettles = 2
	// maxResends limits how often one request is sent again after a transient
	// refusal, such as one for an outdated configuration.
	maxResends = 100
	// internalKeyHold is how long guards keep the key of a request that need not run
	// at the key's home.
	internalKeyHold = time.Minute
)

// perform runs one request and passes its answer to the receiver. A nil error
// means that the complete answer has been received.
func (en *Entry) perform(ctx context.Context, rq *request, rc receiver) *core.Error {
	began := en.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, rq.deadline.Sub(began))
	defer cancel()
	rs := en.newRetryState(rq, rc)
	var er *core.Error
	for admission := range maxAdmissions {
		if er = en.admit(ctx, rq, admission > 0); er != nil {
			break
		}
		er = en.serveAdmitted(ctx, rs)
		if !rs.plan.CanRequeue(er) || !en.sleepJittered(ctx, min(max(er.RetryAfter, minRequeueDelay), maxRequeueDelay)) {
			break
		}
	}
	if er != nil && er.Verdict == core.NotRun && rs.plan.InDoubt() {
		er = er.WithVerdict(core.MayHaveRun)
	}
	en.recordRequest(rq, began, er)
	return er
}

const (
	// maxAdmissions limits how often one request asks for admission, the first
	// time included. It asks again after a refusal for lack of capacity.
	maxAdmissions = 100
	// minRequeueDelay and maxRequeueDelay limit the wait before it asks again.
	minRequeueDelay = 5 * time.Millisecond
	maxRequeueDelay = 250 * time.Millisecond
)

// serveAdmitted makes the attempts of an admitted request and releases its slot.
func (en *Entry) serveAdmitted(ctx context.Context, rs *retryState) *core.Error {
	began := en.clock.Now()
	er := en.runAttempts(ctx, rs)
	result := limit.Failed
	switch {
	case er == nil:
		result = limit.Served
	case er.Code == core.CodeFull:
		result = limit.Overloaded
	}
	took := en.clock.Now().Sub(began)
	en.loop.Post(func() { en.releaseSlot(rs.rq, result, took) })
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

// retryState is the state of one request across its attempts.
type retryState struct {
	rq        *request
	rc        receiver
	plan      retry.Plan
	tried     []string
	placement placement
	id        core.AttemptID
	// startDeadline is the deadline for the start of the last attempt, on its
	// guard's clock.
	startDeadline time.Time
}

func (en *Entry) newRetryState(rq *request, rc receiver) *retryState {
	return &retryState{rq: rq, rc: rc, plan: retry.Plan{
		Idempotent: rq.idempotent, Pinned: rq.keyed, AttemptsLeft: en.settings.Limits.Attempts - 1,
		SettlesLeft: maxSettles, ResendsLeft: maxResends, Deadline: rq.deadline,
	}}
}

// runAttempts follows the request's retry plan until the request is answered, has
// failed, or must queue again.
func (en *Entry) runAttempts(ctx context.Context, rs *retryState) *core.Error {
	next := retry.Next{Action: retry.OtherTarget}
	for next.Action != retry.Finish {
		if next.Wait > 0 && !en.sleepJittered(ctx, next.Wait) {
			return rs.plan.Abort()
		}
		re := en.runAction(ctx, rs, next.Action)
		if re.Event == "" {
			return nil
		}
		if rs.rc.unresumable() {
			return re.Error.WithVerdict(core.MayHaveRun)
		}
		next = rs.plan.Next(en.clock.Now(), re, en.spendRetry)
	}
	return next.Error
}

// runAction takes one step of the retry plan; an empty report means that the
// answer is complete.
func (en *Entry) runAction(ctx context.Context, rs *retryState, action retry.Action) retry.Report {
	if action == retry.Settle {
		return en.settle(ctx, rs)
	}
	if action != retry.Attach {
		pl, er := en.placement(ctx, rs)
		if er != nil {
			return retry.Report{Event: retry.Refused, Error: er}
		}
		rs.placement = pl
	}
	rs.id = core.AttemptID(uuid.New())
	oc := en.attempt(ctx, rs)
	if oc.complete() {
		en.recordSuccess(rs.rq, rs.placement, oc.headLatency)
		return oc.report
	}
	if countsAgainstTarget(oc.report) {
		rs.tried = append(rs.tried, rs.placement.endpoint.Name)
		en.recordFailure(ctx, rs.placement)
	}
	if er := oc.report.Error; er.Code == core.CodeStaleRevision {
		en.loop.Post(func() { en.fetchRevision(er.Revision) })
	}
	return oc.report
}

// countsAgainstTarget reports whether a failed attempt counts as a failure of its
// target.
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

// sleepJittered waits for the given time plus up to half of it. It reports whether
// the context is still valid.
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

// recordSuccess records an answer in the health of its target. A suspect request
// that ran alone is no longer suspect.
func (en *Entry) recordSuccess(rq *request, pl placement, headLatency time.Duration) {
	en.loop.Post(func() {
		now := en.clock.Now()
		if pl.alone {
			en.poison.RecordSuccess(now, rq.digest)
		}
		if re := en.remotes[pl.endpoint.Name]; re != nil {
			re.health.RecordAnswer(now, headLatency, en.medianLatency(re))
		}
	})
}

// medianSpeed returns the median token rate of the other targets of the service,
// zero if fewer than minMedianPeers have one. It runs on the loop.
func (en *Entry) medianSpeed(except *remote) float64 {
	return medianOfOthers(en, except, func(re *remote) float64 { return re.health.Speed() })
}

// medianLatency is medianSpeed for the time to the head of an answer.
func (en *Entry) medianLatency(except *remote) time.Duration {
	return medianOfOthers(en, except, func(re *remote) time.Duration { return re.health.Latency() })
}

// medianOfOthers returns the median of the values above zero of the other targets
// of a service.
func medianOfOthers[T cmp.Ordered](en *Entry, except *remote, value func(re *remote) T) T {
	var (
		others []T
		zero   T
	)
	for _, re := range en.remotes {
		if known := value(re); re != except && re.inst.Service == except.inst.Service && known > zero {
			others = append(others, known)
		}
	}
	if len(others) < minMedianPeers {
		return zero
	}
	slices.Sort(others)
	return others[len(others)/2]
}

// minMedianPeers is the number of other targets needed for a median.
const minMedianPeers = 2

// recordFailure records a failed attempt in the health of its target. It then
// sends the guard a hello, so that the next attempt already knows whether the
// target died.
func (en *Entry) recordFailure(ctx context.Context, pl placement) {
	var re *remote
	en.loop.Do(func() {
		if re = en.remotes[pl.endpoint.Name]; re != nil {
			re.health.RecordFailure(en.clock.Now())
		}
	})
	if re != nil {
		en.hello(ctx, re)
	}
}

// settle asks a guard for the outcome of the last attempt. The request contains
// the attempt's own deadline, by which the guard distinguishes an attempt that it
// never received from one that it has deleted.
func (en *Entry) settle(ctx context.Context, rs *retryState) retry.Report {
	ctx, cancel := context.WithTimeout(ctx, en.settings.Timing.SettleTimeout.Std())
	defer cancel()
	ep := rs.placement.endpoint
	res, err := ep.client.Settle(ctx, &wire.SettleRequest{Id: rs.id[:], Incarnation: ep.Incarnation, ForbidUntilNanos: rs.startDeadline.UnixNano()})
	if err != nil {
		return retry.Report{Event: retry.Unsettled, Error: core.InDoubt(core.CodeTargetLost, "the guard did not report the outcome of the attempt")}
	}
	en.meters.Count("settled", res.State, 1)
	return retry.Report{Event: retry.Settled, State: res.State}
}

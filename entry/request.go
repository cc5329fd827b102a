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
	key      string
	keyed    bool
	priority core.Priority
	deadline time.Time
	prefix   uint64
	// model says that the answer is a completion, so that a stream of it must
	// end with the end mark.
	model  bool
	sample bool
	least  uint64
}

const (
	// mostAsks is the number of settle questions for one request.
	mostAsks = 2
	// mostLooks is the number of looks for a place.
	mostLooks = 100
	// internalHold is how long a key that no caller knows is held.
	internalHold = time.Minute
)

// perform gets one request run and its answer into the receiver. A nil error
// means that the whole answer has been received.
func (en *Entry) perform(ctx context.Context, rq *request, rc receiver) *core.Error {
	began := en.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, rq.deadline.Sub(began))
	defer cancel()
	ch := en.newChase(rq, rc)
	var er *core.Error
	for turn := range mostTurns {
		if er = en.enter(ctx, rq, turn > 0); er != nil {
			break
		}
		er = en.serveTurn(ctx, ch)
		if !ch.plan.CanRequeue(er) || !en.pause(ctx, min(max(er.RetryAfter, leastPause), mostPause)) {
			break
		}
	}
	if er != nil && er.Verdict == core.NotRun && ch.plan.InDoubt() {
		er = er.WithVerdict(core.MayHaveRun)
	}
	en.note(rq, began, er)
	return er
}

const (
	// mostTurns bounds how often a request that found no room queues again.
	mostTurns = 100
	// leastPause and mostPause bound the wait before it does.
	leastPause = 5 * time.Millisecond
	mostPause  = 250 * time.Millisecond
)

// serveTurn makes the attempts of one turn and gives the place back.
func (en *Entry) serveTurn(ctx context.Context, ch *chase) *core.Error {
	began := en.clock.Now()
	er := en.attempts(ctx, ch)
	end := limit.Failed
	switch {
	case er == nil:
		end = limit.Served
	case er.Code == core.CodeFull:
		end = limit.Overloaded
	}
	took := en.clock.Now().Sub(began)
	en.loop.Post(func() { en.leave(ch.rq, end, took) })
	return er
}

func (en *Entry) note(rq *request, began time.Time, er *core.Error) {
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

// chase is the state of one request between its attempts.
type chase struct {
	rq    *request
	rc    receiver
	plan  retry.Plan
	tried []string
	at    place
	id    core.AttemptID
	// startBy is the deadline of the last attempt, in its guard's clock.
	startBy time.Time
}

func (en *Entry) newChase(rq *request, rc receiver) *chase {
	return &chase{rq: rq, rc: rc, plan: retry.Plan{
		Idempotent: rq.idempotent, Pinned: rq.keyed, AttemptsLeft: en.settings.Limits.Attempts - 1,
		SettlesLeft: mostAsks, ResendsLeft: mostLooks, Deadline: rq.deadline,
	}}
}

// attempts follows the plan of the request until it is answered, given up, or
// has to wait for another turn.
func (en *Entry) attempts(ctx context.Context, ch *chase) *core.Error {
	next := retry.Next{Action: retry.OtherTarget}
	for next.Action != retry.Finish {
		if next.Wait > 0 && !en.pause(ctx, next.Wait) {
			return ch.plan.Abort()
		}
		re := en.follow(ctx, ch, next.Action)
		if re.Event == "" {
			return nil
		}
		if ch.rc.spoilt() {
			return re.Error.WithVerdict(core.MayHaveRun)
		}
		next = ch.plan.Next(en.clock.Now(), re, en.spend)
	}
	return next.Error
}

// follow makes one move; an empty report means that the answer is whole.
func (en *Entry) follow(ctx context.Context, ch *chase, move retry.Action) retry.Report {
	if move == retry.Settle {
		return en.settle(ctx, ch)
	}
	if move != retry.Attach {
		at, er := en.place(ctx, ch)
		if er != nil {
			return retry.Report{Event: retry.Refused, Error: er}
		}
		ch.at = at
	}
	ch.id = core.AttemptID(uuid.New())
	oc := en.attempt(ctx, ch)
	if oc.whole() {
		en.wentWell(ch.rq, ch.at, oc.first)
		return oc.report
	}
	if failedThere(oc.report) {
		ch.tried = append(ch.tried, ch.at.contact.Name)
		en.wentWrong(ctx, ch.at)
	}
	if er := oc.report.Error; er.Code == core.CodeStaleRevision {
		en.loop.Post(func() { en.fetch(er.Revision) })
	}
	return oc.report
}

// failedThere reports an attempt that speaks against its target.
func failedThere(re retry.Report) bool {
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

func (en *Entry) pause(ctx context.Context, wait time.Duration) bool {
	wait += time.Duration(rand.Int64N(int64(wait)/2 + 1))
	select {
	case <-ctx.Done():
		return false
	case <-en.clock.After(wait):
		return true
	}
}

func (en *Entry) spend() bool {
	ok := false
	en.loop.Do(func() { ok = en.budget.Spend() })
	en.meters.Count("retries", "", 1)
	return ok
}

// wentWell and wentWrong report to the health of the target. An answer of a
// request that ran alone clears it.
func (en *Entry) wentWell(rq *request, at place, first time.Duration) {
	en.loop.Post(func() {
		now := en.clock.Now()
		if at.alone {
			en.poison.RecordSuccess(now, rq.digest)
		}
		if re := en.remotes[at.contact.Name]; re != nil {
			re.health.RecordAnswer(now, first, en.typicalFirst(re))
		}
	})
}

// typicalSpeed is the median speed of generations at the other targets of the
// service, and typicalFirst their median time to the head; zero if fewer than
// two are known. They run on the loop.
func (en *Entry) typicalSpeed(than *remote) float64 {
	return typical(en, than, func(re *remote) float64 { return re.health.Speed() })
}

func (en *Entry) typicalFirst(than *remote) time.Duration {
	return typical(en, than, func(re *remote) time.Duration { return re.health.Latency() })
}

// typical is the median of what is known of the other targets of a service.
func typical[T cmp.Ordered](en *Entry, than *remote, value func(re *remote) T) T {
	var (
		others []T
		zero   T
	)
	for _, re := range en.remotes {
		if known := value(re); re != than && re.inst.Service == than.inst.Service && known > zero {
			others = append(others, known)
		}
	}
	if len(others) < leastPeers {
		return zero
	}
	slices.Sort(others)
	return others[len(others)/2]
}

// leastPeers is how many other targets must be known for a typical time.
const leastPeers = 2

// wentWrong asks the guard at once whether its target died, so that what it
// learns holds for the very next attempt.
func (en *Entry) wentWrong(ctx context.Context, at place) {
	var re *remote
	en.loop.Do(func() {
		if re = en.remotes[at.contact.Name]; re != nil {
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
func (en *Entry) settle(ctx context.Context, ch *chase) retry.Report {
	ctx, cancel := context.WithTimeout(ctx, en.settings.Timing.SettleTimeout.Std())
	defer cancel()
	co := ch.at.contact
	res, err := co.client.Settle(ctx, &wire.SettleRequest{Id: ch.id[:], Incarnation: co.Incarnation, ForbidUntilNanos: ch.startBy.UnixNano()})
	if err != nil {
		return retry.Report{Event: retry.Unsettled, Error: core.InDoubt(core.CodeTargetLost, "the guard does not say what became of it")}
	}
	en.meters.Count("settled", res.State, 1)
	return retry.Report{Event: retry.Settled, State: res.State}
}

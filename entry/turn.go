package entry

import (
	"context"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/limit"
)

// enter asks the gate of the service and waits for its place.
func (en *Entry) enter(ctx context.Context, rq *request, again bool) *core.Error {
	var (
		de   limit.Decision
		wait chan *core.Error
		item = limit.Item{Tenant: rq.tenant, Priority: rq.priority, Deadline: rq.deadline, Requeued: again}
	)
	served := en.loop.Do(func() {
		now := en.clock.Now()
		ga := en.gateOf(rq.service)
		en.lastGate++
		item.ID = en.lastGate
		de = ga.Offer(now, item)
		if de.Action == limit.Enqueue {
			wait = make(chan *core.Error, 1)
			ga.waiting[item.ID] = wait
		}
		if de.Evicted != nil {
			ga.answer(de.Evicted.ID, de.EvictedError)
		}
		if de.Action != limit.Refuse && !again {
			en.budget.Earn()
		}
	})
	if !served {
		return core.Refuse(core.CodeDraining, "the entry has stopped")
	}
	switch de.Action {
	case limit.Admit:
		return nil
	case limit.Refuse:
		return de.Error
	}
	select {
	case er := <-wait:
		return er
	case <-ctx.Done():
		return en.abandon(rq, item, wait)
	}
}

// abandon leaves the queue; a place that was granted meanwhile is given back.
func (en *Entry) abandon(rq *request, item limit.Item, wait chan *core.Error) *core.Error {
	var comeBack time.Duration
	en.loop.Do(func() {
		ga := en.gateOf(rq.service)
		comeBack = ga.RetryAfter(en.clock.Now())
		delete(ga.waiting, item.ID)
		if !ga.Cancel(item) && len(wait) > 0 && (<-wait) == nil {
			en.leave(rq, limit.Failed, 0)
		}
	})
	return core.Refuse(core.CodeDeadline, "no place came free before the deadline").WithRetryAfter(comeBack)
}

// leave gives a place back. It runs on the loop.
func (en *Entry) leave(rq *request, end limit.Outcome, took time.Duration) {
	ga := en.gateOf(rq.service)
	now := en.clock.Now()
	tu := ga.Release(now, rq.tenant, end, took)
	for _, id := range tu.Admitted {
		ga.answer(id, nil)
	}
	for _, id := range tu.Late {
		ga.answer(id, core.Refuse(core.CodeQueueWait, "its turn came too late for its deadline").WithRetryAfter(ga.RetryAfter(now)))
	}
}

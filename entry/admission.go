package entry

import (
	"context"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/limit"
)

// admit offers the request to the service's limiter and, if it is queued, waits
// until it is admitted or refused.
func (en *Entry) admit(ctx context.Context, rq *request, requeued bool) *core.Error {
	var (
		de   limit.Decision
		wait chan *core.Error
		item = limit.Item{Tenant: rq.tenant, Priority: rq.priority, Deadline: rq.deadline, Requeued: requeued}
	)
	loopRunning := en.loop.Do(func() {
		now := en.clock.Now()
		sl := en.limiterOf(rq.service)
		en.lastItemID++
		item.ID = en.lastItemID
		de = sl.Offer(now, item)
		if de.Action == limit.Enqueue {
			wait = make(chan *core.Error, 1)
			sl.waiting[item.ID] = wait
		}
		if de.Evicted != nil {
			sl.notify(de.Evicted.ID, de.EvictedError)
		}
		if de.Action != limit.Refuse && !requeued {
			en.budget.Earn()
		}
	})
	if !loopRunning {
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
		return en.cancelWait(rq, item, wait)
	}
}

// cancelWait removes the request from the queue. If it was admitted meanwhile, its
// slot is released.
func (en *Entry) cancelWait(rq *request, item limit.Item, wait chan *core.Error) *core.Error {
	var retryAfter time.Duration
	en.loop.Do(func() {
		sl := en.limiterOf(rq.service)
		retryAfter = sl.RetryAfter(en.clock.Now())
		delete(sl.waiting, item.ID)
		if !sl.Cancel(item) && len(wait) > 0 && (<-wait) == nil {
			en.releaseSlot(rq, limit.Failed, 0)
		}
	})
	return core.Refuse(core.CodeDeadline, "no slot became free before the deadline").WithRetryAfter(retryAfter)
}

// releaseSlot releases the slot of an admitted request and notifies the queued
// requests that are admitted or refused as a result. It runs on the loop.
func (en *Entry) releaseSlot(rq *request, result limit.Outcome, took time.Duration) {
	sl := en.limiterOf(rq.service)
	now := en.clock.Now()
	rl := sl.Release(now, rq.tenant, result, took)
	for _, id := range rl.Admitted {
		sl.notify(id, nil)
	}
	for _, id := range rl.Late {
		sl.notify(id, core.Refuse(core.CodeQueueWait, "the request left the queue too late for its deadline").WithRetryAfter(sl.RetryAfter(now)))
	}
}

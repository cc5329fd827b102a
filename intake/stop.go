package intake

import (
	"context"
	"time"

	"bilberryshelf/core"
	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/table"
)

const (
	// releaseBefore is how long before the end of the grace period jobs that still
	// run are released to other entries.
	releaseBefore = 2500 * time.Millisecond
	// stopBefore is how long before the end of the grace period the entry stops.
	stopBefore = 900 * time.Millisecond
	// answerBefore is how long before the end of the grace period the last requests are
	// answered: a request that its target still runs then gets an error, since the process
	// is killed soon.
	answerBefore = 300 * time.Millisecond
	// minDrainTime is the least time that an entry keeps serving after a stop signal:
	// two readiness probes of the load balancer and the requests in flight.
	minDrainTime = 3500 * time.Millisecond
	// admitAllTime is how long after a stop signal the entry accepts requests of any length.
	// By then the load balancer, which probes each second and needs two misses, sends new
	// connections elsewhere, so that a client that is refused reaches another entry.
	admitAllTime = 2500 * time.Millisecond
	// drainRetryAfter is the Retry-After of a request that a stopping entry refuses. Other
	// entries can take it at once.
	drainRetryAfter = 50 * time.Millisecond
	// drainPoll is the pause between checks whether all jobs have ended.
	drainPoll = 100 * time.Millisecond
)

// drainTimes are the times of a stop.
type drainTimes struct {
	// admitAllUntil is when the entry begins to refuse requests that may outlast it.
	admitAllUntil time.Time
	// endsAt is the time by which requests must be answered.
	endsAt time.Time
}

// Admit refuses a request that a stopping entry may be unable to finish: a request that is
// passed on must be answered whole, and only a refusal at once tells the caller of a request
// that may run once that it can be sent again.
func (en *Entry) Admit(deadline time.Time) *core.Error {
	dr := en.drain.Load()
	if dr == nil || !deadline.After(dr.endsAt) || en.clock.Now().Before(dr.admitAllUntil) {
		return nil
	}
	en.meters.Count("requests-refused-draining", "", 1)
	return core.Refuse(core.CodeDraining, "this entry is stopping and ends %v before the deadline of the request", deadline.Sub(dr.endsAt)).WithRetryAfter(drainRetryAfter)
}

// untilEnd returns a context that ends when a stopping entry answers its last requests, also
// those that it accepted before the stop signal.
func (en *Entry) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(en.serving, cancel)
	return ctx, func() { stop(); cancel() }
}

// Stop drains the entry: it refuses new jobs, lets running jobs continue until only
// releaseBefore of the grace period is left, and releases the rest to other
// entries. It returns when the entry has stopped serving.
func (en *Entry) Stop() {
	if !en.stopping.CompareAndSwap(false, true) {
		return
	}
	logs.Info(en.logger, "stopping", "grace", en.settings.Grace)
	started := en.clock.Now()
	endsAt := started.Add(en.settings.Grace - answerBefore)
	en.drain.Store(&drainTimes{admitAllUntil: started.Add(admitAllTime), endsAt: endsAt})
	time.AfterFunc(endsAt.Sub(started), en.endServing)
	elapsed := func() time.Duration { return en.clock.Now().Sub(started) }
	go en.releaseDuties(en.ctx)
	for elapsed() < en.settings.Grace-releaseBefore {
		if elapsed() >= minDrainTime && en.owner.Idle() {
			break
		}
		<-en.clock.After(drainPoll)
	}
	call, cancel := context.WithTimeout(context.Background(), releaseBefore-stopBefore)
	defer cancel()
	en.owner.Release(call)
	en.storeUsage(call)
	if _, err := en.store.Commit(call, table.Tx{Drops: []table.ID{member.ID(en.settings.Node)}}); err != nil {
		logs.Warn(en.logger, "cannot delete the row of this entry", "err", err)
	}
	en.stop()
	logs.Info(en.logger, "stopped", "after", elapsed())
}

// Kill ends the entry at once without draining, as a crash would.
func (en *Entry) Kill() { en.stop() }

// Owns reports whether this entry runs a job.
func (en *Entry) Owns(job string) bool { return en.owner.Owns(job) }

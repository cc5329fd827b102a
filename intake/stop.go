package intake

import (
	"context"
	"time"

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
	// drainPoll is the pause between checks whether all jobs have ended.
	drainPoll = 100 * time.Millisecond
)

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
	en.endsAt.Store(&endsAt)
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

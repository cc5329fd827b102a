package intake

import (
	"context"
	"time"

	"bilberryshelf/logs"
	"bilberryshelf/member"
	"bilberryshelf/table"
)

const (
	// releaseBefore is how long before the end of the grace the jobs that still
	// run are handed over.
	releaseBefore = 2500 * time.Millisecond
	// stopBefore is how long before the end of the grace the entry ends.
	stopBefore = 900 * time.Millisecond
	// minDrainTime is how long an entry serves on after a stop signal: two
	// questions of the balancer and the requests under way.
	minDrainTime = 3500 * time.Millisecond
	// drainPoll is the pause between looks whether all jobs have ended.
	drainPoll = 100 * time.Millisecond
)

// Stop drains the entry: no new jobs, what runs goes on while there is time,
// what is left is handed over. It returns when nothing is left to do.
func (en *Entry) Stop() {
	if !en.leaving.CompareAndSwap(false, true) {
		return
	}
	logs.Info(en.logger, "stopping", "grace", en.settings.Grace)
	started := en.clock.Now()
	elapsed := func() time.Duration { return en.clock.Now().Sub(started) }
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
		logs.Warn(en.logger, "row not dropped", "err", err)
	}
	en.stop()
	logs.Info(en.logger, "stopped", "after", elapsed())
}

// Kill ends the entry at once, as a lost process would.
func (en *Entry) Kill() { en.stop() }

// Owns tells whether a job runs here.
func (en *Entry) Owns(job string) bool { return en.owner.Owns(job) }

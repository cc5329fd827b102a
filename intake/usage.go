package intake

import (
	"context"
	"sync"
	"time"

	"bilberryshelf/calls"
	"bilberryshelf/core"
	"bilberryshelf/duty"
	"bilberryshelf/logs"
	"bilberryshelf/table"
	"bilberryshelf/usage"
)

// usageInterval is the time between two writes of an entry's counts. A crash loses the counts
// of at most that time.
const usageInterval = 500 * time.Millisecond

// usageDuty counts, stores and reports the requests of each workspace. Nil means that nothing
// is counted.
type usageDuty struct {
	length   time.Duration
	counter  usage.Counter
	truth    usage.Truth
	reporter *usage.Reporter
	// storing is held while counts are stored, so that older ones never replace newer ones.
	storing sync.Mutex
}

// newUsageDuty returns nil if the platform wants no usage reports.
func (en *Entry) newUsageDuty() *usageDuty {
	se := en.settings.Duties
	if !se.Usage {
		return nil
	}
	us := &usageDuty{length: se.ReportWindow}
	if us.length <= 0 {
		us.length = usage.DefaultLength
	}
	us.reporter = &usage.Reporter{
		Name: en.name, Clock: en.clock, Logger: en.logger, Meters: en.meters, Length: us.length, Limit: se.ReportDue,
		Now: func() time.Duration { return us.truth.At(en.clock.Now()) },
	}
	return us
}

// connectUsage connects the counter and the reporter to the other parts of the entry.
func (en *Entry) connectUsage() {
	if en.usage == nil {
		return
	}
	en.forwarder.OnRun = en.countRun
	if rp := en.usage.reporter; en.lease != nil {
		rp.Store, rp.Permission, rp.Sender = en.store, en.lease, guardedReports{en.lease, en.dutyClient, en.clock}
	}
}

// guardedReports sends reports only while the lease is valid, and tells it their outcome.
type guardedReports struct {
	lease  *duty.Runner
	client DutyClient
	clock  core.Clock
}

// ReportUsage implements usage.Sender.
func (gr guardedReports) ReportUsage(ctx context.Context, token, window uint64, counts map[string]uint64) error {
	err := gr.client.ReportUsage(duty.Guard(ctx, gr.lease, token, gr.clock), token, window, counts)
	if reached, known := duty.Reached(err); known {
		gr.lease.Called(reached)
	}
	return err
}

// observe returns a store whose answers give readings of the platform's clock.
func (us *usageDuty) observe(en *Entry, direct table.Watcher) table.Watcher {
	if us == nil {
		return direct
	}
	return usage.Observed{Watcher: direct, Clock: en.clock, Truth: &us.truth}
}

// countRun counts a request in the window in which it began to run.
func (en *Entry) countRun(ra calls.Ran) {
	window := usage.WindowAt(en.usage.truth.At(ra.At), en.usage.length)
	if !en.usage.counter.Count(window, ra.Workspace, ra.ID) {
		logs.Info(en.logger, "request not counted again", "id", ra.ID, "window", window)
	}
}

// clockOffset returns the offset of the wall clock that the entry announces; zero if it is not
// known or not needed.
func (en *Entry) clockOffset() time.Duration {
	if en.usage == nil {
		return 0
	}
	offset, _ := en.usage.truth.Offset(en.clock.Now())
	return offset
}

// runUsage stores the counts, and reports those of all entries while it has the permission.
func (en *Entry) runUsage(ctx context.Context) {
	if en.usage == nil {
		return
	}
	var group sync.WaitGroup
	if en.lease != nil {
		group.Go(func() { en.usage.reporter.Run(ctx) })
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-en.clock.After(usageInterval):
			en.updateTruth()
			en.storeUsage(ctx)
		}
	}
	group.Wait()
}

// updateTruth adopts the offsets that the live entries announce.
func (en *Entry) updateTruth() {
	var offsets []time.Duration
	en.mutex.Lock()
	for _, re := range en.members.Live(en.clock.Now()) {
		if re.Offset != 0 {
			offsets = append(offsets, re.Offset)
		}
	}
	en.mutex.Unlock()
	en.usage.truth.SetOffsets(offsets)
}

// storeUsage stores the counts that changed. Those that cannot be stored are kept.
func (en *Entry) storeUsage(ctx context.Context) {
	us := en.usage
	if us == nil {
		return
	}
	us.storing.Lock()
	defer us.storing.Unlock()
	if changed := us.counter.Changed(); len(changed) > 0 {
		tx, err := usage.CountsTx(en.name, changed)
		if err == nil {
			err = en.write(ctx, tx)
		}
		if err != nil {
			logs.Warn(en.logger, "counts of requests not stored", "windows", len(changed), "err", err)
			return
		}
		us.counter.Written(changed)
	}
	us.counter.Sweep(usage.WindowAt(us.truth.At(en.clock.Now())-usage.Retention, us.length))
}

package intake

import (
	"context"
	"slices"
	"time"

	"bilberryshelf/duty"
	"bilberryshelf/member"
)

// DutySettings configures the calls that are the duty of one entry at a time.
type DutySettings struct {
	// Instance identifies the instance of this entry; see duty.InstanceID.
	Instance string
	// Lease is the lease time; zero means duty.DefaultTTL.
	Lease time.Duration
	// Usage and Autoscale tell which duties there are.
	Usage, Autoscale bool
	// ReportWindow is the length of the windows of usage reports, ReportDue how long after
	// the end of a window its report is due.
	ReportWindow, ReportDue time.Duration
}

// any reports whether there are duties.
func (ds DutySettings) any() bool { return ds.Usage || ds.Autoscale }

// DutyClient makes the calls of the duties.
type DutyClient interface {
	ReportUsage(ctx context.Context, token, window uint64, counts map[string]uint64) error
	Scale(ctx context.Context, token uint64, service, domain string, targets int) error
}

// dutyKey is the key by which the candidates for the duties are ranked.
const dutyKey = "duties"

// newLease returns the lease of the duties, or nil if this entry has none.
func (en *Entry) newLease(po Ports) *duty.Runner {
	if !en.settings.Duties.any() || po.Duties == nil {
		return nil
	}
	return &duty.Runner{
		Lease: duty.Lease{Name: en.name, Node: en.settings.Duties.Instance, TTL: en.settings.Duties.Lease},
		Store: en.store, Clock: en.clock, Boot: en.freshness.Boot, Candidacy: en.candidacy, Logger: en.logger, Meters: en.meters,
	}
}

// candidacy returns the rank of this entry among the candidates for the duties. If all
// entries have low capacity or are stopping, all are candidates.
func (en *Entry) candidacy(now time.Time) duty.Candidacy {
	if en.stopping.Load() {
		return duty.Candidacy{}
	}
	en.mutex.Lock()
	defer en.mutex.Unlock()
	if wait, ok := en.members.AdoptDelay(now, dutyKey, en.name); ok {
		return duty.Candidacy{Eligible: true, Wait: wait}
	}
	live := en.members.Live(now)
	if slices.ContainsFunc(live, func(re member.Record) bool { return !re.LowCapacity && !re.Stopping }) {
		return duty.Candidacy{}
	}
	at := slices.IndexFunc(live, func(re member.Record) bool { return re.Name == en.name })
	return duty.Candidacy{Eligible: at >= 0, Wait: time.Duration(max(at, 0)) * member.AdoptStep}
}

// releaseDuties ends the calls of the duties and releases the lease, so that another entry
// need not wait until it expires.
func (en *Entry) releaseDuties(ctx context.Context) {
	if en.lease != nil {
		en.lease.Release(ctx)
	}
}

package usage

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"bilberryshelf/core"
	"bilberryshelf/logs"
	"bilberryshelf/meter"
	"bilberryshelf/table"
)

const (
	// passInterval is the pause between two passes of a reporter.
	passInterval = 250 * time.Millisecond
	// storeTimeout bounds the calls to the store in one pass.
	storeTimeout = 2 * time.Second
	// A report is repeated after retryDelay. The timeout is shorter than the lease, so that a
	// call has ended before another holder calls.
	sendTimeout = 2 * time.Second
	retryDelay  = 500 * time.Millisecond
	// maxSending bounds the reports that are sent at a time.
	maxSending = 8
	// sweepInterval is the time between two deletions of rows.
	sweepInterval = 15 * time.Second
	// acquireWait is how long after it acquired the lease a holder gets the first permission.
	acquireWait = 3 * time.Second
	// DefaultLimit is how long after the end of a window its report is due.
	DefaultLimit = 10 * time.Second
)

// Permission tells whether this entry may call the platform now, and with which fencing
// token. It is asked right before each call.
type Permission interface {
	Permit(now time.Time) (token uint64, ok bool)
}

// Sender sends a report. A nil error means that the platform accepted it.
type Sender interface {
	ReportUsage(ctx context.Context, token, window uint64, counts map[string]uint64) error
}

// Reporter fixes and sends the reports while it has the permission (rules 4 to 6). Set the
// exported fields before use.
type Reporter struct {
	// Name is that of the entry, for the log.
	Name       string
	Store      table.Client
	Permission Permission
	Sender     Sender
	Clock      core.Clock
	// Now returns the true time since the start of 1970.
	Now    func() time.Duration
	Logger log.Logger
	Meters *meter.Set
	// Length is the length of a window, Settle the time after its end at which it is fixed,
	// Limit the time after its end by which its report is due. Zero means the default.
	Length, Settle, Limit time.Duration
	// Spawn runs the sending of a report; nil means on a goroutine of its own.
	Spawn func(send func())

	// loaded is set while the fields below match the store, as far as is known.
	loaded bool
	// next is the next window to fix, cursor the version of its row; zero if there is none.
	next, cursor uint64
	// began is the window in which the duty began, as far as is known.
	began    uint64
	hasBegun bool
	sweptAt  time.Duration

	mutex   sync.Mutex
	reports map[uint64]*stored
	// sending holds the windows whose reports are being sent.
	sending map[uint64]bool
	// stale is set if the reports must be read again.
	stale bool
}

// stored is a report with its version in the store and what was tried.
type stored struct {
	report  Report
	version uint64
	tries   int
	retryAt time.Time
}

// Run makes passes until the context ends.
func (rp *Reporter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-rp.Clock.After(passInterval):
		}
		if err := rp.Pass(ctx); err != nil && ctx.Err() == nil {
			logs.Warn(rp.Logger, "usage reports not up to date in the store", "next", rp.next, "err", err)
		}
	}
}

// Pass fixes the windows that are due and starts to send the reports that are not accepted
// yet, if it has the permission.
func (rp *Reporter) Pass(ctx context.Context) error {
	if _, permitted := rp.Permission.Permit(rp.Clock.Now()); !permitted {
		rp.loaded = false // another holder may fix windows
		return nil
	}
	if !rp.hasBegun {
		rp.began, rp.hasBegun = WindowAt(rp.Now()-acquireWait, rp.length()), true
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := rp.fix(call)
	if err != nil {
		rp.loaded = false // the outcome of a write may be unknown
	}
	rp.sendAll(ctx)
	if err == nil {
		err = rp.sweep(call)
	}
	return err
}

func (rp *Reporter) length() time.Duration { return orDefault(rp.Length, DefaultLength) }

func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}

// load reads the cursor, then the reports: those that are fixed in between are found when the
// cursor is written.
func (rp *Reporter) load(ctx context.Context) error {
	rp.mutex.Lock()
	rp.stale = false
	rp.mutex.Unlock()
	page, err := table.ListAll(ctx, rp.Store, table.Range{Table: Table, From: cursorKey, To: cursorKey + "\x00"})
	if err != nil {
		return errors.Wrap(err, "read the cursor")
	}
	rp.next, rp.cursor = 0, 0
	for _, ro := range page.Rows {
		if rp.next, err = windowOf(table.Row{ID: table.ID{Key: string(ro.Value)}}); err != nil {
			return errors.Wrap(err, "decode the cursor")
		}
		rp.cursor = ro.Version
	}
	page, err = table.ListAll(ctx, rp.Store, table.Range{Table: Table, From: reportPrefix, To: reportEnd})
	if err != nil {
		return errors.Wrap(err, "read the reports")
	}
	reports := map[uint64]*stored{}
	for _, ro := range page.Rows {
		window, report, err := decodeReport(ro)
		if err != nil {
			logs.Warn(rp.Logger, "cannot decode a usage report", "key", ro.ID.Key, "err", err)
			continue
		}
		reports[window] = &stored{report: report, version: ro.Version}
	}
	rp.mutex.Lock()
	rp.reports = reports
	rp.mutex.Unlock()
	rp.loaded = true
	return nil
}

// fix fixes the sums of the windows that are due.
func (rp *Reporter) fix(ctx context.Context) error {
	rp.mutex.Lock()
	stale := rp.stale
	rp.mutex.Unlock()
	if !rp.loaded || stale {
		if err := rp.load(ctx); err != nil {
			return err
		}
	}
	next := rp.next
	if rp.cursor == 0 {
		next = rp.began
	}
	settle, now := orDefault(rp.Settle, DefaultSettle), rp.Now()
	if len(Due(next, now, settle, rp.length())) == 0 {
		return nil
	}
	sums, err := rp.sums(ctx, WindowAt(now-settle, rp.length()))
	if err != nil {
		return err
	}
	if rp.cursor == 0 {
		next = First(sums, next)
	}
	for _, window := range Due(next, now, settle, rp.length()) {
		if err := rp.fixOne(ctx, window, sums[window]); err != nil {
			return err
		}
	}
	return nil
}

// sums adds up the stored counts of the windows from the cursor on and before the given one.
func (rp *Reporter) sums(ctx context.Context, before uint64) (map[uint64]Sum, error) {
	var rows []table.Row
	for _, part := range Parts() {
		page, err := table.ListAll(ctx, rp.Store, table.Range{Table: Table, Part: part, From: windowKey(rp.next), To: windowKey(before)})
		if err != nil {
			return nil, errors.Wrap(err, "read the counts of the entries")
		}
		rows = append(rows, page.Rows...)
	}
	sums, malformed := AddUp(rows)
	if len(malformed) > 0 {
		logs.Warn(rp.Logger, "cannot decode counts of entries", "keys", malformed)
	}
	return sums, nil
}

// fixOne writes the sum of a window and advances the cursor. The row of the report must not
// exist, and the cursor must be the one that was read: a write that was held up, perhaps until
// the report is deleted again, must not fix a window once more.
func (rp *Reporter) fixOne(ctx context.Context, window uint64, sum Sum) error {
	report := Report{Counts: sum.Counts, Rows: sum.Rows}
	if report.Counts == nil {
		report.Counts = Counts{}
	}
	put, err := report.put(window)
	if err != nil {
		return err
	}
	version, err := rp.Store.Commit(ctx, table.Tx{
		Expect: []table.Expect{{ID: cursorID, Version: rp.cursor}, {ID: put.ID}},
		Puts:   []table.Put{put, {ID: cursorID, Value: []byte(windowKey(window + 1))}},
	})
	if err != nil {
		return errors.Wrapf(err, "fix window %d", window)
	}
	rp.next, rp.cursor = window+1, version
	rp.mutex.Lock()
	defer rp.mutex.Unlock()
	rp.reports[window] = &stored{report: report, version: version}
	return nil
}

// sendAll starts to send the reports that are not accepted yet, in order.
func (rp *Reporter) sendAll(ctx context.Context) {
	spawn := rp.Spawn
	if spawn == nil {
		spawn = func(send func()) { go send() }
	}
	now := rp.Clock.Now()
	rp.mutex.Lock()
	if rp.sending == nil {
		rp.sending = map[uint64]bool{}
	}
	var sends []func()
	for _, window := range slices.Sorted(maps.Keys(rp.reports)) {
		st := rp.reports[window]
		if len(rp.sending) >= maxSending {
			break
		}
		if st.report.SentAt != 0 || rp.sending[window] || now.Before(st.retryAt) {
			continue
		}
		rp.sending[window] = true
		sends = append(sends, func() { rp.send(ctx, window, st) })
	}
	rp.mutex.Unlock()
	for _, send := range sends {
		spawn(send)
	}
}

// send sends a report once, and marks it as sent if it was accepted.
func (rp *Reporter) send(ctx context.Context, window uint64, st *stored) {
	began := rp.Clock.Now()
	call, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	token, permitted := rp.Permission.Permit(rp.Clock.Now())
	var err error
	if permitted {
		err = rp.Sender.ReportUsage(call, token, window, st.report.Counts)
	}
	now := rp.Clock.Now()
	rp.mutex.Lock()
	delete(rp.sending, window)
	st.tries++
	st.retryAt = now.Add(retryDelay)
	sent := permitted && err == nil
	if sent {
		st.report.SentAt = max(rp.Now().Milliseconds(), 1)
	}
	report, version := st.report, st.version
	rp.mutex.Unlock()
	if !sent {
		if permitted {
			rp.Meters.Count("usage-reports", "failed", 1)
			logs.Warn(rp.Logger, "usage report not accepted", "window", window, "token", token, "tries", st.tries, "took", now.Sub(began), "err", err)
		}
		return
	}
	rp.recordSent(window, token, report, now.Sub(began))
	if err := rp.mark(ctx, window, version, report); err != nil {
		rp.mutex.Lock()
		rp.stale = true // it may be sent again, which is harmless
		rp.mutex.Unlock()
		logs.Info(rp.Logger, "usage report not marked as sent", "window", window, "err", err)
	}
}

func (rp *Reporter) recordSent(window, token uint64, report Report, took time.Duration) {
	lag := rp.Now() - EndOf(window, rp.length())
	outcome := "sent"
	if lag > orDefault(rp.Limit, DefaultLimit) {
		outcome = "late"
	}
	rp.Meters.Count("usage-reports", outcome, 1)
	rp.Meters.Gauge("usage-lag", "", lag.Milliseconds())
	logs.Info(rp.Logger, "usage reported", "window", window, "holder", rp.Name, "token", token, "total", report.Counts.Total(),
		"rows", report.Rows, "lag", lag, "took", took)
}

// mark stores that a report was accepted.
func (rp *Reporter) mark(ctx context.Context, window, version uint64, report Report) error {
	put, err := report.put(window)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = rp.Store.Commit(call, table.Tx{Expect: []table.Expect{{ID: put.ID, Version: version}}, Puts: []table.Put{put}})
	return err
}

// sweep deletes the rows of windows that were reported more than Retention ago.
func (rp *Reporter) sweep(ctx context.Context) error {
	now := rp.Now()
	if now-rp.sweptAt < sweepInterval {
		return nil
	}
	rp.sweptAt = now
	expired, kept := rp.expired(now)
	if len(expired) == 0 {
		return nil
	}
	for _, part := range Parts() {
		if err := rp.dropCounts(ctx, part, kept); err != nil {
			return err
		}
	}
	var drops []table.ID
	for _, window := range expired {
		drops = append(drops, ReportID(window))
	}
	if err := rp.drop(ctx, drops); err != nil {
		return err
	}
	rp.mutex.Lock()
	defer rp.mutex.Unlock()
	for _, window := range expired {
		delete(rp.reports, window)
	}
	return nil
}

// expired returns the oldest windows that were reported more than Retention ago, and the first
// window whose rows are kept.
func (rp *Reporter) expired(now time.Duration) (expired []uint64, kept uint64) {
	rp.mutex.Lock()
	defer rp.mutex.Unlock()
	kept = rp.next
	for _, window := range slices.Sorted(maps.Keys(rp.reports)) {
		at := time.Duration(rp.reports[window].report.SentAt) * time.Millisecond
		if at != 0 && now-at > Retention {
			expired = append(expired, window)
		} else {
			kept = min(kept, window)
		}
	}
	return expired[:min(len(expired), table.MaxTxRows)], kept
}

// dropCounts deletes rows of a part with counts of windows before the given one.
func (rp *Reporter) dropCounts(ctx context.Context, part string, before uint64) error {
	page, err := rp.Store.List(ctx, table.Range{Table: Table, Part: part, To: windowKey(before), Limit: table.MaxTxRows})
	if err != nil {
		return errors.Wrap(err, "list old counts")
	}
	var drops []table.ID
	for _, ro := range page.Rows {
		drops = append(drops, ro.ID)
	}
	return rp.drop(ctx, drops)
}

func (rp *Reporter) drop(ctx context.Context, ids []table.ID) error {
	if len(ids) == 0 {
		return nil
	}
	_, err := rp.Store.Commit(ctx, table.Tx{Drops: ids})
	return errors.Wrap(err, "delete old rows")
}

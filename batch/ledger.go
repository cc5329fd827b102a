package batch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/table"
)

// Ledger reads and writes jobs in the platform's tables.
type Ledger struct {
	Store table.Client
	// CallTimeout limits one call; zero means DefaultCallTimeout.
	CallTimeout time.Duration
}

// DefaultCallTimeout limits one call to the store. A call takes 4 to 10 ms, and up
// to 30 ms more between regions. The rest is a margin for a slow store.
const DefaultCallTimeout = 1500 * time.Millisecond

// VersionedHead is a head with the version of its row. Version zero means that the
// job does not exist.
type VersionedHead struct {
	Head    Head
	Version uint64
}

// Errors of writes that callers distinguish.
var (
	// ErrSuperseded means that the head has changed: the job has another owner, or
	// it was ended.
	ErrSuperseded = errors.New("the job has another owner or has ended")
	// ErrSealed means that the job was sealed: it takes no change but its end.
	ErrSealed = errors.New("the job is sealed and must be ended")
	// ErrOutcomeUnknown means that it is not known whether a write took effect.
	ErrOutcomeUnknown = errors.New("it is not known whether the write took effect")
)

func (le Ledger) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := le.CallTimeout
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	return context.WithTimeout(ctx, timeout)
}

// pageReader reads each page of a range within CallTimeout. A range may have any number of
// pages: a body has up to 40.
type pageReader struct{ ledger Ledger }

func (pr pageReader) List(ctx context.Context, ra table.Range) (table.Page, error) {
	call, cancel := pr.ledger.withTimeout(ctx)
	defer cancel()
	return pr.ledger.Store.List(call, ra)
}

// list reads the first page of a range.
func (le Ledger) list(ctx context.Context, ra table.Range) (table.Page, error) {
	return pageReader{le}.List(ctx, ra)
}

// Find reads the head of a job.
func (le Ledger) Find(ctx context.Context, job string) (VersionedHead, error) {
	page, err := le.list(ctx, headRange(job))
	if err != nil || len(page.Rows) == 0 {
		return VersionedHead{}, err
	}
	he, err := DecodeHead(page.Rows[0].Value)
	return VersionedHead{Head: he, Version: page.Rows[0].Version}, err
}

func headRange(job string) table.Range {
	return table.Range{Table: HeadTable, Part: Part(job), From: job, To: job + "\x00"}
}

// Body reads the body of a job.
func (le Ledger) Body(ctx context.Context, job string) (*Job, error) {
	page, err := table.ListAll(ctx, pageReader{le}, jobRange(BodyTable, job, ""))
	if err != nil {
		return nil, err
	}
	return DecodeBodyRows(page.Rows)
}

// Results reads the results from a position on, at most those that fit one response
// of the store.
func (le Ledger) Results(ctx context.Context, job string, from int) ([]Result, error) {
	page, err := le.list(ctx, ResultRange(job, from))
	if err != nil {
		return nil, err
	}
	return DecodeResults(job, page.Rows, from)
}

// Accept stores a new job. It returns ErrSuperseded if the job was accepted before,
// and ErrOutcomeUnknown if the outcome is not known.
func (le Ledger) Accept(ctx context.Context, jo *Job, he Head) (VersionedHead, error) {
	groups := SplitPuts(BodyPuts(jo))
	for at, puts := range groups {
		if at == len(groups)-1 {
			break
		}
		// A job that exists may be another workspace's: its body must not be overwritten.
		absent := []table.Expect{{ID: HeadID(jo.ID)}}
		err := le.write(ctx, table.Tx{Expect: absent, Puts: puts})
		if errors.Is(err, table.ErrConflict) {
			return le.superseded(ctx, jo.ID)
		}
		if err != nil {
			return VersionedHead{}, err // the job doesn't exist before its head is written
		}
	}
	he.WriteID = rand.Uint64()
	return le.updateHead(ctx, jo.ID, VersionedHead{}, he, unlessSealed(jo.ID), groups[len(groups)-1])
}

// superseded returns ErrSuperseded with the head of a job that was accepted before.
func (le Ledger) superseded(ctx context.Context, job string) (VersionedHead, error) {
	vh, err := le.Find(ctx, job)
	if err != nil {
		return vh, errors.Mark(errors.Wrap(err, "read the head of a job"), table.ErrRefused)
	}
	return vh, errors.Mark(errors.Newf("job %s exists at version %d", job, vh.Version), ErrSuperseded)
}

// Adopt makes an entry the owner of a job. It fails if the head is no longer the
// given one, and with ErrSealed if the job is sealed.
func (le Ledger) Adopt(ctx context.Context, job string, vh VersionedHead, owner string) (VersionedHead, error) {
	he := vh.Head.WithOwner(owner)
	he.WriteID = rand.Uint64()
	return le.updateHead(ctx, job, vh, he, unlessSealed(job), nil)
}

// End ends a job. To end it again has no effect. It fails if the head is no longer the given
// one.
func (le Ledger) End(ctx context.Context, job string, vh VersionedHead) (VersionedHead, error) {
	he := vh.Head.WithEnded()
	he.WriteID = rand.Uint64()
	return le.updateHead(ctx, job, vh, he, nil, nil)
}

// Seal makes all later changes of a job fail but its end (rule 5). It needs no version of the
// head, so that a busy owner cannot delay it.
func (le Ledger) Seal(ctx context.Context, job string) error {
	return le.write(ctx, table.Tx{Puts: []table.Put{{ID: sealID(job), Value: sealValue}}})
}

// unlessSealed is the expectation that a job is not sealed.
func unlessSealed(job string) []table.Expect { return []table.Expect{{ID: sealID(job)}} }

// Append is a write that appends results to a job. It is retried with the same rows
// until it is known to have succeeded or failed.
type Append struct {
	Job  string
	Base VersionedHead
	Head Head
	Puts []table.Put
}

// NewAppend prepares a write of the first results, as many as fit one transaction,
// and returns their number.
func NewAppend(job string, vh VersionedHead, results []Result) (Append, int) {
	ap := Append{Job: job, Base: vh}
	size, count := 0, 0
	for _, re := range results {
		puts := ResultPuts(job, vh.Head.Listed+count, re)
		for _, pu := range puts {
			size += len(pu.Value)
		}
		if count > 0 && (size > maxTxBytes || len(ap.Puts)+len(puts) > maxTxRows) {
			break
		}
		ap.Puts, count = append(ap.Puts, puts...), count+1
	}
	ap.Head = vh.Head.WithListed(count, rand.Uint64())
	return ap, count
}

// Commit attempts an append once. See Accept for the errors.
func (le Ledger) Commit(ctx context.Context, ap Append) (VersionedHead, error) {
	return le.updateHead(ctx, ap.Job, ap.Base, ap.Head, unlessSealed(ap.Job), ap.Puts)
}

// updateHead replaces a head and writes rows in the same transaction, if the expectations
// hold. On an error, it reads the head to determine the outcome (rule 3).
func (le Ledger) updateHead(ctx context.Context, job string, from VersionedHead, to Head, expect []table.Expect, puts []table.Put) (VersionedHead, error) {
	tx := table.Tx{
		Expect: append([]table.Expect{{ID: HeadID(job), Version: from.Version}}, expect...),
		Puts:   append([]table.Put{{ID: HeadID(job), Value: EncodeHead(to)}}, puts...),
	}
	version, err := le.commit(ctx, tx)
	switch {
	case err == nil:
		return VersionedHead{Head: to, Version: version}, nil
	case errors.Is(err, table.ErrRefused):
		return VersionedHead{}, err
	}
	conflict := errors.Is(err, table.ErrConflict)
	vh, readErr := le.Find(ctx, job)
	switch {
	case readErr == nil && vh.Version > 0 && vh.Head.WriteID == to.WriteID:
		return vh, nil
	case readErr != nil || (!conflict && vh.Version == from.Version):
		// A write without a response may still take effect later.
		return vh, errors.Mark(errors.Wrap(err, "write the head of a job"), ErrOutcomeUnknown)
	case vh.Version == from.Version: // the other expectation did not hold
		return vh, errors.Mark(errors.Newf("job %s is sealed", job), ErrSealed)
	default:
		return vh, errors.Mark(errors.Newf("head of job %s is at version %d, not %d", job, vh.Version, from.Version), ErrSuperseded)
	}
}

func (le Ledger) commit(ctx context.Context, tx table.Tx) (uint64, error) {
	call, cancel := le.withTimeout(ctx)
	defer cancel()
	return le.Store.Commit(call, tx)
}

// write commits a transaction and ignores the new version.
func (le Ledger) write(ctx context.Context, tx table.Tx) error {
	_, err := le.commit(ctx, tx)
	return err
}

// Delete deletes all rows of a job, the head last: while a deletion is incomplete,
// the job is still known and its deletion is repeated.
func (le Ledger) Delete(ctx context.Context, job string, vh VersionedHead) error {
	for _, name := range []string{BodyTable, ResultTable} {
		if err := le.deleteRange(ctx, jobRange(name, job, "")); err != nil {
			return errors.Wrapf(err, "delete job %s", job)
		}
	}
	if err := le.deleteRange(ctx, table.Range{Table: PartialTable, Part: job}); err != nil {
		return errors.Wrapf(err, "delete job %s", job)
	}
	if err := le.deleteRange(ctx, table.Range{Table: SealTable, Part: Part(job), From: job, To: job + "\x00"}); err != nil {
		return errors.Wrapf(err, "delete job %s", job)
	}
	return le.write(ctx, table.Tx{
		Expect: []table.Expect{{ID: HeadID(job), Version: vh.Version}}, Drops: []table.ID{HeadID(job)},
	})
}

// deleteRange deletes the rows of a range, one page at a time.
func (le Ledger) deleteRange(ctx context.Context, ra table.Range) error {
	for {
		page, err := le.list(ctx, ra)
		if err != nil || len(page.Rows) == 0 {
			return err
		}
		ids := make([]table.ID, len(page.Rows))
		for at, ro := range page.Rows {
			ids[at] = ro.ID
		}
		if err := le.DeleteRows(ctx, ids); err != nil {
			return err
		}
	}
}

// SavePartials saves partial texts for another owner (part is the job's id) or for
// a later job (part is the route, with the workspace if the job has one), and deletes the rows that held them before. It
// returns the rows of each text by item id.
func (le Ledger) SavePartials(ctx context.Context, part string, partials []Partial) (map[string][]table.ID, error) {
	rowIDs := map[string][]table.ID{}
	var (
		puts  []table.Put
		drops []table.ID
	)
	for _, pa := range partials {
		rewritten := PartialPuts(part, pa)
		for _, pu := range rewritten {
			rowIDs[pa.ID] = append(rowIDs[pa.ID], pu.ID)
		}
		for _, id := range pa.Rows {
			if !slices.Contains(rowIDs[pa.ID], id) {
				drops = append(drops, id)
			}
		}
		puts = append(puts, rewritten...)
	}
	if len(puts) == 0 {
		return rowIDs, nil
	}
	for _, group := range SplitPuts(puts) {
		if err := le.write(ctx, table.Tx{Puts: group}); err != nil {
			return rowIDs, errors.Wrap(err, "save partial texts")
		}
	}
	return rowIDs, le.DeleteRows(ctx, drops)
}

// DeleteRows deletes rows unconditionally.
func (le Ledger) DeleteRows(ctx context.Context, ids []table.ID) error {
	for from := 0; from < len(ids); from += maxTxRows {
		if err := le.write(ctx, table.Tx{Drops: ids[from:min(from+maxTxRows, len(ids))]}); err != nil {
			return errors.Wrap(err, "delete rows")
		}
	}
	return nil
}

// staleAfterSteps is the number of steps after which a text that no job requested
// is deleted. An incomplete item is submitted again within the next steps or never.
const staleAfterSteps = 3

// Partials reads the partial texts in a part (a route or a job's id), by item id. It
// returns those for which wanted returns true, and deletes the others if they are older
// than staleAfterSteps.
func (le Ledger) Partials(ctx context.Context, part string, step int, wanted func(item string) bool) (map[string]Partial, error) {
	page, err := table.ListAll(ctx, pageReader{le}, table.Range{Table: PartialTable, Part: part})
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	partials, err := DecodePartials(page.Rows)
	if err != nil {
		return nil, err
	}
	var stale []table.ID
	for id, pa := range partials {
		if wanted(id) {
			continue
		}
		delete(partials, id)
		if pa.Step+staleAfterSteps < step {
			stale = append(stale, pa.Rows...)
		}
	}
	return partials, le.DeleteRows(ctx, stale)
}

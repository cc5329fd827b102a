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
	// CallTimeout bounds one call; zero means DefaultCall.
	CallTimeout time.Duration
}

// DefaultCallTimeout bounds one call to the store. A call takes 4 to 10 ms and up to
// 30 ms more between regions; the rest allows for a slow store.
const DefaultCallTimeout = 1500 * time.Millisecond

// VersionedHead is a head with the version of its row. Version zero means that there is
// no such job.
type VersionedHead struct {
	Head    Head
	Version uint64
}

// The outcomes of writes that callers decide on.
var (
	// ErrSuperseded means that another owner has the job, or that it has ended.
	ErrSuperseded = errors.New("the job has another owner or has ended")
	// ErrOutcomeUnknown means that it is not known whether a write took effect.
	ErrOutcomeUnknown = errors.New("it is not known whether the write took effect")
)

func (le Ledger) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	span := le.CallTimeout
	if span <= 0 {
		span = DefaultCallTimeout
	}
	return context.WithTimeout(ctx, span)
}

// Find reads a job's head.
func (le Ledger) Find(ctx context.Context, job string) (VersionedHead, error) {
	call, cancel := le.withTimeout(ctx)
	defer cancel()
	page, err := le.Store.List(call, headRange(job))
	if err != nil || len(page.Rows) == 0 {
		return VersionedHead{}, err
	}
	he, err := DecodeHead(page.Rows[0].Value)
	return VersionedHead{Head: he, Version: page.Rows[0].Version}, err
}

func headRange(job string) table.Range {
	return table.Range{Table: HeadTable, Part: Part(job), From: job, To: job + "\x00"}
}

// Body reads a job's body.
func (le Ledger) Body(ctx context.Context, job string) (*Job, error) {
	call, cancel := le.withTimeout(ctx)
	defer cancel()
	page, err := table.ListAll(call, le.Store, jobRange(BodyTable, job, ""))
	if err != nil {
		return nil, err
	}
	return DecodeBodyRows(page.Rows)
}

// Results reads the results from a position on, as many as one answer of the
// store holds.
func (le Ledger) Results(ctx context.Context, job string, from int) ([]Result, error) {
	call, cancel := le.withTimeout(ctx)
	defer cancel()
	page, err := le.Store.List(call, ResultRange(job, from))
	if err != nil {
		return nil, err
	}
	return DecodeResults(job, page.Rows, from)
}

// Accept keeps a whole job. Of two submissions of one job the later finds it
// accepted. It returns ErrUnsettled when the outcome is not known.
func (le Ledger) Accept(ctx context.Context, jo *Job, he Head) (VersionedHead, error) {
	groups := SplitPuts(BodyPuts(jo))
	for at, puts := range groups {
		if at == len(groups)-1 {
			break
		}
		if err := le.write(ctx, table.Tx{Puts: puts}); err != nil {
			return VersionedHead{}, err // without a head there is no job
		}
	}
	he.WriteID = rand.Uint64()
	return le.updateHead(ctx, jo.ID, VersionedHead{}, he, groups[len(groups)-1])
}

// Adopt makes an entry the owner of a job as it is known.
func (le Ledger) Adopt(ctx context.Context, job string, kn VersionedHead, owner string) (VersionedHead, error) {
	he := kn.Head.WithOwner(owner)
	he.WriteID = rand.Uint64()
	return le.updateHead(ctx, job, kn, he, nil)
}

// End ends a job. Ending it again changes nothing.
func (le Ledger) End(ctx context.Context, job string, kn VersionedHead) (VersionedHead, error) {
	he := kn.Head.WithEnded()
	he.WriteID = rand.Uint64()
	return le.updateHead(ctx, job, kn, he, nil)
}

// Append is a list of results on its way into the store. It is tried with the
// same rows until it is known to be listed or never to be.
type Append struct {
	Job  string
	Base VersionedHead
	Head Head
	Puts []table.Put
}

// NewAppend prepares the append of results to a job as it is known. It takes as
// many results as fit one transaction, and returns how many.
func NewAppend(job string, kn VersionedHead, results []Result) (Append, int) {
	ap := Append{Job: job, Base: kn}
	size, count := 0, 0
	for _, re := range results {
		puts := ResultPuts(job, kn.Head.Listed+count, re)
		for _, pu := range puts {
			size += len(pu.Value)
		}
		if count > 0 && (size > maxTxBytes || len(ap.Puts)+len(puts) > maxTxRows) {
			break
		}
		ap.Puts, count = append(ap.Puts, puts...), count+1
	}
	ap.Head = kn.Head.WithListed(count, rand.Uint64())
	return ap, count
}

// Commit writes an append once.
func (le Ledger) Commit(ctx context.Context, ap Append) (VersionedHead, error) {
	return le.updateHead(ctx, ap.Job, ap.Base, ap.Head, ap.Puts)
}

// updateHead replaces a head and writes rows with it. A lost answer is settled by
// reading the head (rule 3).
func (le Ledger) updateHead(ctx context.Context, job string, from VersionedHead, to Head, puts []table.Put) (VersionedHead, error) {
	tx := table.Tx{
		Expect: []table.Expect{{ID: HeadID(job), Version: from.Version}},
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
	kn, readErr := le.Find(ctx, job)
	switch {
	case readErr == nil && kn.Version > 0 && kn.Head.WriteID == to.WriteID:
		return kn, nil
	case readErr != nil || (!conflict && kn.Version == from.Version):
		// An unanswered write may still take effect later.
		return kn, errors.Mark(errors.Wrap(err, "write the head of a job"), ErrOutcomeUnknown)
	default:
		return kn, errors.Mark(errors.Newf("head of job %s is at version %d, not %d", job, kn.Version, from.Version), ErrSuperseded)
	}
}

func (le Ledger) commit(ctx context.Context, tx table.Tx) (uint64, error) {
	call, cancel := le.withTimeout(ctx)
	defer cancel()
	return le.Store.Commit(call, tx)
}

// write writes rows without a condition, in transactions of a bounded size.
func (le Ledger) write(ctx context.Context, tx table.Tx) error {
	_, err := le.commit(ctx, tx)
	return err
}

// Delete drops all rows of a job as it is known, the head last: a job that is half
// dropped is still known and is dropped again.
func (le Ledger) Delete(ctx context.Context, job string, kn VersionedHead) error {
	for _, name := range []string{BodyTable, ResultTable} {
		if err := le.deleteRange(ctx, jobRange(name, job, "")); err != nil {
			return errors.Wrapf(err, "forget job %s", job)
		}
	}
	if err := le.deleteRange(ctx, table.Range{Table: PartialTable, Part: job}); err != nil {
		return errors.Wrapf(err, "forget job %s", job)
	}
	return le.write(ctx, table.Tx{
		Expect: []table.Expect{{ID: HeadID(job), Version: kn.Version}}, Drops: []table.ID{HeadID(job)},
	})
}

// deleteRange drops the rows of a range, a page at a time.
func (le Ledger) deleteRange(ctx context.Context, ra table.Range) error {
	for {
		call, cancel := le.withTimeout(ctx)
		page, err := le.Store.List(call, ra)
		cancel()
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

// SavePartials keeps partial texts for another owner or a later job of the same
// route, and drops the rows that they lay in before. It returns where each lies.
func (le Ledger) SavePartials(ctx context.Context, route string, partials []Partial) (map[string][]table.ID, error) {
	lies := map[string][]table.ID{}
	var (
		puts  []table.Put
		drops []table.ID
	)
	for _, pa := range partials {
		fresh := PartialPuts(route, pa)
		for _, pu := range fresh {
			lies[pa.ID] = append(lies[pa.ID], pu.ID)
		}
		for _, id := range pa.Rows {
			if !slices.Contains(lies[pa.ID], id) {
				drops = append(drops, id)
			}
		}
		puts = append(puts, fresh...)
	}
	if len(puts) == 0 {
		return lies, nil
	}
	for _, group := range SplitPuts(puts) {
		if err := le.write(ctx, table.Tx{Puts: group}); err != nil {
			return lies, errors.Wrap(err, "save partial texts")
		}
	}
	return lies, le.DeleteRows(ctx, drops)
}

// DeleteRows drops rows that are no longer of use.
func (le Ledger) DeleteRows(ctx context.Context, ids []table.ID) error {
	for from := 0; from < len(ids); from += maxTxRows {
		if err := le.write(ctx, table.Tx{Drops: ids[from:min(from+maxTxRows, len(ids))]}); err != nil {
			return errors.Wrap(err, "drop rows")
		}
	}
	return nil
}

// staleAfterSteps is after how many steps a text that no job asked for is dropped.
// Items that were not complete come again in the next steps, if at all.
const staleAfterSteps = 3

// Partials reads the partial texts of a route that a job of a step wants. Texts
// of steps long ago that it does not want are dropped.
func (le Ledger) Partials(ctx context.Context, route string, step int, wants func(item string) bool) (map[string]Partial, error) {
	call, cancel := le.withTimeout(ctx)
	defer cancel()
	page, err := table.ListAll(call, le.Store, table.Range{Table: PartialTable, Part: route})
	if err != nil || len(page.Rows) == 0 {
		return nil, err
	}
	partials, err := DecodePartials(page.Rows)
	if err != nil {
		return nil, err
	}
	var stale []table.ID
	for id, pa := range partials {
		if wants(id) {
			continue
		}
		delete(partials, id)
		if pa.Step+staleAfterSteps < step {
			stale = append(stale, pa.Rows...)
		}
	}
	return partials, le.DeleteRows(call, stale)
}

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
	// Call bounds one call; zero means DefaultCall.
	Call time.Duration
}

// DefaultCall bounds one call to the store. A call takes 4 to 10 ms and up to
// 30 ms more between regions; the rest allows for a slow store.
const DefaultCall = 1500 * time.Millisecond

// Known is a head with the version of its row. Version zero means that there is
// no such job.
type Known struct {
	Head    Head
	Version uint64
}

// The outcomes of writes that callers decide on.
var (
	// ErrLost means that another owner has the job, or that it has ended.
	ErrLost = errors.New("the job has another owner or has ended")
	// ErrUnsettled means that it is not known whether a write took effect.
	ErrUnsettled = errors.New("it is not known whether the write took effect")
)

func (le Ledger) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	span := le.Call
	if span <= 0 {
		span = DefaultCall
	}
	return context.WithTimeout(ctx, span)
}

// Find reads a job's head.
func (le Ledger) Find(ctx context.Context, job string) (Known, error) {
	call, cancel := le.bound(ctx)
	defer cancel()
	page, err := le.Store.List(call, headRange(job))
	if err != nil || len(page.Rows) == 0 {
		return Known{}, err
	}
	he, err := DecodeHead(page.Rows[0].Value)
	return Known{Head: he, Version: page.Rows[0].Version}, err
}

func headRange(job string) table.Range {
	return table.Range{Table: HeadTable, Part: Part(job), From: job, To: job + "\x00"}
}

// Body reads a job's body.
func (le Ledger) Body(ctx context.Context, job string) (*Job, error) {
	call, cancel := le.bound(ctx)
	defer cancel()
	page, err := table.ListAll(call, le.Store, below(BodyTable, job, ""))
	if err != nil {
		return nil, err
	}
	return DecodeBody(page.Rows)
}

// Results reads the results from a position on, as many as one answer of the
// store holds.
func (le Ledger) Results(ctx context.Context, job string, from int) ([]Result, error) {
	call, cancel := le.bound(ctx)
	defer cancel()
	page, err := le.Store.List(call, ResultRange(job, from))
	if err != nil {
		return nil, err
	}
	return DecodeResults(job, page.Rows, from)
}

// Accept keeps a whole job. Of two submissions of one job the later finds it
// accepted. It returns ErrUnsettled when the outcome is not known.
func (le Ledger) Accept(ctx context.Context, jo *Job, he Head) (Known, error) {
	groups := Groups(BodyPuts(jo))
	for at, puts := range groups {
		if at == len(groups)-1 {
			break
		}
		if err := le.write(ctx, table.Tx{Puts: puts}); err != nil {
			return Known{}, err // without a head there is no job
		}
	}
	he.Write = rand.Uint64()
	return le.change(ctx, jo.ID, Known{}, he, groups[len(groups)-1])
}

// Adopt makes an entry the owner of a job as it is known.
func (le Ledger) Adopt(ctx context.Context, job string, kn Known, owner string) (Known, error) {
	he := kn.Head.WithOwner(owner)
	he.Write = rand.Uint64()
	return le.change(ctx, job, kn, he, nil)
}

// End ends a job. Ending it again changes nothing.
func (le Ledger) End(ctx context.Context, job string, kn Known) (Known, error) {
	he := kn.Head.WithEnd()
	he.Write = rand.Uint64()
	return le.change(ctx, job, kn, he, nil)
}

// Append is a list of results on its way into the store. It is tried with the
// same rows until it is known to be listed or never to be.
type Append struct {
	Job  string
	From Known
	Head Head
	Puts []table.Put
}

// NewAppend prepares the append of results to a job as it is known. It takes as
// many results as fit one transaction, and returns how many.
func NewAppend(job string, kn Known, results []Result) (Append, int) {
	ap := Append{Job: job, From: kn}
	size, count := 0, 0
	for _, re := range results {
		puts := ResultPuts(job, kn.Head.Listed+count, re)
		for _, pu := range puts {
			size += len(pu.Value)
		}
		if count > 0 && (size > txBytes || len(ap.Puts)+len(puts) > txRows) {
			break
		}
		ap.Puts, count = append(ap.Puts, puts...), count+1
	}
	ap.Head = kn.Head.WithListed(count, rand.Uint64())
	return ap, count
}

// Commit writes an append once.
func (le Ledger) Commit(ctx context.Context, ap Append) (Known, error) {
	return le.change(ctx, ap.Job, ap.From, ap.Head, ap.Puts)
}

// change replaces a head and writes rows with it. A lost answer is settled by
// reading the head (rule 3).
func (le Ledger) change(ctx context.Context, job string, from Known, to Head, puts []table.Put) (Known, error) {
	tx := table.Tx{
		Expect: []table.Expect{{ID: HeadID(job), Version: from.Version}},
		Puts:   append([]table.Put{{ID: HeadID(job), Value: EncodeHead(to)}}, puts...),
	}
	version, err := le.commit(ctx, tx)
	switch {
	case err == nil:
		return Known{Head: to, Version: version}, nil
	case errors.Is(err, table.ErrRefused):
		return Known{}, err
	}
	conflict := errors.Is(err, table.ErrConflict)
	kn, readErr := le.Find(ctx, job)
	switch {
	case readErr == nil && kn.Version > 0 && kn.Head.Write == to.Write:
		return kn, nil
	case readErr != nil || (!conflict && kn.Version == from.Version):
		// An unanswered write may still take effect later.
		return kn, errors.Mark(errors.Wrap(err, "write the head of a job"), ErrUnsettled)
	default:
		return kn, errors.Mark(errors.Newf("head of job %s is at version %d, not %d", job, kn.Version, from.Version), ErrLost)
	}
}

func (le Ledger) commit(ctx context.Context, tx table.Tx) (uint64, error) {
	call, cancel := le.bound(ctx)
	defer cancel()
	return le.Store.Commit(call, tx)
}

// write writes rows without a condition, in transactions of a bounded size.
func (le Ledger) write(ctx context.Context, tx table.Tx) error {
	_, err := le.commit(ctx, tx)
	return err
}

// Forget drops all rows of a job as it is known, the head last: a job that is half
// dropped is still known and is dropped again.
func (le Ledger) Forget(ctx context.Context, job string, kn Known) error {
	for _, name := range []string{BodyTable, ResultTable} {
		if err := le.forget(ctx, below(name, job, "")); err != nil {
			return errors.Wrapf(err, "forget job %s", job)
		}
	}
	if err := le.forget(ctx, table.Range{Table: PartialTable, Part: job}); err != nil {
		return errors.Wrapf(err, "forget job %s", job)
	}
	return le.write(ctx, table.Tx{
		Expect: []table.Expect{{ID: HeadID(job), Version: kn.Version}}, Drops: []table.ID{HeadID(job)},
	})
}

// forget drops the rows of a range, a page at a time.
func (le Ledger) forget(ctx context.Context, ra table.Range) error {
	for {
		call, cancel := le.bound(ctx)
		page, err := le.Store.List(call, ra)
		cancel()
		if err != nil || len(page.Rows) == 0 {
			return err
		}
		ids := make([]table.ID, len(page.Rows))
		for at, ro := range page.Rows {
			ids[at] = ro.ID
		}
		if err := le.DropRows(ctx, ids); err != nil {
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
	for _, group := range Groups(puts) {
		if err := le.write(ctx, table.Tx{Puts: group}); err != nil {
			return lies, errors.Wrap(err, "save partial texts")
		}
	}
	return lies, le.DropRows(ctx, drops)
}

// DropRows drops rows that are no longer of use.
func (le Ledger) DropRows(ctx context.Context, ids []table.ID) error {
	for from := 0; from < len(ids); from += txRows {
		if err := le.write(ctx, table.Tx{Drops: ids[from:min(from+txRows, len(ids))]}); err != nil {
			return errors.Wrap(err, "drop rows")
		}
	}
	return nil
}

// staleSteps is after how many steps a text that no job asked for is dropped.
// Items that were not complete come again in the next steps, if at all.
const staleSteps = 3

// Partials reads the partial texts of a route that a job of a step wants. Texts
// of steps long ago that it does not want are dropped.
func (le Ledger) Partials(ctx context.Context, route string, step int, wants func(item string) bool) (map[string]Partial, error) {
	call, cancel := le.bound(ctx)
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
		if pa.Step+staleSteps < step {
			stale = append(stale, pa.Rows...)
		}
	}
	return partials, le.DropRows(call, stale)
}

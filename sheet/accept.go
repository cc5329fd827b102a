package sheet

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/store"
)

// Table is the part of the table service that acceptance needs.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Transact(ctx context.Context, puts []store.Put) error
}

// Objects is the part of the object store that acceptance needs.
type Objects interface {
	Write(ctx context.Context, key string, body []byte) error
	Read(ctx context.Context, key string) ([]byte, error)
}

// The rows and attributes of the table service that hold the configuration.
const (
	headKey         = "head"
	operationPrefix = "operation/"
	objectPrefix    = "book/"

	attrGeneration = "generation"
	attrOperation  = "operation"
	attrObject     = "object"
	attrState      = "state"
	attrOperator   = "operator"

	stateAccepted  = "accepted"
	stateWithdrawn = "withdrawn"
)

// UpdateFunc makes the next book out of the present one. It may be called again
// with a newer book when somebody else was faster.
type UpdateFunc func(bo loan.Book) (loan.Book, *core.Error)

// Acceptor writes the configuration through the platform. Accepted means that
// one transaction raised the generation by one and wrote the operation's own
// row, and that this is known.
//
//  1. The operation's row is written in the same transaction as the head, on
//     the condition that it is not there yet. So one operation is accepted at
//     most once, however often its transaction is sent.
//  2. The head is written on the condition that it still has the generation
//     that the new book was made from. So no accepted change is lost.
//  3. When an answer is lost, the operation's row is read: accepted if it is
//     there. If it is not and the head has not moved, the same conditional
//     transaction is sent again.
//  4. While this cannot be found out, the verdict is may-have-run.
//  5. Settle writes the operation's row as withdrawn, on the condition that it
//     is not there. After that, the transaction of rule 1 can never commit.
type Acceptor struct {
	Table   Table
	Objects Objects
	Clock   core.Clock
	// Attempts bounds how often an acceptance is attempted.
	Attempts int
	// RetryDelay is the wait after a failed try.
	RetryDelay time.Duration
}

// Outcome is the outcome of an operation.
type Outcome struct {
	Operation  string `json:"operation"`
	State      string `json:"state"`
	Generation uint64 `json:"generation,omitempty"`
	Operator   string `json:"operator,omitempty"`
}

// Head reads the generation in force; zero before the first sheet.
func (ac *Acceptor) Head(ctx context.Context) (generation uint64, object string, err error) {
	row, err := ac.Table.Get(ctx, headKey)
	if errors.Is(err, store.ErrNoRow) {
		return 0, "", nil
	}
	if err != nil {
		return 0, "", err
	}
	generation, err = strconv.ParseUint(row[attrGeneration], 10, 64)
	return generation, row[attrObject], errors.Wrap(err, "read the head row")
}

// Load reads the book in force.
func (ac *Acceptor) Load(ctx context.Context) (loan.Book, error) {
	_, object, err := ac.Head(ctx)
	if err != nil || object == "" {
		return loan.Book{}, err
	}
	raw, err := ac.Objects.Read(ctx, object)
	if err != nil {
		return loan.Book{}, err
	}
	return loan.DecodeBook(raw)
}

// Accept gets a change accepted under an operation id and returns the new
// book. Its errors carry a verdict; may-have-run comes with the operation id
// to settle by.
func (ac *Acceptor) Accept(ctx context.Context, operation, operator string, amend UpdateFunc) (loan.Book, *core.Error) {
	doubt := false
	for range max(ac.Attempts, 1) {
		bo, outcome, er := ac.attempt(ctx, operation, operator, amend)
		switch {
		case er != nil:
			return loan.Book{}, er
		case outcome == attemptAccepted:
			return bo, nil
		case outcome == attemptWithdrawn:
			return loan.Book{}, core.Refuse(core.CodeConflict, "operation %s was withdrawn", operation)
		case outcome == attemptAnswerLost:
			doubt = true // rule 3: the next try reads the operation's row first
		}
		select {
		case <-ctx.Done():
		case <-ac.Clock.After(ac.RetryDelay):
		}
		if ctx.Err() != nil {
			break
		}
	}
	if doubt { // rule 4
		return loan.Book{}, core.InDoubt(core.CodeUnsettled, "the platform did not say whether it took operation %s; settle it", operation)
	}
	return loan.Book{}, core.Refuse(core.CodePlatformDown, "the platform does not answer; nothing was written").WithRetryAfter(ac.RetryDelay * 2)
}

type attemptResult string

const (
	attemptAccepted        attemptResult = "accepted"
	attemptWithdrawn       attemptResult = "withdrawn"
	attemptConditionFailed attemptResult = "overtaken"
	attemptAnswerLost      attemptResult = "lost"
	attemptPlatformDown    attemptResult = "down"
)

func (ac *Acceptor) attempt(ctx context.Context, operation, operator string, amend UpdateFunc) (loan.Book, attemptResult, *core.Error) {
	done, err := ac.lookup(ctx, operation)
	switch {
	case err != nil:
		return loan.Book{}, attemptPlatformDown, nil
	case done.State == stateWithdrawn:
		return loan.Book{}, attemptWithdrawn, nil
	case done.State == stateAccepted:
		bo, err := ac.Load(ctx)
		if err != nil {
			// The change is in force; the book will come by the spread.
			return loan.Book{Generation: done.Generation, Operation: operation}, attemptAccepted, nil
		}
		return bo, attemptAccepted, nil
	}
	bo, err := ac.Load(ctx)
	if err != nil {
		return loan.Book{}, attemptPlatformDown, nil
	}
	next, er := amend(bo)
	if er != nil {
		return loan.Book{}, "", er
	}
	next.Generation, next.Operation = bo.Generation+1, operation
	return ac.commit(ctx, bo.Generation, next, operator)
}

func (ac *Acceptor) commit(ctx context.Context, base uint64, next loan.Book, operator string) (loan.Book, attemptResult, *core.Error) {
	raw, err := next.Encode()
	if err != nil {
		return loan.Book{}, "", core.Refuse(core.CodeBadRequest, "%v", err)
	}
	object := fmt.Sprintf("%s%d-%s", objectPrefix, next.Generation, next.Operation)
	if err := ac.Objects.Write(ctx, object, raw); err != nil {
		return loan.Book{}, attemptPlatformDown, nil
	}
	generation := strconv.FormatUint(next.Generation, 10)
	err = ac.Table.Transact(ctx, []store.Put{
		{
			Key:  operationPrefix + next.Operation, // rule 1
			Row:  store.Row{attrState: stateAccepted, attrGeneration: generation, attrOperator: operator},
			When: store.Absent(),
		},
		{
			Key:  headKey, // rule 2
			Row:  store.Row{attrGeneration: generation, attrOperation: next.Operation, attrObject: object},
			When: headCondition(base),
		},
	})
	switch {
	case err == nil:
		return next, attemptAccepted, nil
	case errors.Is(err, store.ErrCondition):
		return loan.Book{}, attemptConditionFailed, nil
	default:
		return loan.Book{}, attemptAnswerLost, nil
	}
}

func headCondition(base uint64) store.Condition {
	if base == 0 {
		return store.Absent()
	}
	return store.Equals(attrGeneration, strconv.FormatUint(base, 10))
}

func (ac *Acceptor) lookup(ctx context.Context, operation string) (Outcome, error) {
	row, err := ac.Table.Get(ctx, operationPrefix+operation)
	if errors.Is(err, store.ErrNoRow) {
		return Outcome{Operation: operation}, nil
	}
	if err != nil {
		return Outcome{}, err
	}
	generation, _ := strconv.ParseUint(row[attrGeneration], 10, 64)
	return Outcome{Operation: operation, State: row[attrState], Generation: generation, Operator: row[attrOperator]}, nil
}

// Settle says for good whether an operation was accepted. An operation that
// was not is withdrawn and can no longer be (rule 5).
func (ac *Acceptor) Settle(ctx context.Context, operation, operator string) (Outcome, *core.Error) {
	for range max(ac.Attempts, 1) {
		done, err := ac.lookup(ctx, operation)
		if err == nil && done.State != "" {
			return done, nil
		}
		if err == nil {
			err = ac.Table.Transact(ctx, []store.Put{{
				Key:  operationPrefix + operation,
				Row:  store.Row{attrState: stateWithdrawn, attrOperator: operator},
				When: store.Absent(),
			}})
			if err == nil {
				return Outcome{Operation: operation, State: stateWithdrawn, Operator: operator}, nil
			}
		}
		select {
		case <-ctx.Done():
		case <-ac.Clock.After(ac.RetryDelay):
		}
	}
	return Outcome{}, core.InDoubt(core.CodeUnsettled, "the platform does not answer; ask again").WithRetryAfter(ac.RetryDelay * 2)
}

// ReplaceLoans is the change that a sheet makes. Base is the book that the
// operator saw. A loan that the sheet changes and that somebody else changed
// since is a conflict, which names who and what (compared on the loan's own
// revision). Loans that only the other operator touched are kept as they are.
func ReplaceLoans(base loan.Book, loans []loan.Loan, operator string, now time.Time) UpdateFunc {
	return func(bo loan.Book) (loan.Book, *core.Error) {
		if bo.Generation == base.Generation {
			return bo.WithLoans(loans, operator, now), nil
		}
		merged, er := merge(base, bo, loans)
		if er != nil {
			return bo, er
		}
		return bo.WithLoans(merged, operator, now), nil
	}
}

func merge(base, bo loan.Book, loans []loan.Loan) ([]loan.Loan, *core.Error) {
	mine := map[string]loan.Loan{}
	for _, lo := range loans {
		mine[lo.ID] = lo
	}
	for _, ch := range Diff(base, loans) {
		if er := conflict(base, bo, mine, ch.Loan); er != nil {
			return nil, er
		}
	}
	merged := map[string]loan.Loan{}
	for id, lo := range mine {
		merged[id] = lo
	}
	for _, ch := range Diff(base, bo.Loans) { // what the other one changed
		lo, found := bo.Loan(ch.Loan)
		if found {
			merged[ch.Loan] = lo
			continue
		}
		delete(merged, ch.Loan)
	}
	out := make([]loan.Loan, 0, len(merged))
	for _, lo := range merged {
		out = append(out, lo)
	}
	return out, nil
}

// conflict reports a loan that both sides changed since the base, unless to
// the same.
func conflict(base, bo loan.Book, mine map[string]loan.Loan, id string) *core.Error {
	was, existed := base.Loan(id)
	is, exists := bo.Loan(id)
	if existed == exists && was.SameTerms(is) {
		return nil
	}
	want, wanted := mine[id]
	if wanted == exists && (!wanted || want.SameTerms(is)) {
		return nil
	}
	who, what := is.ChangedBy, "changed to "+describe(is)
	if !exists {
		who, what = "another operator", "removed"
	}
	return core.Refuse(core.CodeConflict, "loan %s was %s by %s at generation %d, after generation %d that this change was made from",
		id, what, who, max(is.Revision, bo.Generation), base.Generation)
}

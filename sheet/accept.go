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

// Table is the part of the table service that Acceptor uses.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Transact(ctx context.Context, puts []store.Put) error
}

// Objects is the part of the object store that Acceptor uses.
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

// UpdateFunc returns the next book, made from the current one. It is called again
// with a newer book if another operation was accepted first.
type UpdateFunc func(bo loan.Book) (loan.Book, *core.Error)

// Acceptor commits configuration changes to the platform's table service. An
// operation is accepted once a transaction that increments the generation by one
// and writes the operation's row is known to have committed.
//
//  1. The operation's row is written in the same transaction as the head row, on
//     the condition that it does not exist. So an operation is accepted at most
//     once, regardless of how often its transaction is sent.
//  2. The head row is written on the condition that it still has the generation
//     that the new book was made from. So no accepted change is lost.
//  3. When the answer to a transaction is lost, the operation's row is read. If it
//     exists, the operation was accepted. If not, the transaction is sent again
//     under the same conditions, with the change made from the current book.
//  4. While the outcome is not known, the verdict is may-have-run.
//  5. Settle writes the operation's row as withdrawn, on the condition that it
//     does not exist. After that, the transaction of rule 1 can never commit.
type Acceptor struct {
	Table   Table
	Objects Objects
	Clock   core.Clock
	// Attempts is the maximum number of attempts of one operation.
	Attempts int
	// RetryDelay is the wait after a failed attempt.
	RetryDelay time.Duration
}

// Outcome is the outcome of an operation. State is "accepted", "withdrawn", or
// empty if neither is recorded.
type Outcome struct {
	Operation  string `json:"operation"`
	State      string `json:"state"`
	Generation uint64 `json:"generation,omitempty"`
	Operator   string `json:"operator,omitempty"`
}

// Head reads the current generation and the key of its book in the object store.
// They are zero and empty before the first sheet.
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

// Load reads the current book.
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

// Accept commits a change as an operation and returns the new book. If the error
// has the verdict may-have-run, Settle with the same operation ID finds out
// whether the change was accepted.
func (ac *Acceptor) Accept(ctx context.Context, operation, operator string, update UpdateFunc) (loan.Book, *core.Error) {
	inDoubt := false
	for range max(ac.Attempts, 1) {
		bo, result, er := ac.attempt(ctx, operation, operator, update)
		switch {
		case er != nil:
			return loan.Book{}, er
		case result == attemptAccepted:
			return bo, nil
		case result == attemptWithdrawn:
			return loan.Book{}, core.Refuse(core.CodeConflict, "operation %s was withdrawn", operation)
		case result == attemptAnswerLost:
			inDoubt = true // rule 3: the next attempt reads the operation's row first
		}
		select {
		case <-ctx.Done():
		case <-ac.Clock.After(ac.RetryDelay):
		}
		if ctx.Err() != nil {
			break
		}
	}
	if inDoubt { // rule 4
		return loan.Book{}, core.InDoubt(core.CodeUnsettled, "it is unknown whether the platform accepted operation %s; settle it", operation)
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

func (ac *Acceptor) attempt(ctx context.Context, operation, operator string, update UpdateFunc) (loan.Book, attemptResult, *core.Error) {
	oc, err := ac.lookup(ctx, operation)
	switch {
	case err != nil:
		return loan.Book{}, attemptPlatformDown, nil
	case oc.State == stateWithdrawn:
		return loan.Book{}, attemptWithdrawn, nil
	case oc.State == stateAccepted:
		bo, err := ac.Load(ctx)
		if err != nil {
			// The change is in force. The book arrives later through the exchange
			// between the entries.
			return loan.Book{Generation: oc.Generation, Operation: operation}, attemptAccepted, nil
		}
		return bo, attemptAccepted, nil
	}
	bo, err := ac.Load(ctx)
	if err != nil {
		return loan.Book{}, attemptPlatformDown, nil
	}
	next, er := update(bo)
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
	if _, err := loan.DecodeBook(raw); err != nil { // it may exceed a limit of the decoder
		return loan.Book{}, "", core.Refuse(core.CodeBadRequest, "no entry could read the book: %v", err)
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

// Settle determines whether an operation was accepted. If it was not, Settle
// withdraws it, so that it can no longer be accepted (rule 5).
func (ac *Acceptor) Settle(ctx context.Context, operation, operator string) (Outcome, *core.Error) {
	for range max(ac.Attempts, 1) {
		oc, err := ac.lookup(ctx, operation)
		if err == nil && oc.State != "" {
			return oc, nil
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

// ReplaceLoans returns the change that a sheet makes. base is the book that the
// operator's change was made from. If the sheet and a later generation both
// change a loan, and not to the same terms, the change is refused as a conflict
// that names the loan, the other operator and the other change. Loans that only a
// later generation changed stay as they are there.
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
	requested := map[string]loan.Loan{}
	for _, lo := range loans {
		requested[lo.ID] = lo
	}
	for _, ch := range Diff(base, loans) {
		if er := conflict(base, bo, requested, ch.Loan); er != nil {
			return nil, er
		}
	}
	merged := map[string]loan.Loan{}
	for id, lo := range requested {
		merged[id] = lo
	}
	for _, ch := range Diff(base, bo.Loans) { // what later generations changed
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

// conflict returns an error if a loan was changed both by the sheet and since the
// base, and the two changes differ.
func conflict(base, bo loan.Book, requested map[string]loan.Loan, id string) *core.Error {
	before, existed := base.Loan(id)
	current, exists := bo.Loan(id)
	if existed == exists && before.SameTerms(current) {
		return nil
	}
	want, wanted := requested[id]
	if wanted == exists && (!wanted || want.SameTerms(current)) {
		return nil
	}
	change := fmt.Sprintf("changed to %s by %s at generation %d", describe(current), current.ChangedBy, current.Revision)
	if !exists {
		change = fmt.Sprintf("removed by another operator by generation %d", bo.Generation)
	}
	return core.Refuse(core.CodeConflict, "loan %s was %s, after this change was made from generation %d", id, change, base.Generation)
}

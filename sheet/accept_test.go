package sheet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/sheet"
	"bilberryshelf/store"
)

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// platform is a table service and object store that can be down, lose the answer
// to a write that took effect, or apply a write late.
type platform struct {
	mutex   sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	// fault returns the fault of the next call: down, lost, late or none.
	fault func(call string) string
	// dropOperationRow is a mutant that drops the operation's row from transactions.
	dropOperationRow bool
	// ignoreConditions is a mutant that ignores all conditions.
	ignoreConditions bool
	generations      []string
}

var errLost = errors.New("no answer")

func newPlatform(fault func(call string) string) *platform {
	return &platform{rows: map[string]store.Row{}, objects: map[string][]byte{}, fault: fault}
}

func (pl *platform) Get(_ context.Context, key string) (store.Row, error) {
	if pl.fault("get") != "" {
		return nil, errLost
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	row, found := pl.rows[key]
	if !found {
		return nil, store.ErrNoRow
	}
	return row, nil
}

func (pl *platform) Transact(_ context.Context, puts []store.Put) error {
	switch pl.fault("transact") {
	case "down":
		return errLost
	case "lost":
		_ = pl.apply(puts)
		return errLost
	case "late":
		go func() {
			time.Sleep(400 * time.Millisecond)
			_ = pl.apply(puts)
		}()
		return errLost
	}
	return pl.apply(puts)
}

func (pl *platform) apply(puts []store.Put) error {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	for _, pu := range puts {
		row, found := pl.rows[pu.Key]
		holds := pu.When.Kind == "" || (pu.When.Kind == store.KindAbsent && !found) ||
			(pu.When.Kind == store.KindEquals && found && row[pu.When.Attribute] == pu.When.Value)
		skip := pl.dropOperationRow && pu.Key != "head"
		if !holds && !skip && !pl.ignoreConditions {
			return store.ErrCondition
		}
	}
	for _, pu := range puts {
		if pl.dropOperationRow && pu.Key != "head" {
			continue
		}
		pl.rows[pu.Key] = pu.Row
		if pu.Key == "head" {
			pl.generations = append(pl.generations, pu.Row["generation"])
		}
	}
	return nil
}

func (pl *platform) Write(_ context.Context, key string, body []byte) error {
	if pl.fault("write") != "" {
		return errLost
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	pl.objects[key] = body
	return nil
}

func (pl *platform) Read(_ context.Context, key string) ([]byte, error) {
	if pl.fault("read") != "" {
		return nil, errLost
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	body, found := pl.objects[key]
	if !found {
		return nil, store.ErrNoRow
	}
	return body, nil
}

func acceptor(pl *platform) *sheet.Acceptor {
	return &sheet.Acceptor{Table: pl, Objects: pl, Clock: core.SystemClock{}, Attempts: 4, RetryDelay: 100 * time.Millisecond}
}

func oneLoan(id, target string) loan.Loan {
	return loan.Loan{
		ID: id, Lender: "lab", Service: "ink-desk", Targets: []string{target}, Borrower: "sales", Kind: core.Caller,
		From: noon, Until: noon.Add(time.Hour), Priority: core.High, CutOff: loan.KeepServing,
	}
}

// addLoan returns a change that adds one loan and is independent of other loans.
func addLoan(id, operator string) sheet.UpdateFunc {
	return func(bo loan.Book) (loan.Book, *core.Error) {
		if lo, found := bo.Loan(id); found {
			return bo, core.Refuse(core.CodeConflict, "%s already exists, added by %s", id, lo.ChangedBy)
		}
		return bo.WithLoans(append(append([]loan.Loan{}, bo.Loans...), oneLoan(id, "ink-"+id)), operator, noon), nil
	}
}

// race runs concurrent changes by several operators against a platform with random
// faults, settles the operations in doubt, and compares the reported results with
// the current book.
func race(seed uint64, mutate func(pl *platform)) (fault string) {
	random := rand.New(rand.NewPCG(seed, 3))
	var mutex sync.Mutex
	healthy := false
	pl := newPlatform(func(call string) string {
		mutex.Lock()
		defer mutex.Unlock()
		if healthy {
			return ""
		}
		draw := random.IntN(20)
		switch {
		case draw == 0:
			return "down"
		case draw == 1 && call == "transact":
			return "lost"
		case draw == 2 && call == "transact":
			return "late"
		}
		return ""
	})
	mutate(pl)
	type result struct {
		operation, loan string
		er              *core.Error
		generation      uint64
	}
	results := make([]result, 12)
	var wait sync.WaitGroup
	for at := range results {
		wait.Go(func() {
			re := result{operation: fmt.Sprint("operation-", at), loan: fmt.Sprint("loan-", at/2)}
			time.Sleep(time.Duration(at/3) * 50 * time.Millisecond)
			bo, er := acceptor(pl).Accept(context.Background(), re.operation, fmt.Sprint("operator-", at), addLoan(re.loan, fmt.Sprint("operator-", at)))
			re.er, re.generation = er, bo.Generation
			results[at] = re
		})
	}
	wait.Wait()
	mutex.Lock()
	healthy = true
	mutex.Unlock()
	accepted := 0
	for at, re := range results {
		if re.er != nil && re.er.Verdict == core.MayHaveRun {
			oc, er := acceptor(pl).Settle(context.Background(), re.operation, "settler")
			if er != nil {
				return "cannot settle: " + er.Text
			}
			if oc.State == "accepted" {
				results[at].er, results[at].generation = nil, oc.Generation
			}
		}
		if results[at].er == nil {
			accepted++
		}
	}
	time.Sleep(time.Second) // the late writes are applied
	bo, err := acceptor(pl).Load(context.Background())
	if err != nil {
		return err.Error()
	}
	for at, ge := range pl.generations {
		if ge != fmt.Sprint(at+1) {
			return fmt.Sprintf("the generations are %v, want 1, 2, 3 and so on", pl.generations)
		}
	}
	if int(bo.Generation) != accepted {
		return fmt.Sprintf("%d changes were accepted, generation %d is in force", accepted, bo.Generation)
	}
	for at, re := range results {
		if lo, found := bo.Loan(re.loan); re.er == nil && (!found || lo.ChangedBy != fmt.Sprint("operator-", at)) {
			return fmt.Sprintf("the accepted change of operator %d is not in force", at)
		}
	}
	return ""
}

func raceInSynctest(t *testing.T, seed uint64, mutate func(pl *platform)) (fault string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { fault = race(seed, mutate) })
	return fault
}

// P9: no accepted change is lost, accepted twice or reverted.
func TestAcceptanceUnderFaults(t *testing.T) {
	for seed := range uint64(100) {
		require.Empty(t, raceInSynctest(t, seed, func(*platform) {}), "seed %d", seed)
	}
}

// Guards against a race that cannot fail: without the operation's row, or without
// conditions, P9 must be broken at some seed.
func TestAcceptanceMutants(t *testing.T) {
	for name, mutate := range map[string]func(pl *platform){
		"no-operation-row": func(pl *platform) { pl.dropOperationRow = true },
		"no-condition":     func(pl *platform) { pl.ignoreConditions = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				if fault := raceInSynctest(t, seed, mutate); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Fatal("no seed shows the mutant")
		})
	}
}

func healthy(string) string { return "" }

// Of two concurrent changes of one loan, the second must be refused with an error
// that names the other operator and the loan.
func TestConflictNamesOperatorAndLoan(t *testing.T) {
	pl := newPlatform(healthy)
	ac := acceptor(pl)
	base, er := ac.Accept(context.Background(), "one", "ana", addLoan("desk", "ana"))
	require.Nil(t, er)
	high, low := oneLoan("desk", "ink-desk"), oneLoan("desk", "ink-desk")
	high.MaxInFlight, low.MaxInFlight = 9, 3
	_, er = ac.Accept(context.Background(), "two", "rui", sheet.ReplaceLoans(base, []loan.Loan{high}, "rui", noon))
	require.Nil(t, er)
	_, er = ac.Accept(context.Background(), "three", "eva", sheet.ReplaceLoans(base, []loan.Loan{low}, "eva", noon))
	require.NotNil(t, er)
	require.Equal(t, core.CodeConflict, er.Code)
	require.Equal(t, core.NotRun, er.Verdict)
	require.Contains(t, er.Text, "rui")
	require.Contains(t, er.Text, "desk")
}

// The error must name the generation of the other change, not that of a later change of
// another loan.
func TestConflictNamesGeneration(t *testing.T) {
	ac := acceptor(newPlatform(healthy))
	base, er := ac.Accept(context.Background(), "one", "ana", addLoan("desk", "ana"))
	require.Nil(t, er)
	high, low := oneLoan("desk", "ink-desk"), oneLoan("desk", "ink-desk")
	high.MaxInFlight, low.MaxInFlight = 9, 3
	second, er := ac.Accept(context.Background(), "two", "rui", sheet.ReplaceLoans(base, []loan.Loan{high}, "rui", noon))
	require.Nil(t, er)
	third, er := ac.Accept(context.Background(), "three", "rui", addLoan("other", "rui"))
	require.Nil(t, er)
	require.Greater(t, third.Generation, second.Generation)
	_, er = ac.Accept(context.Background(), "four", "eva", sheet.ReplaceLoans(base, []loan.Loan{low}, "eva", noon))
	require.NotNil(t, er)
	require.Contains(t, er.Text, fmt.Sprintf("at generation %d,", second.Generation))
}

// Changes of different loans made from the same base must both be kept.
func TestDisjointChangesMerge(t *testing.T) {
	pl := newPlatform(healthy)
	ac := acceptor(pl)
	base, er := ac.Accept(context.Background(), "one", "ana", addLoan("desk", "ana"))
	require.Nil(t, er)
	loans := func(id string) []loan.Loan {
		return append(append([]loan.Loan{}, base.Loans...), oneLoan(id, "ink-"+id))
	}
	_, er = ac.Accept(context.Background(), "two", "rui", sheet.ReplaceLoans(base, loans("a"), "rui", noon))
	require.Nil(t, er)
	bo, er := ac.Accept(context.Background(), "three", "eva", sheet.ReplaceLoans(base, loans("b"), "eva", noon))
	require.Nil(t, er)
	require.Len(t, bo.Loans, 3)
}

// An operation that is sent again must be accepted only once and get the same
// answer.
func TestOperationIsAcceptedOnce(t *testing.T) {
	pl := newPlatform(healthy)
	ac := acceptor(pl)
	first, er := ac.Accept(context.Background(), "same", "ana", addLoan("desk", "ana"))
	require.Nil(t, er)
	again, er := ac.Accept(context.Background(), "same", "ana", addLoan("desk", "ana"))
	require.Nil(t, er)
	require.Equal(t, first.Generation, again.Generation)
	require.Len(t, pl.generations, 1)
}

// During an outage the verdict must be not-run if no transaction was sent, and
// may-have-run otherwise.
// Guards against an accepted book that no entry can read: more targets than the decoder
// permits, more bytes, a name that is not UTF-8. The book before stays in force.
func TestUnreadableBookIsRefused(t *testing.T) {
	for name, spoil := range map[string]func(bo *loan.Book){
		"targets": func(bo *loan.Book) { bo.Targets = make([]loan.Target, 140000) },
		"bytes":   func(bo *loan.Book) { bo.Targets = []loan.Target{{Name: strings.Repeat("x", 65<<20)}} },
		"name":    func(bo *loan.Book) { bo.Loans = append(bo.Loans, loan.Loan{ID: "a\xff"}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ac := acceptor(newPlatform(healthy))
				_, er := ac.Accept(t.Context(), "op1", "ana", func(bo loan.Book) (loan.Book, *core.Error) { return bo, nil })
				require.Nil(t, er)
				_, er = ac.Accept(t.Context(), "op2", "ana", func(bo loan.Book) (loan.Book, *core.Error) {
					spoil(&bo)
					return bo, nil
				})
				require.NotNil(t, er)
				require.Equal(t, core.NotRun, er.Verdict)
				bo, err := ac.Load(t.Context())
				require.NoError(t, err)
				require.EqualValues(t, 1, bo.Generation)
			})
		})
	}
}

func TestOutage(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fault   string
		verdict core.Verdict
	}{
		{"out from the start", "all", core.NotRun},
		{"out with the transaction", "transact", core.MayHaveRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				down := true
				pl := newPlatform(func(call string) string {
					if down && (tc.fault == "all" || call == tc.fault) {
						return "down"
					}
					return ""
				})
				_, er := acceptor(pl).Accept(context.Background(), "one", "ana", addLoan("desk", "ana"))
				require.NotNil(t, er)
				require.Equal(t, tc.verdict, er.Verdict)
				down = false
				oc, er := acceptor(pl).Settle(context.Background(), "one", "ana")
				require.Nil(t, er)
				require.Equal(t, "withdrawn", oc.State)
				_, er = acceptor(pl).Accept(context.Background(), "one", "ana", addLoan("desk", "ana"))
				require.Equal(t, core.CodeConflict, er.Code, "a withdrawn operation never commits")
			})
		})
	}
}

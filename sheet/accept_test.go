package sheet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// platform is a table service and object store whose answers may be lost after
// the write took effect, whose writes may be late, and which may be out.
type platform struct {
	mutex   sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	// fault decides what happens to the next call.
	fault func(call string) string
	// forget drops the operation's row from transactions, as a mutant.
	forget bool
	// blind drops all conditions, as a mutant.
	blind bool
	heads []string
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
		skip := pl.forget && pu.Key != "head"
		if !holds && !skip && !pl.blind {
			return store.ErrCondition
		}
	}
	for _, pu := range puts {
		if pl.forget && pu.Key != "head" {
			continue
		}
		pl.rows[pu.Key] = pu.Row
		if pu.Key == "head" {
			pl.heads = append(pl.heads, pu.Row["generation"])
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

// addLoan is a change that any operator may make beside others.
func addLoan(id, operator string) sheet.UpdateFunc {
	return func(bo loan.Book) (loan.Book, *core.Error) {
		if lo, found := bo.Loan(id); found {
			return bo, core.Refuse(core.CodeConflict, "%s is there, by %s", id, lo.ChangedBy)
		}
		return bo.WithLoans(append(append([]loan.Loan{}, bo.Loans...), oneLoan(id, "ink-"+id)), operator, noon), nil
	}
}

// race lets operators change the book at the same time over a platform that
// fails at random, then settles what is in doubt and compares what they were
// told with what is in force.
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
	type told struct {
		operation, loan string
		er              *core.Error
		generation      uint64
	}
	all := make([]told, 12)
	var wait sync.WaitGroup
	for at := range all {
		wait.Go(func() {
			me := told{operation: fmt.Sprint("operation-", at), loan: fmt.Sprint("loan-", at/2)}
			time.Sleep(time.Duration(at/3) * 50 * time.Millisecond)
			bo, er := acceptor(pl).Accept(context.Background(), me.operation, fmt.Sprint("operator-", at), addLoan(me.loan, fmt.Sprint("operator-", at)))
			me.er, me.generation = er, bo.Generation
			all[at] = me
		})
	}
	wait.Wait()
	mutex.Lock()
	healthy = true
	mutex.Unlock()
	accepted := 0
	for at, me := range all {
		if me.er != nil && me.er.Verdict == core.MayHaveRun {
			done, er := acceptor(pl).Settle(context.Background(), me.operation, "settler")
			if er != nil {
				return "cannot settle: " + er.Text
			}
			if done.State == "accepted" {
				all[at].er, all[at].generation = nil, done.Generation
			}
		}
		if all[at].er == nil {
			accepted++
		}
	}
	time.Sleep(time.Second) // late writes arrive
	bo, err := acceptor(pl).Load(context.Background())
	if err != nil {
		return err.Error()
	}
	for at, he := range pl.heads {
		if he != fmt.Sprint(at+1) {
			return fmt.Sprintf("the generations went %v", pl.heads)
		}
	}
	if int(bo.Generation) != accepted {
		return fmt.Sprintf("%d changes were accepted, generation %d is in force", accepted, bo.Generation)
	}
	for at, me := range all {
		if lo, found := bo.Loan(me.loan); me.er == nil && (!found || lo.ChangedBy != fmt.Sprint("operator-", at)) {
			return fmt.Sprintf("the accepted change of operator %d is not in force", at)
		}
	}
	return ""
}

func raceInBubble(t *testing.T, seed uint64, mutate func(pl *platform)) (fault string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { fault = race(seed, mutate) })
	return fault
}

// P9: no accepted change is lost, none is accepted twice, none reverts.
func TestAcceptanceUnderFaults(t *testing.T) {
	for seed := range uint64(100) {
		require.Empty(t, raceInBubble(t, seed, func(*platform) {}), "seed %d", seed)
	}
}

// Without the operation's row, or without conditions, a promise breaks.
func TestAcceptanceMutants(t *testing.T) {
	for name, mutate := range map[string]func(pl *platform){
		"no-operation-row": func(pl *platform) { pl.forget = true },
		"no-condition":     func(pl *platform) { pl.blind = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(300) {
				if fault := raceInBubble(t, seed, mutate); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			t.Fatal("no seed shows the mutant")
		})
	}
}

func healthy(string) string { return "" }

// Two operators race on one loan: one wins, the other is told who and what.
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

// Changes of different loans from the same base are both kept.
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

// An operation that is sent again is accepted once and answered alike.
func TestOperationIsAcceptedOnce(t *testing.T) {
	pl := newPlatform(healthy)
	ac := acceptor(pl)
	first, er := ac.Accept(context.Background(), "same", "ana", addLoan("desk", "ana"))
	require.Nil(t, er)
	again, er := ac.Accept(context.Background(), "same", "ana", addLoan("desk", "ana"))
	require.Nil(t, er)
	require.Equal(t, first.Generation, again.Generation)
	require.Len(t, pl.heads, 1)
}

// During an outage the verdict tells what is known.
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
				out := true
				pl := newPlatform(func(call string) string {
					if out && (tc.fault == "all" || call == tc.fault) {
						return "down"
					}
					return ""
				})
				_, er := acceptor(pl).Accept(context.Background(), "one", "ana", addLoan("desk", "ana"))
				require.NotNil(t, er)
				require.Equal(t, tc.verdict, er.Verdict)
				out = false
				done, er := acceptor(pl).Settle(context.Background(), "one", "ana")
				require.Nil(t, er)
				require.Equal(t, "withdrawn", done.State)
				_, er = acceptor(pl).Accept(context.Background(), "one", "ana", addLoan("desk", "ana"))
				require.Equal(t, core.CodeConflict, er.Code, "a withdrawn operation never commits")
			})
		})
	}
}

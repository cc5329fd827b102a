package bench

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/client"
	"bilberryshelf/core"
	"bilberryshelf/fake"
	"bilberryshelf/fence"
	"bilberryshelf/loan"
	"bilberryshelf/poison"
	"bilberryshelf/route"
	"bilberryshelf/sample"
	"bilberryshelf/setup"
	"bilberryshelf/store"
	"bilberryshelf/trial"
)

// slopes lists all measurements.
var slopes = []slope{
	{"book-bytes", "Encoded book", "loan", "byte", []int{250, 500, 1000, 2000}, 1, bookBytes},
	{"book-heap", "Book in memory", "loan", "byte", []int{250, 500, 1000, 2000}, 2, bookHeap},
	{"book-adopt", "Decode a book and cut 64 slices", "loan", "us", []int{250, 500, 1000, 2000}, 2, bookAdopt},
	{"find", "Find the loan of a request", "loan", "us", []int{250, 500, 1000, 2000}, 2, findLoan},
	{"list-bytes", "List of instances, packed", "instance", "byte", []int{760, 1520, 3040, 6090}, 1, listBytes},
	{"list-heap", "List of instances in memory", "instance", "byte", []int{760, 1520, 3040, 6090}, 2, listHeap},
	{"list-read", "Read a changed list of instances", "instance", "us", []int{760, 1520, 3040, 6090}, 2, listRead},
	{"subset", "Deal out the targets", "instance", "us", []int{760, 1520, 3040, 6090}, 2, selectSubset},
	{"choose", "Choose a target", "target", "us", []int{16, 32, 64, 128}, 2, chooseTarget},
	{"guard-cpu", "Guards alone, with their targets' health", "guard", "ms/s", []int{8, 16, 32, 64}, 1, guardCPU},
	{"hello-cpu", "One entry greeting guards, both sides", "guard", "ms/s", []int{8, 16, 32, 64}, 1, helloCPU},
	{"hello-bytes", "One entry greeting guards, in and out", "guard", "byte/s", []int{8, 16, 32, 64}, 1, helloBytes},
	{"remote-heap", "Guard known to an entry, both sides", "guard", "byte", []int{8, 16, 32, 64}, 1, remoteHeap},
	{"entry-cpu", "Idle entries that spread, poll and list", "entry", "ms/s", []int{4, 8, 16, 32}, 1, entryCPU},
	{"entry-bytes", "Idle entries, in and out between them", "entry", "byte/s", []int{4, 8, 16, 32}, 1, entryBytes},
	{"path-cpu", "Caller, entry, guard and target of a call", "request/s", "ms/s", []int{200, 400, 800, 1600}, 1, pathCPU},
	{"id-heap", "Table of attempts", "id", "byte", []int{10000, 20000, 40000, 80000}, 2, idHeap},
	{"key-heap", "Table of keys with answers of 200 bytes", "key", "byte", []int{5000, 10000, 20000, 40000}, 2, keyHeap},
	{"handover-bytes", "Keys handed to the next incarnation", "key", "byte", []int{5000, 10000, 20000, 40000}, 1, handoverBytes},
	{"slot-heap", "Steps with samples of 2,000 bytes", "slot", "byte", []int{2048, 4096, 8192, 14336}, 2, slotHeap},
	{"want", "Look through steps for runs to start", "slot", "us", []int{2048, 4096, 8192, 14336}, 2, nextJobs},
	{"poison-heap", "List of bad requests", "request", "byte", []int{1250, 2500, 5000, 10000}, 2, poisonHeap},
	{"accept-writes", "Writes of accepted changes", "change", "write", []int{2, 4, 8, 16}, 1, acceptWrites},
	{"accept-reads", "Reads of accepted changes", "change", "read", []int{2, 4, 8, 16}, 1, acceptReads},
	{"start-writes", "Writes of starting guards", "guard", "write", []int{4, 8, 16, 32}, 1, startWrites},
	{"start-reads", "Reads of starting guards", "guard", "read", []int{4, 8, 16, 32}, 1, startReads},
}

var noon = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// syntheticBook returns a book with three targets per loan, the ratio at design scale.
func syntheticBook(loans int) loan.Book {
	all := make([]loan.Loan, 0, loans)
	for nu := range loans {
		lo := loan.Loan{
			ID: fmt.Sprintf("loan-%05d", nu), Lender: fmt.Sprintf("lab-%d", nu%40), Service: fmt.Sprintf("service-%d", nu%8),
			Borrower: fmt.Sprintf("team-%d", nu%7), Kind: core.Trainer, From: noon, Until: noon.Add(8 * time.Hour),
			Priority: core.Normal, CutOff: loan.KeepServing,
		}
		for ta := range 3 {
			lo.Targets = append(lo.Targets, fmt.Sprintf("target-%05d", nu*3+ta))
		}
		all = append(all, lo)
	}
	bo := loan.Book{}.WithLoans(all, "planner", noon)
	bo.Generation = 1
	return bo
}

func bookBytes(size int) (float64, error) {
	raw, err := syntheticBook(size).Encode()
	return float64(len(raw)), err
}

func bookHeap(size int) (float64, error) {
	return measureHeap(func() any { return syntheticBook(size) }), nil
}

func bookAdopt(size int) (float64, error) {
	raw, err := syntheticBook(size).Encode()
	if err != nil {
		return 0, err
	}
	return measureCPU(func() error {
		bo, err := loan.DecodeBook(raw)
		if err != nil {
			return err
		}
		for ta := range 64 {
			if _, err := bo.TargetSlice(fmt.Sprintf("target-%05d", ta)).Encode(); err != nil {
				return err
			}
		}
		return nil
	})
}

func findLoan(size int) (float64, error) {
	bo := syntheticBook(size)
	return measureCPU(func() error {
		if _, er := bo.Find("team-3", "service-3", noon); er != nil {
			return er
		}
		return nil
	})
}

func instances(size int) []store.Instance {
	all := make([]store.Instance, size)
	for at := range all {
		all[at] = store.Instance{
			Name: fmt.Sprintf("target-%05d", at), Role: store.RoleGuard, Service: fmt.Sprintf("service-%d", at%8),
			Region: fmt.Sprintf("region-%d", at%4), Domain: fmt.Sprintf("region-%d-%d", at%4, at%14),
			Addr: fmt.Sprintf("10.%d.%d.%d:7100", at%14, at/250, at%250), State: core.Serving,
		}
	}
	return all
}

// serveInstances serves the platform's instance list over HTTP.
func serveInstances(size int) (*httptest.Server, *fake.Platform) {
	pl := &fake.Platform{}
	handler := pl.Handler()
	pl.SetInstances(instances(size))
	return httptest.NewServer(handler), pl
}

func listBytes(size int) (float64, error) {
	pl := &fake.Platform{}
	handler := pl.Handler()
	pl.SetInstances(instances(size))
	rec := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodGet, "/instances", nil)
	req.Header.Set("Accept-Encoding", "gzip")
	handler.ServeHTTP(rec, req)
	if _, err := gzip.NewReader(bytes.NewReader(rec.Body.Bytes())); err != nil {
		return 0, errors.Wrap(err, "the list is not compressed")
	}
	return float64(rec.Body.Len()), nil
}

func listHeap(size int) (float64, error) {
	return measureHeap(func() any { return instances(size) }), nil
}

// listRead measures one read of a changed list, on both the server and the client side.
func listRead(size int) (float64, error) {
	se, pl := serveInstances(size)
	defer se.Close()
	li := store.NewList(store.Access{URL: se.URL + "/instances"})
	round := 0
	return measureCPU(func() error {
		round++
		changed := instances(size)
		changed[round%size].State = core.Draining
		pl.SetInstances(changed)
		_, err := li.Fetch(context.Background())
		return err
	})
}

func selectSubset(size int) (float64, error) {
	var names, entries []string
	for _, in := range instances(size) {
		names = append(names, in.Name)
	}
	for at := range 390 {
		entries = append(entries, fmt.Sprintf("entry-%03d", at))
	}
	return measureCPU(func() error {
		route.Subset(names, entries, "entry-100", 64)
		return nil
	})
}

func chooseTarget(size int) (float64, error) {
	var vi route.View
	for at := range size {
		vi.Targets = append(vi.Targets, route.Target{
			Name: fmt.Sprintf("target-%05d", at), Service: "s", Region: "r", State: core.Serving, Capacity: 32, TrafficShare: 1,
			InFlight: &atomic.Int64{},
		})
	}
	prefix := uint64(0)
	return measureCPU(func() error {
		for range 100 {
			prefix++
			if _, er := route.Choose(vi, route.Query{Service: "s", Region: "r", Prefix: prefix, IntN: rand.IntN}); er != nil {
				return er
			}
		}
		return nil
	}) // the time is that of a hundred choices
}

func attemptID(number int) core.AttemptID {
	return core.AttemptID{byte(number), byte(number >> 8), byte(number >> 16), byte(number >> 24)}
}

func idHeap(size int) (float64, error) {
	return measureHeap(func() any {
		ta := &fence.Table{Incarnation: 1, Grace: time.Minute}
		for nu := range size {
			ti := fence.Ticket{ID: attemptID(nu), Incarnation: 1, Deadline: noon.Add(time.Second)}
			_, _, _ = ta.Begin(noon, ti)
			ta.Finish(noon, ti.ID, fence.Done, nil, 0)
		}
		return ta
	}), nil
}

func keyTable(size int) *fence.Table {
	ta := &fence.Table{Incarnation: 1, Grace: 0, MaxAnswerBytes: 1 << 30}
	for nu := range size {
		ti := fence.Ticket{
			ID: attemptID(nu), Incarnation: 1, Deadline: noon.Add(time.Second), KeyHold: time.Hour,
			Key: fmt.Sprintf("sales-desk/lot-check-%012d", nu), Digest: uint64(nu),
		}
		_, _, _ = ta.Begin(noon, ti)
		ta.Finish(noon, ti.ID, fence.Done, bytes.Repeat([]byte{1}, 200), 200)
	}
	ta.Sweep(noon.Add(time.Minute), size*2) // removes the attempts and keeps the keys
	return ta
}

func keyHeap(size int) (float64, error) {
	return measureHeap(func() any { return keyTable(size) }), nil
}

func handoverBytes(size int) (float64, error) {
	raw, err := keyTable(size).Pack()
	return float64(len(raw)), err
}

// completeSteps returns steps of 2,048 slots each, with a sample in every slot.
func completeSteps(slots int) []*sample.Step {
	var steps []*sample.Step
	for at := range slots / 2048 {
		sp := sample.Spec{Trainer: "t", Step: strconv.Itoa(at), Service: "s", GroupSize: 8, MaxTokens: 100, Staleness: 1, Version: 1}
		for gr := range 256 {
			sp.Prompts = append(sp.Prompts, fmt.Sprintf("prompt %d of step %d", gr, at))
		}
		st := sample.NewStep(sp)
		for _, jo := range st.NextJobs(noon) {
			text := strings.Repeat("w", 2000)
			st.Finished(noon, jo, sample.Sample{Text: text, Segments: []sample.Segment{{Version: 1, Tokens: 400}}}, true)
		}
		steps = append(steps, st)
	}
	return steps
}

func slotHeap(size int) (float64, error) {
	return measureHeap(func() any { return completeSteps(size) }), nil
}

func nextJobs(size int) (float64, error) {
	steps := completeSteps(size)
	return measureCPU(func() error {
		for _, st := range steps {
			st.NextJobs(noon)
		}
		return nil
	})
}

func poisonHeap(size int) (float64, error) {
	return measureHeap(func() any {
		li := &poison.List{TTL: time.Hour}
		for di := range uint64(size) {
			li.RecordDeath(noon, []uint64{di}, false)
		}
		return li
	}), nil
}

// countChangeCalls counts the platform's reads and writes for a number of accepted
// changes. The entry's polls in that time are subtracted from the reads.
func countChangeCalls(count int) (reads, writes float64, err error) {
	cl, nodes, err := newCluster(0, 1)
	if cl != nil {
		defer cl.Close()
	}
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(500 * time.Millisecond)
	readsBefore, writesBefore := cl.Platform.Counts()
	began := time.Now()
	for nu := range count {
		sheet := trial.SheetHeader + trial.LoanRow(fmt.Sprint("loan-", nu), "lot-check", "lot-check-000", "sales-desk", core.Service, core.Normal, time.Hour)
		var answer json.RawMessage
		if err := nodes[0].Operator().Call(context.Background(), http.MethodPost, "/v1/sheets", []byte(sheet), &answer, client.Options{}); err != nil {
			return 0, 0, err
		}
	}
	polls := time.Since(began).Seconds() / setup.DefaultEntry().Timing.PollEvery.Std().Seconds()
	readsAfter, writesAfter := cl.Platform.Counts()
	return float64(readsAfter-readsBefore) - polls, float64(writesAfter - writesBefore), nil
}

func acceptWrites(size int) (float64, error) {
	_, writes, err := countChangeCalls(size)
	return writes, err
}

func acceptReads(size int) (float64, error) {
	reads, _, err := countChangeCalls(size)
	return reads, err
}

// countStartCalls counts the platform's reads and writes for a number of starting
// guards.
func countStartCalls(count int) (reads, writes float64, err error) {
	cl, _, err := newCluster(count, 0)
	if cl != nil {
		defer cl.Close()
	}
	if err != nil {
		return 0, 0, err
	}
	for range 100 {
		readsNow, writesNow := cl.Platform.Counts()
		if writesNow >= count {
			return float64(readsNow), float64(writesNow), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, 0, errors.Newf("%d guards did not all start", count)
}

func startWrites(size int) (float64, error) {
	_, writes, err := countStartCalls(size)
	return writes, err
}

func startReads(size int) (float64, error) {
	reads, _, err := countStartCalls(size)
	return reads, err
}

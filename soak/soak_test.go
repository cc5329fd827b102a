package soak_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/platform/stub"
	"bilberryshelf/poison"
	_ "bilberryshelf/subcmd" // so that a cached result of the soak is not that of an older program
)

var (
	fromSeed = flag.Uint64("soak-from", 1, "the first seed")
	seeds    = flag.Int("soak-seeds", 1, "number of seeds to run")
	span     = flag.Duration("soak-span", 8*time.Second, "time of fault injection for each seed")
)

// regression is a seed that once failed. faultKinds is the number of fault kinds at
// that time, which is needed to reproduce it.
type regression struct {
	faultKinds int
	cause      string
}

// regressions are the seeds that once failed.
var regressions = map[uint64]regression{
	4:  {faultKinds: 12, cause: "an entry without live peers never retried its direct connection to the store"},
	32: {faultKinds: 24, cause: "an entry that woke up continued a stream at an engine that had started again with other software"},
}

func TestMain(m *testing.M) {
	flag.IntVar(&entryCount, "soak-entries", 3, "number of entries in the cluster")
	flag.IntVar(&engineCount, "soak-engines", 3, "number of engines in the cluster, each with a guard")
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak-bin")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "bilberryshelf")
	if out, err := exec.Command("go", "build", "-o", binary, "bilberryshelf/cmd/bilberryshelf").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // a temporary folder
	os.Exit(code)
}

var binary string

func TestSoak(t *testing.T) {
	for at := range *seeds {
		runSeed(t, *fromSeed+uint64(at), faultKindCount)
	}
}

func TestRegressions(t *testing.T) {
	for seed, re := range regressions {
		runSeed(t, seed, re.faultKinds)
	}
}

func runSeed(t *testing.T, seed uint64, faultKinds int) {
	t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
		require.Empty(t, runScenario(t, binary, seed, faultKinds))
	})
}

// runScenario runs a binary with the faults of one seed and returns the broken
// promises.
func runScenario(t *testing.T, binary string, seed uint64, faultKinds int) []string {
	return runScenarioBeside(t, newCluster(t, binary, usualMemory), seed, faultKinds, func(context.Context) {})
}

// soakBeside runs a scenario for each seed, on clusters whose processes have the given memory, in
// MiB. disturb runs beside it, with the given stream of random numbers of the seed.
func soakBeside(t *testing.T, memory int, stream uint64, disturb func(cl *cluster, ctx context.Context, rng *rand.Rand)) {
	for at := range *seeds {
		seed := *fromSeed + uint64(at)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			cl := newCluster(t, binary, memory)
			violations := runScenarioBeside(t, cl, seed, faultKindCount, func(ctx context.Context) {
				disturb(cl, ctx, rand.New(rand.NewPCG(seed, stream)))
			})
			require.Empty(t, violations)
		})
	}
}

// runScenarioBeside runs a scenario on a cluster. beside runs while faults are injected; its
// context ends with them.
func runScenarioBeside(t *testing.T, cl *cluster, seed uint64, faultKinds int, beside func(ctx context.Context)) []string {
	ctx, cancel := context.WithCancel(t.Context())
	tr := &trainer{cluster: cl, client: newClient(), rng: rand.New(rand.NewPCG(seed, 2)), resubmitRNG: rand.New(rand.NewPCG(seed, 3)), results: map[string][]string{}}
	var group sync.WaitGroup
	group.Go(func() { tr.run(ctx) })
	for at := range 2 {
		group.Go(func() { cl.sendRequests(ctx, rand.New(rand.NewPCG(seed, uint64(10+at))), at) })
	}
	time.Sleep(2 * time.Second)
	in := &injector{cluster: cl, rng: rand.New(rand.NewPCG(seed, 1)), faultKinds: faultKinds}
	besideCtx, endBeside := context.WithCancel(ctx)
	var besideGroup sync.WaitGroup
	besideGroup.Go(func() { beside(besideCtx) })
	in.run(*span)
	endBeside()
	besideGroup.Wait()
	stepsBefore := tr.stepCount()
	deadline := time.Now().Add(25 * time.Second)
	for tr.stepCount() < stepsBefore+2 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	group.Wait()
	if tr.stepCount() < stepsBefore+2 {
		cl.recordViolation("no two steps were completed within 25 s after the last fault")
	}
	cl.checkPoisonSpread()
	cl.checkFinalState(tr)
	t.Logf("faults: %s; steps: %d, requests: %d, answered: %v", strings.Join(in.injected, ", "), tr.stepCount(), cl.startedCount(), cl.okCounts)
	return cl.recordedViolations()
}

// checkPoisonSpread sends a request that crashes every target that runs it to all
// entries in turn, with a new id each time. It must run at least once and at most
// poison.MaxDeathsAtOne times, after which it is condemned. It may run fewer times,
// because a target that is already down doesn't receive it. It must not run again once
// the entries have had time to exchange their poison records.
func (cl *cluster) checkPoisonSpread() {
	hc := newClient()
	sent := 0
	send := func() {
		id := fmt.Sprintf("crash%d", sent)
		req, err := http.NewRequest(http.MethodPost, "http://"+cl.callerAddrs[sent%entryCount]+"/once/x", strings.NewReader(stub.Crash))
		if err != nil {
			cl.recordViolation("build a request: %v", err)
			return
		}
		sent++
		req.Host = "h"
		req.Header.Set("Bilberryshelf-Request-Id", id)
		req.Header.Set("Bilberryshelf-Deadline-Ms", "1500")
		res, err := hc.Do(req)
		if err == nil {
			_ = res.Body.Close() // only the target's crash matters
		}
	}
	const exchangeTime = 4 * time.Second
	for range 2 * poison.MaxDeathsAtOne {
		send()
		time.Sleep(500 * time.Millisecond) // both targets may still be down
	}
	time.Sleep(exchangeTime)
	before := cl.crashCount(sent)
	for range 2 * entryCount {
		send()
	}
	if after := cl.crashCount(sent); before == 0 || before > poison.MaxDeathsAtOne || after > before {
		cl.recordViolation("a request that crashes targets ran %d times, and %d more times after the entries exchanged records", before, after-before)
	}
}

// crashCount returns how often the crashing request ran, over all of the sent ids.
func (cl *cluster) crashCount(sent int) int {
	sum := 0
	for at := range sent {
		sum += cl.startCount(fmt.Sprintf("crash%d", at))
	}
	return sum
}

// checkFinalState makes the checks that are only possible after the run.
func (cl *cluster) checkFinalState(tr *trainer) {
	for _, kind := range requestKinds {
		if cl.okCounts[kind] == 0 {
			cl.recordViolation("no request of kind %s got status 200", kind)
		}
	}
	for _, ta := range append(slices.Clone(cl.engines), cl.plainTargets...) {
		for _, fault := range ta.Violations() {
			cl.recordViolation("%s: %s", ta.ID, fault)
		}
	}
	for _, id := range tr.refusedJobs {
		for at := range itemsPerJob {
			if cl.startCount(itemID(id, at)) > 0 {
				cl.recordViolation("item %d of job %s ran, though each submission was refused", at, id)
			}
		}
	}
	for job := range tr.results {
		for _, addr := range cl.callerAddrs {
			tr.checkResultsAt(addr, job)
		}
	}
}

// requestKinds are the first path elements of the routes for plain requests and
// streams.
var requestKinds = []string{"look", "once", "flow"}

// sendRequests sends plain requests and streams until ctx ends, and checks each
// response.
func (cl *cluster) sendRequests(ctx context.Context, rng *rand.Rand, worker int) {
	hc := newClient()
	for number := 0; ctx.Err() == nil; number++ {
		kind := requestKinds[rng.IntN(len(requestKinds))]
		id := fmt.Sprintf("r%d-%d", worker, number)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cl.callerAddrs[rng.IntN(entryCount)]+"/"+kind+"/x", strings.NewReader("body-"+id))
		if err != nil {
			cl.recordViolation("build a request: %v", err)
			return
		}
		req.Host = "h"
		req.Header.Set("Bilberryshelf-Request-Id", id)
		req.Header.Set("Bilberryshelf-Deadline-Ms", "1500")
		sender := hc
		if kind == "once" && number%2 == 1 {
			req.Method, req.Body, req.GetBody, req.ContentLength = http.MethodGet, nil, nil, 0
			sender = newClient() // on a connection of its own, the library does not send it again
		}
		res, err := sender.Do(req)
		if err == nil {
			cl.checkResponse(id, kind, res)
			cl.countResponse(kind, res.StatusCode)
		}
		if kind == "once" && cl.startCount(id) > 1 {
			cl.recordViolation("request %s ran %d times", id, cl.startCount(id))
		}
		time.Sleep(time.Duration(10+rng.IntN(30)) * time.Millisecond)
	}
}

// sendStream requests one stream at an entry and checks what arrives.
func (cl *cluster) sendStream(id string, entry int) {
	req, err := http.NewRequest(http.MethodPost, "http://"+cl.callerAddrs[entry%entryCount]+"/flow/x", strings.NewReader("body-"+id))
	if err != nil {
		cl.recordViolation("build a request: %v", err)
		return
	}
	req.Host = "h"
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Deadline-Ms", "4000")
	res, err := newClient().Do(req)
	if err == nil {
		cl.checkResponse(id, "flow", res)
	}
}

// resumeStream takes up a stream that broke at any entry, also while all of them start, until
// it is refused finally. What arrives must be the rest of the same text.
func (cl *cluster) resumeStream(id, text string) {
	events := strings.Count(text, "\n\n")
	if events == 0 {
		return
	}
	text = text[:strings.LastIndex(text, "\n\n")+2]
	const tries, pause = 25, 100 * time.Millisecond
	for try := range tries {
		if try > 0 {
			time.Sleep(pause)
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+cl.callerAddrs[(len(text)+try)%entryCount]+"/flow/x", strings.NewReader("body-"+id))
		if err != nil {
			cl.recordViolation("build a request: %v", err)
			return
		}
		req.Host = "h"
		for name, value := range map[string]string{"Request-Id": fmt.Sprintf("%s-again%d", id, try), "Deadline-Ms": "1500"} {
			req.Header.Set("Bilberryshelf-"+name, value)
		}
		req.Header.Set("Last-Event-Id", fmt.Sprint(events))
		req.Header.Set("Resumes", id)
		res, err := newClient().Do(req)
		if err != nil {
			continue
		}
		rest, err := io.ReadAll(res.Body)
		_ = res.Body.Close() // nothing more is read
		if err == nil && res.StatusCode == http.StatusServiceUnavailable && res.Header.Get("Retry-After") == "" {
			return
		}
		if err != nil || res.StatusCode != http.StatusOK {
			continue
		}
		cl.countResponse("resumed", res.StatusCode)
		if text+string(rest) != expectedStream(id) {
			cl.recordViolation("stream %s was resumed after event %d with other events: %.80q", id, events, rest)
		}
		return
	}
}

// expectedStream returns the complete event stream of a request.
func expectedStream(id string) string {
	var text strings.Builder
	for at, line := range stub.Text(id) {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", at+1, line)
	}
	return text.String()
}

func (cl *cluster) checkResponse(id, kind string, res *http.Response) {
	defer res.Body.Close() // a close error after reading is harmless
	body, err := io.ReadAll(res.Body)
	switch {
	case err != nil && kind == "flow":
		cl.resumeStream(id, string(body))
	case err != nil:
	case res.StatusCode == http.StatusOK && kind == "flow":
		if string(body) != expectedStream(id) || res.Header.Get("Bilberryshelf-Response-Stamp") != "stamp-"+id {
			cl.recordViolation("stream %s ended as complete with a wrong body or stamp: %.80q", id, body)
		}
	case res.StatusCode == http.StatusOK:
		want := "body-" + id // the stub answers with the body of the request
		if res.Request.Method == http.MethodGet {
			want = ""
		}
		if string(body) != want || res.Header.Get("Bilberryshelf-Response-Stamp") != "stamp-"+id {
			cl.recordViolation("request %s got the response of another request: %.80q", id, body)
		}
	case res.StatusCode == http.StatusServiceUnavailable && kind != "look":
		if cl.startCount(id) > 0 {
			cl.recordViolation("request %s was refused but ran", id)
		}
	case res.StatusCode == http.StatusNotFound:
		cl.recordViolation("request %s matched no route", id)
	}
}

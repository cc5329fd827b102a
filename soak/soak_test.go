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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/platform/stand"
	"bilberryshelf/poison"
)

var (
	fromSeed = flag.Uint64("soak-from", 1, "the first seed")
	seeds    = flag.Int("soak-seeds", 1, "how many seeds are run")
	span     = flag.Duration("soak-span", 8*time.Second, "how long faults are injected for each seed")
)

// regression is a seed that failed, with the number of kinds of faults that it
// was drawn from.
type regression struct {
	faultKinds int
	cause      string
}

// regressions are the seeds that ever failed.
var regressions = map[uint64]regression{
	4: {faultKinds: 12, cause: "an entry without live peers never tried its direct way to the store again"},
}

func TestMain(m *testing.M) {
	flag.IntVar(&entryCount, "soak-entries", 3, "how many entries a world has")
	flag.IntVar(&engineCount, "soak-engines", 3, "how many engines a world has, each with a guard")
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

func runSeed(t *testing.T, seed uint64, kinds int) {
	t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
		require.Empty(t, runScenario(t, binary, seed, kinds))
	})
}

// runScenario runs one seed with a program and returns the broken promises.
func runScenario(t *testing.T, program string, seed uint64, kinds int) []string {
	wo := newCluster(t, program)
	ctx, cancel := context.WithCancel(t.Context())
	tr := &trainer{cluster: wo, client: newClient(), rng: rand.New(rand.NewPCG(seed, 2)), resubmitRNG: rand.New(rand.NewPCG(seed, 3)), results: map[string][]string{}}
	var group sync.WaitGroup
	group.Go(func() { tr.run(ctx) })
	for at := range 2 {
		group.Go(func() { wo.sendRequests(ctx, rand.New(rand.NewPCG(seed, uint64(10+at))), at) })
	}
	time.Sleep(2 * time.Second)
	in := &injector{cluster: wo, rng: rand.New(rand.NewPCG(seed, 1)), faultKinds: kinds}
	in.run(*span)
	healed := tr.stepCount()
	deadline := time.Now().Add(25 * time.Second)
	for tr.stepCount() < healed+2 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	group.Wait()
	if tr.stepCount() < healed+2 {
		wo.recordViolation("no two steps were whole within 25 s after the last fault")
	}
	wo.checkPoisonSpread()
	wo.checkFinalState(tr)
	t.Logf("faults: %s; steps: %d, requests: %d, answered: %v", strings.Join(in.injected, ", "), tr.stepCount(), wo.startedCount(), wo.okCounts)
	return wo.recordedViolations()
}

// checkPoisonSpread sends a request that crashes whatever runs it, under a new id each time,
// to all entries in turn. It reaches some, as many as condemn it at the most (fewer
// if a target that is down breaks off before it has the request), and none once the
// entries had time to tell each other.
func (wo *cluster) checkPoisonSpread() {
	cl := newClient()
	sent := 0
	send := func() {
		id := fmt.Sprintf("crash%d", sent)
		req, err := http.NewRequest(http.MethodPost, "http://"+wo.callerAddrs[sent%entryCount]+"/once/x", strings.NewReader(stand.Crash))
		if err != nil {
			wo.recordViolation("build a request: %v", err)
			return
		}
		sent++
		req.Host = "h"
		req.Header.Set("Bilberryshelf-Request-Id", id)
		req.Header.Set("Bilberryshelf-Deadline-Ms", "1500")
		res, err := cl.Do(req)
		if err == nil {
			_ = res.Body.Close() // nothing in it is wanted
		}
	}
	const tell = 4 * time.Second
	for range 2 * poison.MaxDeathsAtOne {
		send()
		time.Sleep(500 * time.Millisecond) // both targets may be down
	}
	time.Sleep(tell)
	before := wo.crashCount(sent)
	for range 2 * entryCount {
		send()
	}
	if after := wo.crashCount(sent); before == 0 || before > poison.MaxDeathsAtOne || after > before {
		wo.recordViolation("a request that crashes targets reached %d of them, and %d later", before, after-before)
	}
}

// crashCount counts the targets that the crashing request reached.
func (wo *cluster) crashCount(sent int) int {
	sum := 0
	for at := range sent {
		sum += wo.startCount(fmt.Sprintf("crash%d", at))
	}
	return sum
}

// checkFinalState checks what can only be told at the end.
func (wo *cluster) checkFinalState(tr *trainer) {
	for _, kind := range requestKinds {
		if wo.okCounts[kind] == 0 {
			wo.recordViolation("no request of kind %s was ever answered", kind)
		}
	}
	for _, ta := range wo.engines {
		for _, fault := range ta.Violations() {
			wo.recordViolation("%s: %s", ta.ID, fault)
		}
	}
	for _, id := range tr.refusedJobs {
		for at := range itemsPerJob {
			if wo.startCount(itemID(id, at)) > 0 {
				wo.recordViolation("item %d of job %s ran, though each submission was refused", at, id)
			}
		}
	}
	for job := range tr.results {
		for _, front := range wo.callerAddrs {
			tr.checkResultsAt(front, job)
		}
	}
}

// requestKinds are the paths of plain requests and streams.
var requestKinds = []string{"look", "once", "flow"}

// sendRequests sends plain requests and checks each answer.
func (wo *cluster) sendRequests(ctx context.Context, rng *rand.Rand, worker int) {
	cl := newClient()
	for turn := 0; ctx.Err() == nil; turn++ {
		kind := requestKinds[rng.IntN(len(requestKinds))]
		id := fmt.Sprintf("r%d-%d", worker, turn)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+wo.callerAddrs[rng.IntN(entryCount)]+"/"+kind+"/x", strings.NewReader("body-"+id))
		if err != nil {
			wo.recordViolation("build a request: %v", err)
			return
		}
		req.Host = "h"
		req.Header.Set("Bilberryshelf-Request-Id", id)
		req.Header.Set("Bilberryshelf-Deadline-Ms", "1500")
		res, err := cl.Do(req)
		if err == nil {
			wo.checkResponse(id, kind, res)
			wo.countResponse(kind, res.StatusCode)
		}
		if kind == "once" && wo.startCount(id) > 1 {
			wo.recordViolation("request %s ran %d times", id, wo.startCount(id))
		}
		time.Sleep(time.Duration(10+rng.IntN(30)) * time.Millisecond)
	}
}

// expectedStream is the whole stream of a request.
func expectedStream(id string) string {
	var text strings.Builder
	for at, line := range stand.Text(id) {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", at+1, line)
	}
	return text.String()
}

func (wo *cluster) checkResponse(id, kind string, res *http.Response) {
	defer res.Body.Close() // a failed close of a read body loses nothing
	body, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
	case res.StatusCode == http.StatusOK && kind == "flow":
		if string(body) != expectedStream(id) || res.Header.Get("Bilberryshelf-Response-Stamp") != "stamp-"+id {
			wo.recordViolation("stream %s looks whole and is not: %.80q", id, body)
		}
	case res.StatusCode == http.StatusOK:
		if string(body) != "body-"+id || res.Header.Get("Bilberryshelf-Response-Stamp") != "stamp-"+id {
			wo.recordViolation("request %s got another's answer: %.80q", id, body)
		}
	case res.StatusCode == http.StatusServiceUnavailable && kind != "look":
		if wo.startCount(id) > 0 {
			wo.recordViolation("request %s was refused and has run", id)
		}
	case res.StatusCode == http.StatusNotFound:
		wo.recordViolation("request %s found no route", id)
	}
}

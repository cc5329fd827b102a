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
	kinds int
	cause string
}

// regressions are the seeds that ever failed.
var regressions = map[uint64]regression{
	4: {kinds: 12, cause: "an entry without live peers never tried its direct way to the store again"},
}

func TestMain(m *testing.M) {
	flag.IntVar(&entries, "soak-entries", 3, "how many entries a world has")
	flag.IntVar(&engines, "soak-engines", 3, "how many engines a world has, each with a guard")
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
		run(t, *fromSeed+uint64(at), allKinds)
	}
}

func TestRegressions(t *testing.T) {
	for seed, re := range regressions {
		run(t, seed, re.kinds)
	}
}

func run(t *testing.T, seed uint64, kinds int) {
	t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
		require.Empty(t, play(t, binary, seed, kinds))
	})
}

// play runs one seed with a program and returns the broken promises.
func play(t *testing.T, program string, seed uint64, kinds int) []string {
	wo := newWorld(t, program)
	ctx, cancel := context.WithCancel(t.Context())
	tr := &trainer{world: wo, client: client(), rng: rand.New(rand.NewPCG(seed, 2)), again: rand.New(rand.NewPCG(seed, 3)), known: map[string][]string{}}
	var group sync.WaitGroup
	group.Go(func() { tr.run(ctx) })
	for at := range 2 {
		group.Go(func() { wo.call(ctx, rand.New(rand.NewPCG(seed, uint64(10+at))), at) })
	}
	time.Sleep(2 * time.Second)
	in := &injector{world: wo, rng: rand.New(rand.NewPCG(seed, 1)), kinds: kinds}
	in.run(*span)
	healed := tr.count()
	deadline := time.Now().Add(25 * time.Second)
	for tr.count() < healed+2 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	cancel()
	group.Wait()
	if tr.count() < healed+2 {
		wo.broken("no two steps were whole within 25 s after the last fault")
	}
	wo.crash()
	wo.audit(tr)
	t.Logf("faults: %s; steps: %d, requests: %d, answered: %v", strings.Join(in.done, ", "), tr.count(), wo.begun(), wo.served)
	return wo.found()
}

// crash sends a request that crashes whatever runs it, under a new id each time,
// to all entries in turn. It reaches some, as many as condemn it at the most (fewer
// if a target that is down breaks off before it has the request), and none once the
// entries had time to tell each other.
func (wo *world) crash() {
	cl := client()
	sent := 0
	send := func() {
		id := fmt.Sprintf("crash%d", sent)
		req, err := http.NewRequest(http.MethodPost, "http://"+wo.fronts[sent%entries]+"/once/x", strings.NewReader(stand.Crash))
		if err != nil {
			wo.broken("build a request: %v", err)
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
	before := wo.crashes(sent)
	for range 2 * entries {
		send()
	}
	if after := wo.crashes(sent); before == 0 || before > poison.MaxDeathsAtOne || after > before {
		wo.broken("a request that crashes targets reached %d of them, and %d later", before, after-before)
	}
}

// crashes counts the targets that the crashing request reached.
func (wo *world) crashes(sent int) int {
	sum := 0
	for at := range sent {
		sum += wo.ran(fmt.Sprintf("crash%d", at))
	}
	return sum
}

// audit checks what can only be told at the end.
func (wo *world) audit(tr *trainer) {
	for _, kind := range kinds {
		if wo.served[kind] == 0 {
			wo.broken("no request of kind %s was ever answered", kind)
		}
	}
	for _, ta := range wo.engines {
		for _, fault := range ta.Violations() {
			wo.broken("%s: %s", ta.ID, fault)
		}
	}
	for _, id := range tr.refused {
		for at := range itemsPerJob {
			if wo.ran(itemID(id, at)) > 0 {
				wo.broken("item %d of job %s ran, though each submission was refused", at, id)
			}
		}
	}
	for job := range tr.known {
		for _, front := range wo.fronts {
			tr.reread(front, job)
		}
	}
}

// kinds are the paths of plain requests and streams.
var kinds = []string{"look", "once", "flow"}

// call sends plain requests and checks each answer.
func (wo *world) call(ctx context.Context, rng *rand.Rand, worker int) {
	cl := client()
	for turn := 0; ctx.Err() == nil; turn++ {
		kind := kinds[rng.IntN(len(kinds))]
		id := fmt.Sprintf("r%d-%d", worker, turn)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+wo.fronts[rng.IntN(entries)]+"/"+kind+"/x", strings.NewReader("body-"+id))
		if err != nil {
			wo.broken("build a request: %v", err)
			return
		}
		req.Host = "h"
		req.Header.Set("Bilberryshelf-Request-Id", id)
		req.Header.Set("Bilberryshelf-Deadline-Ms", "1500")
		res, err := cl.Do(req)
		if err == nil {
			wo.judge(id, kind, res)
			wo.count(kind, res.StatusCode)
		}
		if kind == "once" && wo.ran(id) > 1 {
			wo.broken("request %s ran %d times", id, wo.ran(id))
		}
		time.Sleep(time.Duration(10+rng.IntN(30)) * time.Millisecond)
	}
}

// events is the whole stream of a request.
func events(id string) string {
	var text strings.Builder
	for at, line := range stand.Text(id) {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", at+1, line)
	}
	return text.String()
}

func (wo *world) judge(id, kind string, res *http.Response) {
	defer res.Body.Close() // a failed close of a read body loses nothing
	body, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
	case res.StatusCode == http.StatusOK && kind == "flow":
		if string(body) != events(id) || res.Header.Get("Bilberryshelf-Response-Stamp") != "stamp-"+id {
			wo.broken("stream %s looks whole and is not: %.80q", id, body)
		}
	case res.StatusCode == http.StatusOK:
		if string(body) != "body-"+id || res.Header.Get("Bilberryshelf-Response-Stamp") != "stamp-"+id {
			wo.broken("request %s got another's answer: %.80q", id, body)
		}
	case res.StatusCode == http.StatusServiceUnavailable && kind != "look":
		if wo.ran(id) > 0 {
			wo.broken("request %s was refused and has run", id)
		}
	case res.StatusCode == http.StatusNotFound:
		wo.broken("request %s found no route", id)
	}
}

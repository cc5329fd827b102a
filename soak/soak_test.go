package soak_test

import (
	"context"
	"encoding/json"
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
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fake"
	"bilberryshelf/platform/stand"
)

var (
	fromSeed = flag.Uint64("soak-from", 1, "the first seed")
	seeds    = flag.Int("soak-seeds", 1, "how many seeds are run")
	span     = flag.Duration("soak-span", 8*time.Second, "how long faults are injected for each seed")
)

// regressions are the seeds that ever failed, with their cause.
var regressions = map[uint64]string{
	4: "an entry without live peers never tried its direct way to the store again",
}

func TestMain(m *testing.M) {
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
		run(t, *fromSeed+uint64(at))
	}
}

func TestRegressions(t *testing.T) {
	for seed := range regressions {
		run(t, seed)
	}
}

func run(t *testing.T, seed uint64) {
	t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
		wo := newWorld(t, binary)
		ctx, cancel := context.WithCancel(t.Context())
		tr := &trainer{world: wo, client: client(), rng: rand.New(rand.NewPCG(seed, 2)), known: map[string][]string{}}
		var group sync.WaitGroup
		group.Go(func() { tr.run(ctx) })
		for at := range 2 {
			group.Go(func() { wo.call(ctx, rand.New(rand.NewPCG(seed, uint64(10+at))), at) })
		}
		time.Sleep(2 * time.Second)
		in := &injector{world: wo, rng: rand.New(rand.NewPCG(seed, 1))}
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
		wo.audit(tr)
		t.Logf("faults: %s; steps: %d, requests: %d", strings.Join(in.done, ", "), tr.count(), wo.begun())
		t.Logf("answered: %v", wo.served)
		require.Empty(t, wo.found())
	})
}

// audit checks what can only be told at the end.
func (wo *world) audit(tr *trainer) {
	for _, kind := range kinds {
		if wo.served[kind] == 0 {
			wo.broken("no request of kind %s was ever answered", kind)
		}
	}
	for _, ta := range wo.engines {
		for _, fault := range ta.Faults() {
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
	defer res.Body.Close() //nolint:errcheck // a failed close of a read body loses nothing
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

// injector injects faults, in series and overlapping.
type injector struct {
	world *world
	rng   *rand.Rand
	done  []string
	group sync.WaitGroup
}

func (in *injector) run(span time.Duration) {
	end := time.Now().Add(span)
	for time.Now().Before(end) {
		in.inject()
		time.Sleep(time.Duration(200+in.rng.IntN(1500)) * time.Millisecond)
	}
	in.group.Wait()
	in.world.rows.Set(fake.RowFaults{})
	for _, li := range in.world.links {
		li.set(pass)
	}
}

// for a while runs the two ends of a fault around a pause.
func (in *injector) during(name string, begin, end func()) {
	pause := time.Duration(300+in.rng.IntN(3500)) * time.Millisecond
	in.done = append(in.done, fmt.Sprintf("%s %v", name, pause))
	in.group.Go(func() {
		begin()
		time.Sleep(pause)
		end()
	})
}

// busy marks processes whose restart is under way.
var busy sync.Map

func (in *injector) once(pr *process, name string, do func()) {
	if _, taken := busy.LoadOrStore(pr, true); taken {
		return
	}
	in.done = append(in.done, name+" "+pr.name)
	in.group.Go(func() {
		defer busy.Delete(pr)
		do()
	})
}

func (in *injector) inject() {
	wo := in.world
	entry, guard := wo.entries[in.rng.IntN(entries)], wo.guards[in.rng.IntN(engines)]
	link, engine := wo.links[in.rng.IntN(entries)], wo.engines[in.rng.IntN(engines)]
	pause := time.Duration(500+in.rng.IntN(4000)) * time.Millisecond
	store := func(fa fake.RowFaults) func() { return func() { wo.rows.Set(fa) } }
	switch in.rng.IntN(12) {
	case 0:
		in.once(entry, "kill", func() { wo.restart(entry, syscall.SIGKILL) })
	case 1:
		in.once(entry, "stop", func() { wo.restart(entry, syscall.SIGTERM) })
	case 2:
		in.once(entry, "pause", func() {
			entry.signal(syscall.SIGSTOP)
			time.Sleep(pause)
			entry.signal(syscall.SIGCONT)
		})
	case 3:
		in.once(guard, "kill", func() { wo.restart(guard, syscall.SIGKILL) })
	case 4:
		in.during("engine dark", func() { engine.SetDark(true) }, func() { engine.SetDark(false) })
	case 5:
		in.during("link silent", func() { link.set(silent) }, func() { link.set(pass); link.reset() })
	case 6:
		in.during("link one way", func() { link.set(oneWay) }, func() { link.set(pass); link.reset() })
	case 7:
		in.during("link slow", func() { link.set(slow) }, func() { link.set(pass) })
	case 8:
		in.during("link reset", link.reset, link.reset)
	case 9:
		in.during("store refuses", store(fake.RowFaults{Refuse: true}), store(fake.RowFaults{}))
	case 10:
		in.during("answers lost", store(fake.RowFaults{LoseAnswers: 3, LateWrites: 2, Late: time.Second}), store(fake.RowFaults{}))
	case 11:
		in.during("history dropped", wo.rows.Compact, func() {})
	}
}

const itemsPerJob = 24

func itemID(job string, at int) string { return fmt.Sprintf("%s-i%d", job, at) }

// trainer submits a step, reads it, ends it and names the next version.
type trainer struct {
	world   *world
	client  *http.Client
	rng     *rand.Rand
	version uint64
	refused []string

	mutex sync.Mutex
	steps int
	// known holds the ids of a job's results as they were read, by position.
	known map[string][]string
}

func (tr *trainer) count() int {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	return tr.steps
}

func (tr *trainer) run(ctx context.Context) {
	tr.version = 1
	for step := 0; ctx.Err() == nil; step++ {
		job := fmt.Sprintf("j%d", step)
		if !tr.submit(ctx, job, step) {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		if !tr.read(ctx, job) {
			continue
		}
		tr.end(ctx, job)
		tr.version++
		tr.world.put("op", "version/m", fmt.Sprintf(`{"model":"m","version":%d}`, tr.version))
		tr.mutex.Lock()
		tr.steps++
		tr.mutex.Unlock()
	}
}

func (tr *trainer) ask(ctx context.Context, method, front, path, id string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set("Bilberryshelf-Request-Id", id)
	req.Header.Set("Bilberryshelf-Wait-Ms", "500")
	return tr.client.Do(req)
}

func (tr *trainer) front() string { return tr.world.fronts[tr.rng.IntN(entries)] }

// submit tries a few entries. A job is refused if each try was, truthfully.
func (tr *trainer) submit(ctx context.Context, job string, step int) bool {
	items := []map[string]any{}
	for at := range itemsPerJob {
		items = append(items, map[string]any{"id": itemID(job, at), "path": "/train/i", "group": fmt.Sprint(at / 4), "tokens": 100, "body": []byte("x")})
	}
	oldest := max(tr.version, 2) - 1
	body, err := json.Marshal(map[string]any{"step": step, "model": "m", "min_version": oldest, "target_groups": itemsPerJob / 4, "requests": items})
	if err != nil {
		tr.world.broken("encode a job: %v", err)
		return false
	}
	refused := true
	for range 4 {
		res, err := tr.ask(ctx, http.MethodPost, tr.front(), "/train/x", job, body)
		if err == nil {
			_ = res.Body.Close() // nothing in it is wanted
			if res.StatusCode == http.StatusAccepted {
				return true
			}
		}
		refused = refused && err == nil && res.StatusCode == http.StatusServiceUnavailable
		time.Sleep(150 * time.Millisecond)
	}
	if refused && ctx.Err() == nil {
		tr.refused = append(tr.refused, job)
	}
	return false
}

// read reads a job until it is whole.
func (tr *trainer) read(ctx context.Context, job string) bool {
	deadline := time.Now().Add(45 * time.Second)
	for ctx.Err() == nil {
		if time.Now().After(deadline) {
			tr.world.broken("job %s is not whole after 45 s: %d listed", job, len(tr.known[job]))
			return false
		}
		from := len(tr.known[job])
		if tr.rng.IntN(8) == 0 {
			from = tr.rng.IntN(from + 1)
		}
		tr.page(ctx, tr.front(), job, from)
		if len(tr.known[job]) == itemsPerJob {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (tr *trainer) reread(front, job string) {
	for range 40 {
		if count := tr.page(context.Background(), front, job, 0); count >= 0 {
			if count < len(tr.known[job]) {
				tr.world.broken("%s lists %d of %d results of %s that were read", front, count, len(tr.known[job]), job)
			}
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	tr.world.broken("job %s can't be read at %s after all faults", job, front)
}

// page reads once and checks each result. It returns the number of results, or
// -1 without an answer.
func (tr *trainer) page(ctx context.Context, front, job string, from int) int {
	res, err := tr.ask(ctx, http.MethodGet, front, fmt.Sprintf("/bilberryshelf/lots/%s?after=%d", job, from), "read", nil)
	if err != nil {
		return -1
	}
	defer res.Body.Close() //nolint:errcheck // a failed close of a read body loses nothing
	if res.StatusCode == http.StatusNotFound {
		tr.world.broken("%s knows no job %s", front, job)
	}
	if res.StatusCode != http.StatusOK {
		return -1
	}
	li, err := decode(res)
	if err != nil {
		return -1
	}
	for at, re := range li.Results {
		known := tr.known[job]
		switch {
		case re.State != "completed" || re.Text != strings.Join(stand.Text(re.ID), "\n"):
			tr.world.broken("result %s of %s is %s with another text", re.ID, job, re.State)
		case from+at < len(known) && known[from+at] != re.ID:
			tr.world.broken("position %d of %s holds %s, and held %s", from+at, job, re.ID, known[from+at])
		case from+at == len(known):
			for _, id := range known {
				if id == re.ID {
					tr.world.broken("item %s of %s stands twice", re.ID, job)
				}
			}
			tr.known[job] = append(known, re.ID)
		}
		for _, ve := range re.Versions {
			if ve+1 < tr.version && from+at >= len(known) {
				tr.world.broken("result %s was made by version %d, below %d", re.ID, ve, tr.version-1)
			}
		}
	}
	return len(li.Results)
}

func (tr *trainer) end(ctx context.Context, job string) {
	for ctx.Err() == nil {
		res, err := tr.ask(ctx, http.MethodDelete, tr.front(), "/bilberryshelf/lots/"+job, "end", nil)
		if err == nil {
			_ = res.Body.Close() // nothing in it is wanted
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

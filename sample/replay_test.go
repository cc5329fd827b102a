package sample_test

import (
	"encoding/csv"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/route"
	"bilberryshelf/sample"
)

var report = flag.Bool("report", false, "print the metrics of the replay")

// The replay runs a recorded trace (sample lengths, crashes, failed swaps)
// against the real step and the real choice of targets, in virtual time, for the
// two specified deployments. The engines are simplified to what idle time and
// staleness depend on: they get slower as the batch grows, swap weights while
// sequences are in progress, and crash.

// deployment is one of the specified deployments, with its preset.
type deployment struct {
	name      string
	workers   int
	slots     int
	groupSize int
	train     time.Duration
	staleness uint64
}

// Tinta gives priority to low idle time, so its samples may be two versions
// behind. Harmattan gives priority to low staleness, so its samples may be one
// version behind.
var deployments = []deployment{
	{"tinta", 12, 512, 8, 200 * time.Second, 2},
	{"harmattan", 8, 256, 8, 200 * time.Second, 1},
}

const (
	replaySteps   = 12
	tokenTime     = 20 * time.Millisecond
	batchSlowdown = 64.0
	batchSize     = 32
	swapTime      = 2 * time.Second
	swapSpacing   = 500 * time.Millisecond
	restartTime   = 40 * time.Second
	slowFactor    = 3.0
)

// trace holds the recorded sample lengths, crashes and failed swaps.
type trace struct {
	lengths     []float64
	crashes     []crash
	failedSwaps map[string]bool
}

// crash is the crash of a worker, with its time from the start of the replay.
type crash struct {
	worker int
	at     time.Duration
}

func readTrace(t *testing.T) trace {
	t.Helper()
	tr := trace{failedSwaps: map[string]bool{}}
	file, err := os.Open("testdata/trace.csv")
	require.NoError(t, err)
	defer file.Close() // opened read-only, nothing to flush
	rows, err := csv.NewReader(file).ReadAll()
	require.NoError(t, err)
	for _, row := range rows[1:] {
		value, err := strconv.ParseFloat(row[2], 64)
		require.NoError(t, err)
		switch row[0] {
		case "length":
			tr.lengths = append(tr.lengths, value)
		case "crash":
			worker, err := strconv.Atoi(row[1])
			require.NoError(t, err)
			tr.crashes = append(tr.crashes, crash{worker: worker, at: time.Duration(value * float64(time.Second))})
		case "swap-failed":
			tr.failedSwaps[fmt.Sprintf("%s/%s", row[1], row[2])] = true
		}
	}
	return tr
}

// length returns the length of the sample of a slot in tokens. It is the same for
// every run of the slot.
func (tr trace) length(step int, sl sample.Slot) float64 {
	return tr.lengths[(step*977+sl.Group*31+sl.Index)%len(tr.lengths)]
}

// generation is a sequence in progress on a worker.
type generation struct {
	step     int
	job      sample.Job
	left     float64
	segments []sample.Segment
	produced float64
	began    time.Duration
}

// worker is a simplified engine.
type worker struct {
	generations []*generation
	version     uint64
	down        bool
	slow        float64
	health      route.Health
}

// tokenSeconds returns the seconds per token at the current batch size.
func (wk *worker) tokenSeconds() float64 {
	return tokenTime.Seconds() * (1 + float64(len(wk.generations))/batchSlowdown) * wk.slow
}

// advance generates tokens for the given time.
func (wk *worker) advance(span time.Duration) {
	if len(wk.generations) == 0 {
		return
	}
	tokens := span.Seconds() / wk.tokenSeconds()
	for _, ge := range wk.generations {
		ge.left -= tokens
		ge.produced += tokens
		last := len(ge.segments) - 1
		if last < 0 || ge.segments[last].Version != wk.version {
			ge.segments = append(ge.segments, sample.Segment{Version: wk.version, Tokens: 1})
			last++
		}
		ge.segments[last].Tokens = int(ge.produced)
	}
}

// nextFinish returns the time until the first sequence finishes, or -1 if there
// is none.
func (wk *worker) nextFinish() time.Duration {
	shortest := -1.0
	for _, ge := range wk.generations {
		if shortest < 0 || ge.left < shortest {
			shortest = ge.left
		}
	}
	if shortest < 0 {
		return -1
	}
	return time.Duration(max(shortest, 0)*wk.tokenSeconds()*float64(time.Second)) + time.Microsecond
}

// policy is one of the scheduling policies that are compared.
type policy struct {
	name string
	// maxAhead is how many versions before its own a step may start; zero means
	// synchronous rounds.
	maxAhead uint64
	// healthAware places by load and health; otherwise placement is round robin.
	healthAware bool
	// extra allows extra runs of stragglers.
	extra bool
}

// metrics holds the results of a replay.
type metrics struct {
	idle      time.Duration
	total     time.Duration
	staleness []uint64
	wasted    int
	tooOld    int
	overBound int
}

func (me metrics) idleShare() float64 { return me.idle.Seconds() / me.total.Seconds() }

func (me metrics) mean() float64 {
	sum := 0.0
	for _, st := range me.staleness {
		sum += float64(st)
	}
	return sum / float64(len(me.staleness))
}

// event is an action due at a time.
type event struct {
	at time.Duration
	do func()
}

// replay is the state of a replay of one policy on one deployment.
type replay struct {
	deployment
	policy
	trace
	now        time.Duration
	workers    []*worker
	steps      map[int]*sample.Step
	events     []event
	random     *rand.Rand
	nextWorker int
	version    uint64
	neededStep int // the step that the trainer needs next
	training   bool
	idleSince  time.Duration
	received   map[int]int
	me         metrics
}

var origin = time.Unix(0, 0)

func (re *replay) clock() time.Time { return origin.Add(re.now) }

func (re *replay) after(span time.Duration, do func()) {
	re.events = append(re.events, event{re.now + span, do})
}

func run(de deployment, po policy, tr trace) metrics {
	re := &replay{
		deployment: de, policy: po, trace: tr, steps: map[int]*sample.Step{}, received: map[int]int{},
		random: rand.New(rand.NewPCG(7, 7)), version: 1, neededStep: 1,
	}
	for at := range de.workers {
		wk := &worker{version: 1, slow: 1}
		if at == 1 {
			wk.slow = slowFactor // one worker is slow throughout
		}
		re.workers = append(re.workers, wk)
	}
	for _, cr := range tr.crashes {
		re.events = append(re.events, event{cr.at, func() { re.crash(cr.worker % de.workers) }})
	}
	re.openSteps()
	for re.neededStep <= replaySteps && re.now < 10*time.Hour {
		re.start()
		re.trainIfReady()
		re.advanceTime()
	}
	re.me.total = re.now
	return re.me
}

// Checks P2 and compares idle time and staleness with two baselines that place
// round robin and start no extra runs: synchronous rounds, and one step ahead.
func TestReplay(t *testing.T) {
	tr := readTrace(t)
	for _, de := range deployments {
		t.Run(de.name, func(t *testing.T) {
			results := map[string]metrics{}
			for _, po := range []policy{
				{name: "synchronous"},
				{name: "one step off", maxAhead: 1},
				{name: "ours", maxAhead: de.staleness, healthAware: true, extra: true},
			} {
				me := run(de, po, tr)
				results[po.name] = me
				require.Zero(t, me.overBound, "%s: samples over the bound", po.name)
				require.Len(t, me.staleness, de.slots*replaySteps, po.name)
				if *report {
					slices.Sort(me.staleness)
					t.Logf("%-10s %-13s idle %5.1f%%  staleness mean %.2f p50 %d p99 %d  too old %d  wasted tokens %d  steps in %v", de.name, po.name,
						me.idleShare()*100, me.mean(), me.staleness[len(me.staleness)/2], me.staleness[len(me.staleness)*99/100], me.tooOld, me.wasted, me.total.Round(time.Second))
				}
			}
			better := min(results["synchronous"].idleShare(), results["one step off"].idleShare())
			require.LessOrEqual(t, results["ours"].idleShare(), better/2, "idle share against the better baseline")
		})
	}
}

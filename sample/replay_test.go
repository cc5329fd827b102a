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

var report = flag.Bool("report", false, "print the measures of the replay")

// A recorded trace (lengths of answers, crashes, failed swaps) is replayed
// against the real step and the real choice of targets, in virtual time, for
// the two deployments of the brief. The engines are reduced to what the two
// measures depend on: they share their speed among their sequences, swap
// weights in the middle of them, and crash.

// deployment is one of the brief's, with its preset.
type deployment struct {
	name      string
	workers   int
	slots     int
	groupSize int
	train     time.Duration
	staleness uint64
}

// Tinta weighs idle time, so its steps may be two versions behind; Harmattan
// weighs staleness, so its steps may be one behind.
var deployments = []deployment{
	{"tinta", 12, 512, 8, 200 * time.Second, 2},
	{"harmattan", 8, 256, 8, 200 * time.Second, 1},
}

const (
	replaySteps  = 12
	tokenTime    = 20 * time.Millisecond
	batchSlowing = 64.0
	batchSize    = 32
	swapTakes    = 2 * time.Second
	swapSpacing  = 500 * time.Millisecond
	crashTakes   = 40 * time.Second
	slowFactor   = 3.0
)

// trace is what was recorded.
type trace struct {
	lengths []float64
	crashes []crash
	fails   map[string]bool
}

// crash takes a worker down at a time.
type crash struct {
	worker int
	at     time.Duration
}

func readTrace(t *testing.T) trace {
	t.Helper()
	tr := trace{fails: map[string]bool{}}
	file, err := os.Open("testdata/trace.csv")
	require.NoError(t, err)
	defer file.Close() // a file that was read
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
			tr.fails[fmt.Sprintf("%s/%s", row[1], row[2])] = true
		}
	}
	return tr
}

// length is that of a slot, the same whoever generates it.
func (tr trace) length(step int, sl sample.Slot) float64 {
	return tr.lengths[(step*977+sl.Group*31+sl.Index)%len(tr.lengths)]
}

// gen is a generation on a worker.
type gen struct {
	step     int
	job      sample.Job
	left     float64
	segments []sample.Segment
	produced float64
	began    time.Duration
}

// worker is a reduced engine.
type worker struct {
	gens    []*gen
	version uint64
	down    bool
	slow    float64
	health  route.Health
}

// pace is the time of a token in the present batch.
func (wk *worker) pace() float64 {
	return tokenTime.Seconds() * (1 + float64(len(wk.gens))/batchSlowing) * wk.slow
}

// advance produces tokens for a span.
func (wk *worker) advance(span time.Duration) {
	if len(wk.gens) == 0 {
		return
	}
	tokens := span.Seconds() / wk.pace()
	for _, ge := range wk.gens {
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

// next is when the first generation ends.
func (wk *worker) next() time.Duration {
	least := -1.0
	for _, ge := range wk.gens {
		if least < 0 || ge.left < least {
			least = ge.left
		}
	}
	if least < 0 {
		return -1
	}
	return time.Duration(max(least, 0)*wk.pace()*float64(time.Second)) + time.Microsecond
}

// policy is what is compared.
type policy struct {
	name string
	// ahead is how many versions before its own a step may start; zero is
	// synchronous rounds.
	ahead uint64
	// chosen places by load and health; otherwise by turns.
	chosen bool
	// extra lets stragglers run a second time.
	extra bool
}

// measures are what came out.
type measures struct {
	idle      time.Duration
	total     time.Duration
	staleness []uint64
	wasted    int
	tooOld    int
	overBound int
}

func (me measures) idleShare() float64 { return me.idle.Seconds() / me.total.Seconds() }

func (me measures) mean() float64 {
	sum := 0.0
	for _, st := range me.staleness {
		sum += float64(st)
	}
	return sum / float64(len(me.staleness))
}

// event is something at a time.
type event struct {
	at time.Duration
	do func()
}

// replay is one run.
type replay struct {
	deployment
	policy
	trace
	now     time.Duration
	workers []*worker
	steps   map[int]*sample.Step
	events  []event
	random  *rand.Rand
	turn    int
	version uint64
	wanted  int // the step that the trainer needs next
	busy    bool
	waiting time.Duration
	have    map[int]int
	me      measures
}

var origin = time.Unix(0, 0)

func (re *replay) clock() time.Time { return origin.Add(re.now) }

func (re *replay) after(span time.Duration, do func()) {
	re.events = append(re.events, event{re.now + span, do})
}

func run(de deployment, po policy, tr trace) measures {
	re := &replay{
		deployment: de, policy: po, trace: tr, steps: map[int]*sample.Step{}, have: map[int]int{},
		random: rand.New(rand.NewPCG(7, 7)), version: 1, wanted: 1,
	}
	for at := range de.workers {
		wk := &worker{version: 1, slow: 1}
		if at == 1 {
			wk.slow = slowFactor // one worker is slow all day
		}
		re.workers = append(re.workers, wk)
	}
	for _, cr := range tr.crashes {
		re.events = append(re.events, event{cr.at, func() { re.crash(cr.worker % de.workers) }})
	}
	re.openSteps()
	for re.wanted <= replaySteps && re.now < 10*time.Hour {
		re.start()
		re.trainIfReady()
		re.forward()
	}
	re.me.total = re.now
	return re.me
}

// P2 and the two measures: idle time and staleness, against synchronous rounds
// by turns and against one step ahead by turns, without second runs.
func TestReplay(t *testing.T) {
	tr := readTrace(t)
	for _, de := range deployments {
		t.Run(de.name, func(t *testing.T) {
			results := map[string]measures{}
			for _, po := range []policy{
				{name: "synchronous"},
				{name: "one step off", ahead: 1},
				{name: "ours", ahead: de.staleness, chosen: true, extra: true},
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

package place_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bilberryshelf/fleet"
	"bilberryshelf/place"
)

// replay is a step of items on engines in virtual time: 84 items in groups of
// four, a twelfth of them five times as long as the others, an estimate that is
// right at the median only, engines of twelve slots. It is the load of a high
// day of the sheets.
type replay struct {
	engines []place.Engine
	// slowFrom lets the first engine take slowBy times as long from then on; dark
	// lets it make no events at all.
	slowFrom time.Duration
	slowBy   float64
	// linkCost is what a run loses at its start on an engine of another region.
	linkCost time.Duration
	// The decisions that are switched off.
	noSort, noMove, noRegion, noProbe, noMovePriority bool
	// idleSlow tells that the first engine was slow when it was last measured, a while
	// ago, and still is.
	idleSlow bool
}

const (
	pace     = 40 * time.Millisecond
	timeStep = 10 * time.Millisecond
	// paceDelay is how late the pace of an engine is known.
	paceDelay = 300 * time.Millisecond
)

type simItem struct {
	place.Item
	remainingEvents float64
	engine          int
	started         time.Duration
	lastEvent       time.Duration
	doneAt          time.Duration
}

func items(seed uint64) []*simItem {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]*simItem, 84)
	for at := range out {
		events := 18 * math.Exp(0.84*rng.NormFloat64()-0.35)
		if rng.Float64() < 0.08 {
			events *= 5
		}
		events = min(max(events, 1), 181)
		hint := events * math.Exp(0.5*rng.NormFloat64())
		out[at] = &simItem{
			Item:            place.Item{Index: at, Group: string(rune('a' + at/4)), RemainingTokens: int(hint), Load: 1, Oldest: 1},
			remainingEvents: events, engine: -1,
		}
	}
	return out
}

// run returns when nine tenths of the groups were whole.
func (re replay) run(seed uint64) time.Duration {
	work := items(seed)
	for now := time.Duration(0); now < time.Minute; now += timeStep {
		re.advance(now, work)
		re.place(now, work)
		if at, whole := groups(work); whole >= 19 {
			return at
		}
	}
	return time.Minute
}

// longest returns when the longest item was done.
func (re replay) longest(seed uint64) time.Duration {
	work := items(seed)
	last := slices.MaxFunc(work, func(lhs, rhs *simItem) int { return cmp.Compare(lhs.remainingEvents, rhs.remainingEvents) })
	for now := time.Duration(0); now < time.Minute && last.doneAt == 0; now += timeStep {
		re.advance(now, work)
		re.place(now, work)
	}
	return last.doneAt
}

func (re replay) paceOf(now time.Duration, engine int) float64 {
	if engine == 0 && re.slowBy > 0 && now >= re.slowFrom {
		return float64(pace) * re.slowBy
	}
	return float64(pace)
}

func (re replay) advance(now time.Duration, work []*simItem) {
	for at := range re.engines {
		re.engines[at].Pace = time.Duration(re.paceOf(now-paceDelay, at))
	}
	if re.idleSlow && !slices.ContainsFunc(work, func(it *simItem) bool { return it.engine == 0 && now-it.started >= paceDelay }) {
		re.engines[0].Pace, re.engines[0].PaceStale = time.Duration(re.slowBy*float64(pace)), true
	} else {
		re.engines[0].PaceStale = false
	}
	for _, it := range work {
		if it.engine < 0 || it.doneAt > 0 {
			continue
		}
		before := int(it.remainingEvents)
		it.remainingEvents -= float64(timeStep) / re.paceOf(now, it.engine)
		if int(it.remainingEvents) != before {
			it.lastEvent = now
		}
		if it.remainingEvents <= 0 {
			it.doneAt = now
			re.engines[it.engine].Running--
			re.engines[it.engine].Load--
		}
	}
}

// queue lists the items that wait, and those that should leave their engines.
func (re replay) queue(now time.Duration, work []*simItem, scene *place.Snapshot) []place.Item {
	var queue []place.Item
	for _, it := range work {
		wi := it.Item
		switch {
		case it.doneAt > 0:
			continue
		case it.engine >= 0:
			wi.Avoid = re.engines[it.engine].ID
			wi.MoveReason = scene.MoveReason(place.Run{
				Engine: wi.Avoid, SinceLastEvent: now - max(it.lastEvent, it.started), Started: it.lastEvent > it.started,
			})
			if re.noMove || wi.MoveReason == "" {
				continue
			}
		}
		queue = append(queue, wi)
	}
	return queue
}

func (re replay) place(now time.Duration, work []*simItem) {
	scene := place.NewSnapshot(re.view())
	queue := re.queue(now, work, scene)
	if !re.noSort {
		place.SortItems(queue)
	}
	if at, last, found := scene.Probe(queue); found && !re.noProbe {
		re.assign(now, work[queue[last].Index], at)
		scene.Assign(at, queue[last])
		queue = queue[:last]
	}
	if re.noMovePriority {
		slices.SortStableFunc(queue, func(lhs, rhs place.Item) int { return cmp.Compare(len(lhs.MoveReason), len(rhs.MoveReason)) })
	}
	for _, wi := range queue {
		if at := scene.Choose(wi); at >= 0 {
			scene.Assign(at, wi)
			re.assign(now, work[wi.Index], at)
		}
	}
}

// assign puts an item on an engine, away from the one where it may have been.
func (re replay) assign(now time.Duration, it *simItem, at int) {
	if it.engine >= 0 {
		re.engines[it.engine].Running--
		re.engines[it.engine].Load--
		it.Avoid = re.engines[it.engine].ID
	}
	re.engines[at].Running++
	re.engines[at].Load++
	it.engine, it.started = at, now
	if re.engines[at].Distance == fleet.OtherRegion {
		it.remainingEvents += float64(re.linkCost) / float64(pace)
	}
}

// view is what the decision knows of the engines.
func (re replay) view() []place.Engine {
	seen := slices.Clone(re.engines)
	for at := range seen {
		if re.noRegion {
			seen[at].Distance = fleet.SameRegion
		}
		if re.noProbe && seen[at].PaceStale {
			seen[at].Pace = 0 // what was measured long ago is forgotten
		}
	}
	return seen
}

func groups(work []*simItem) (at time.Duration, whole int) {
	for from := 0; from < len(work); from += 4 {
		var latest time.Duration
		done := !slices.ContainsFunc(work[from:from+4], func(it *simItem) bool {
			latest = max(latest, it.doneAt)
			return it.doneAt == 0
		})
		if done {
			whole++
			at = max(at, latest)
		}
	}
	return at, whole
}

func engines(count int) []place.Engine {
	out := make([]place.Engine, count)
	for at := range out {
		out[at] = place.Engine{ID: string(rune('A' + at)), Slots: 12, Version: 1, Pace: pace}
	}
	return out
}

// meanStep is the mean time of a step over many seeds.
func meanStep(re replay, count int) time.Duration { return meanOver(re, count, replay.run) }

// meanLongest is the mean time of the longest item over many seeds.
func meanLongest(re replay, count int) time.Duration { return meanOver(re, count, replay.longest) }

func meanOver(re replay, count int, run func(replay, uint64) time.Duration) time.Duration {
	var sum time.Duration
	const seeds = 60
	for seed := range uint64(seeds) {
		re.engines = engines(count)
		sum += run(re, seed)
	}
	return sum / seeds
}

// Without leaving, a step lasts as long as the long items on the slow engine.
func TestReplaySlowEngine(t *testing.T) {
	slow := replay{slowFrom: time.Second, slowBy: 3.5}
	stay := slow
	stay.noMove = true
	with, without, calm := meanStep(slow, 6), meanStep(stay, 6), meanStep(replay{}, 6)
	t.Logf("calm %v, leaving %v, staying %v", calm, with, without)
	// The same bound holds with the decision and does not hold without it.
	require.Less(t, with, calm*115/100)
	require.Greater(t, without, calm*115/100)
}

// The load pattern: no engine but the slow one has room as it turns slow, since
// short items wait for every slot. The long items on it have their turn first.
func TestReplaySlowAndFull(t *testing.T) {
	slow := replay{slowFrom: 100 * time.Millisecond, slowBy: 3.5}
	last := slow
	last.noMovePriority = true
	with, without, calm := meanLongest(slow, 3), meanLongest(last, 3), meanLongest(replay{}, 3)
	t.Logf("longest item: calm %v, with a turn %v, when nothing waits %v", calm, with, without)
	// The same bound holds with the decision and does not hold without it.
	require.Less(t, with, calm+paceDelay)
	require.Greater(t, without, calm+paceDelay)
}

// The load pattern: an engine that was slow before the step still is, and
// nothing was measured on it in between. The longest items don't find out.
func TestReplayProbe(t *testing.T) {
	idle := replay{slowBy: 3.5, idleSlow: true}
	blind := idle
	blind.noProbe = true
	with, without := meanLongest(idle, 6), meanLongest(blind, 6)
	t.Logf("probed with a short item %v, with whatever comes %v", with, without)
	require.Less(t, with, without-paceDelay/4, "it would lose most of the time until the pace is known, where it is on that engine")
}

// An engine that falls dark holds a step for no longer than the stall.
func TestReplaySilentEngine(t *testing.T) {
	dark := replay{slowFrom: time.Second, slowBy: 1e9}
	with, calm := meanStep(dark, 6), meanStep(replay{}, 6)
	t.Logf("calm %v, dark %v", calm, with)
	require.Less(t, with, calm+2*place.StallTimeout)
}

// With fewer slots than items, the long items go first.
func TestReplayOrder(t *testing.T) {
	with, without := meanStep(replay{}, 3), meanStep(replay{noSort: true}, 3)
	t.Logf("ordered %v, as they came %v", with, without)
	require.Less(t, with, without*95/100)
}

// The load pattern: half of the engines stand beyond a link between regions,
// which a run pays for at its start. The long items stay in the region.
func TestReplayRegions(t *testing.T) {
	run := func(off bool) (sum time.Duration) {
		const seeds = 60
		for seed := range uint64(seeds) {
			re := replay{engines: engines(8), linkCost: linkLatency, noRegion: off}
			for at := range re.engines {
				re.engines[at].Distance = fleet.Distance(1 + at%2)
			}
			sum += re.run(seed)
		}
		return sum / seeds
	}
	with, without := run(false), run(true)
	t.Logf("in the region %v, anywhere %v", with, without)
	require.Less(t, with, without-linkLatency/4, "a good part of the link's time is saved")
}

// linkLatency is what a run beyond the link was seen to lose: tnc-rollout-grown,
// quiet-1, 740 runs.
const linkLatency = 85 * time.Millisecond

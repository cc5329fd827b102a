package place_test

import (
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
	// beyond is what a run loses at its start on an engine of another region.
	beyond time.Duration
	// The decisions that are switched off.
	noOrder, noLeave, noRegion bool
}

const (
	pace  = 40 * time.Millisecond
	slice = 10 * time.Millisecond
)

type sim struct {
	place.Item
	left    float64
	engine  int
	started time.Duration
	last    time.Duration
	done    time.Duration
}

func items(seed uint64) []*sim {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]*sim, 84)
	for at := range out {
		events := 18 * math.Exp(0.84*rng.NormFloat64()-0.35)
		if rng.Float64() < 0.08 {
			events *= 5
		}
		events = min(max(events, 1), 181)
		hint := events * math.Exp(0.5*rng.NormFloat64())
		out[at] = &sim{
			Item: place.Item{Index: at, Group: string(rune('a' + at/4)), Size: int(hint), Oldest: 1},
			left: events, engine: -1,
		}
	}
	return out
}

// run returns when nine tenths of the groups were whole.
func (re replay) run(seed uint64) time.Duration {
	work := items(seed)
	for now := time.Duration(0); now < time.Minute; now += slice {
		re.advance(now, work)
		if !re.noLeave {
			re.leave(now, work)
		}
		re.place(now, work)
		if at, whole := groups(work); whole >= 19 {
			return at
		}
	}
	return time.Minute
}

func (re replay) paceOf(now time.Duration, engine int) float64 {
	if engine == 0 && re.slowBy > 0 && now >= re.slowFrom {
		return float64(pace) * re.slowBy
	}
	return float64(pace)
}

func (re replay) advance(now time.Duration, work []*sim) {
	for at := range re.engines {
		re.engines[at].Pace = time.Duration(re.paceOf(now-300*time.Millisecond, at)) // known a little late
	}
	for _, it := range work {
		if it.engine < 0 || it.done > 0 {
			continue
		}
		before := int(it.left)
		it.left -= float64(slice) / re.paceOf(now, it.engine)
		if int(it.left) != before {
			it.last = now
		}
		if it.left <= 0 {
			it.done = now
			re.engines[it.engine].Running--
			re.engines[it.engine].Load--
		}
	}
}

func (re replay) leave(now time.Duration, work []*sim) {
	for _, it := range work {
		if it.engine < 0 || it.done > 0 {
			continue
		}
		ru := place.Run{Engine: re.engines[it.engine].ID, Oldest: 1, Silent: now - max(it.last, it.started), Started: it.last > it.started}
		if place.Leave(re.engines, ru) {
			re.engines[it.engine].Running--
			re.engines[it.engine].Load--
			it.Avoid, it.engine = re.engines[it.engine].ID, -1
		}
	}
}

func (re replay) place(now time.Duration, work []*sim) {
	var queue []place.Item
	for _, it := range work {
		if it.engine < 0 && it.done == 0 {
			queue = append(queue, it.Item)
		}
	}
	if !re.noOrder {
		place.Order(queue)
	}
	for _, wi := range queue {
		at := place.Choose(re.seen(), wi)
		if at < 0 {
			continue
		}
		re.engines[at].Running++
		re.engines[at].Load++
		work[wi.Index].engine, work[wi.Index].started = at, now
		if re.engines[at].Distance == fleet.OtherRegion {
			work[wi.Index].left += float64(re.beyond) / float64(pace)
		}
	}
}

// seen is what the decision knows of the engines.
func (re replay) seen() []place.Engine {
	if !re.noRegion {
		return re.engines
	}
	blind := slices.Clone(re.engines)
	for at := range blind {
		blind[at].Distance = fleet.SameRegion
	}
	return blind
}

func groups(work []*sim) (at time.Duration, whole int) {
	for from := 0; from < len(work); from += 4 {
		var latest time.Duration
		done := !slices.ContainsFunc(work[from:from+4], func(it *sim) bool {
			latest = max(latest, it.done)
			return it.done == 0
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

// mean is the mean time of a step over many seeds.
func mean(re replay, count int) time.Duration {
	var sum time.Duration
	const seeds = 60
	for seed := range uint64(seeds) {
		re.engines = engines(count)
		sum += re.run(seed)
	}
	return sum / seeds
}

// Without leaving, a step lasts as long as the long items on the slow engine.
func TestReplaySlowEngine(t *testing.T) {
	slow := replay{slowFrom: time.Second, slowBy: 3.5}
	stay := slow
	stay.noLeave = true
	with, without, calm := mean(slow, 6), mean(stay, 6), mean(replay{}, 6)
	t.Logf("calm %v, leaving %v, staying %v", calm, with, without)
	// The same bound holds with the decision and does not hold without it.
	require.Less(t, with, calm*115/100)
	require.Greater(t, without, calm*115/100)
}

// An engine that falls dark holds a step for no longer than the stall.
func TestReplayDarkEngine(t *testing.T) {
	dark := replay{slowFrom: time.Second, slowBy: 1e9}
	with, calm := mean(dark, 6), mean(replay{}, 6)
	t.Logf("calm %v, dark %v", calm, with)
	require.Less(t, with, calm+2*place.Stall)
}

// With fewer slots than items, the long items go first.
func TestReplayOrder(t *testing.T) {
	with, without := mean(replay{}, 3), mean(replay{noOrder: true}, 3)
	t.Logf("ordered %v, as they came %v", with, without)
	require.Less(t, with, without*95/100)
}

// The load pattern: half of the engines stand beyond a link between regions,
// which a run pays for at its start. The long items stay in the region.
func TestReplayRegions(t *testing.T) {
	run := func(off bool) (sum time.Duration) {
		const seeds = 60
		for seed := range uint64(seeds) {
			re := replay{engines: engines(8), beyond: link, noRegion: off}
			for at := range re.engines {
				re.engines[at].Distance = fleet.Distance(1 + at%2)
			}
			sum += re.run(seed)
		}
		return sum / seeds
	}
	with, without := run(false), run(true)
	t.Logf("in the region %v, anywhere %v", with, without)
	require.Less(t, with, without-link/4, "a good part of the link's time is saved")
}

// link is what a run beyond the link was seen to lose: tnc-rollout-grown,
// quiet-1, 740 runs.
const link = 85 * time.Millisecond

package guard

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"bilberryshelf/core"
	"bilberryshelf/engine"
	"bilberryshelf/loan"
	"bilberryshelf/weight"
	"bilberryshelf/wire"
)

// versions is what the guard knows of the weights on the target: the version
// last read back, and the one that an order in progress may bring.
type versions struct {
	current uint64
	coming  uint64
}

// labels starts the labels of a sample with what may produce tokens now.
func (ve *versions) labels() *labels {
	la := &labels{}
	la.open(ve.current)
	if ve.coming != 0 {
		la.open(ve.coming)
	}
	return la
}

// segments returns what the engine reported if all of it is certain. An empty
// list means that the versions are in doubt.
func (gu *Guard) segments(ru *run, reported []*wire.Segment, ended bool) []*wire.Segment {
	if !ended {
		return nil
	}
	if !ru.labels.sure() {
		gu.meters.Count("versions-in-doubt", "", 1)
		return nil
	}
	return reported
}

// eachSample calls for every sample in progress. It runs on the loop.
func (gu *Guard) eachSample(call func(la *labels)) {
	for _, ru := range gu.running {
		if ru.labels != nil {
			call(ru.labels)
		}
	}
}

// expect allows a version that an order may bring from now on. It runs on the
// loop.
func (gu *Guard) expect(version uint64) {
	gu.loaded.coming = version
	late := gu.settings.Engine.LateReports
	gu.eachSample(func(la *labels) {
		la.open(version)
		if late {
			la.suspect()
		}
	})
}

// readBack takes in what the target says it generates with. It runs on the
// loop.
func (gu *Guard) readBack(version uint64) {
	former := gu.loaded.current
	if version == former {
		return
	}
	now := gu.clock.Now()
	gu.loaded.current = version
	gu.eachSample(func(la *labels) {
		la.retire(former, now)
		la.open(version)
	})
}

// rolloutTick is the time between two looks for a new version.
const rolloutTick = 100 * time.Millisecond

// rollout loads new weights, at the start that the pace gives this target.
func (gu *Guard) rollout(ctx context.Context) {
	failures := 0
	var notBefore time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-gu.clock.After(rolloutTick):
		}
		ve, start, wanted := gu.wanted()
		now := gu.clock.Now()
		if !wanted || now.Before(start) || now.Before(notBefore) {
			continue
		}
		if gu.load(ctx, ve) {
			failures = 0
			continue
		}
		failures++
		notBefore = gu.clock.Now().Add(weight.Backoff(failures, rand.Float64()))
	}
}

// wanted is the version to load and when this target's turn comes.
func (gu *Guard) wanted() (ve loan.Version, start time.Time, wanted bool) {
	gu.loop.Do(func() {
		ve = gu.slice.Version
		wanted = gu.targetUp && ve.Number > gu.loaded.current
		pace := weight.Pace{
			Rate: gu.settings.Limits.LoadRate, Share: gu.settings.Limits.LoadShare,
			LoadTime: gu.settings.Timing.LongestOrder.Std() / expectedPart, Count: gu.slice.Count,
		}
		start = pace.Start(ve.Announced, max(gu.slice.Rank, 0))
	})
	return ve, start, wanted
}

// expectedPart is how much shorter an ordinary load is than the longest one.
const expectedPart = 20

// load orders one version and reads back what the target then has. It reports
// whether the target has the version.
func (gu *Guard) load(ctx context.Context, ve loan.Version) bool {
	var (
		fence uint64
		er    *core.Error
	)
	gu.loop.Do(func() {
		if fence, er = gu.orders.Next(gu.clock.Now()); er == nil {
			gu.expect(ve.Number)
		}
	})
	if er != nil {
		return false
	}
	began := gu.clock.Now()
	octx, cancel := context.WithTimeout(ctx, gu.settings.Timing.LongestOrder.Std())
	err := gu.target.Load(octx, engine.Order{Version: ve.Number, Object: ve.Object, Fence: fence})
	cancel()
	he, readErr := gu.askHealth(ctx)
	loaded := false
	gu.loop.Do(func() {
		gu.orders.Done()
		if readErr != nil {
			return
		}
		gu.readBack(he.Version)
		if loaded = he.Version == ve.Number; loaded {
			gu.loaded.coming = 0
		}
	})
	gu.meters.Observe("weight-load", gu.settings.Service, gu.clock.Now().Sub(began))
	if !loaded {
		gu.meters.Count("weight-load-failed", reason(err), 1)
		level.Warn(gu.logger).Log("event", "weights-not-loaded", "version", ve.Number, "has", he.Version, "err", err)
		return false
	}
	level.Info(gu.logger).Log("event", "weights-loaded", "version", ve.Number, "fence", fence)
	return true
}

func reason(err error) string {
	switch {
	case errors.Is(err, engine.ErrStoreBusy):
		return "store-busy"
	case errors.Is(err, engine.ErrOldFence):
		return "old-fence"
	default:
		return "failed"
	}
}

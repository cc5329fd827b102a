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

// versions holds the weight versions of the target: the version that its health last
// reported, and the version of an order that may still take effect, or 0.
type versions struct {
	current uint64
	pending uint64
}

// versionCheck returns a check for a new sample that allows the versions that may
// produce tokens now. lateReports is set if the engine reports versions late: then a
// sample that begins during an order is in doubt like those in progress at its start.
func (ve *versions) versionCheck(lateReports bool) *versionCheck {
	vc := &versionCheck{}
	vc.allow(ve.current)
	if ve.pending != 0 {
		vc.allow(ve.pending)
		if lateReports {
			vc.markInDoubt()
		}
	}
	return vc
}

// segments returns the segments that the engine reported if the stream ended and all
// versions are certain. An empty list means that the versions are in doubt.
func (gu *Guard) segments(ru *run, reported []*wire.Segment, ended bool) []*wire.Segment {
	if !ended {
		return nil
	}
	if !ru.check.certain() {
		gu.meters.Count("versions-in-doubt", "", 1)
		return nil
	}
	return reported
}

// eachSample calls a function with the check of every sample in flight. It runs on the
// loop.
func (gu *Guard) eachSample(call func(vc *versionCheck)) {
	for _, ru := range gu.running {
		if ru.check != nil {
			call(ru.check)
		}
	}
}

// allowPending allows the version of an order that starts now. It runs on the loop.
func (gu *Guard) allowPending(version uint64) {
	gu.versions.pending = version
	late := gu.settings.Engine.LateReports
	gu.eachSample(func(vc *versionCheck) {
		vc.allow(version)
		if late {
			vc.markInDoubt()
		}
	})
}

// setCurrent updates the version that the target reports in its health. It runs on the
// loop.
func (gu *Guard) setCurrent(version uint64) {
	previous := gu.versions.current
	if version == previous {
		return
	}
	now := gu.clock.Now()
	gu.versions.current = version
	gu.eachSample(func(vc *versionCheck) {
		vc.retire(previous, now)
		vc.allow(version)
	})
}

// loadCheckInterval is the time between two checks for a new version.
const loadCheckInterval = 100 * time.Millisecond

// loadWeights loads new weights at the time that the pace schedules for this target. It
// retries a failed load with a backoff.
func (gu *Guard) loadWeights(ctx context.Context) {
	failures := 0
	var notBefore time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-gu.clock.After(loadCheckInterval):
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

// wanted returns the announced version, when this target may start to load it, and
// whether it still has to.
func (gu *Guard) wanted() (ve loan.Version, start time.Time, wanted bool) {
	gu.loop.Do(func() {
		ve = gu.slice.Version
		wanted = gu.targetUp && ve.Number > gu.versions.current
		pace := weight.Pace{
			Rate: gu.settings.Limits.LoadRate, Share: gu.settings.Limits.LoadShare,
			LoadTime: gu.settings.Timing.LongestOrder.Std() / typicalLoadDivisor, Count: gu.slice.Count,
		}
		start = pace.Start(ve.Announced, max(gu.slice.Rank, 0))
	})
	return ve, start, wanted
}

// typicalLoadDivisor is LongestOrder divided by the duration of a typical load.
const typicalLoadDivisor = 20

// load orders one version, then queries the health of the target. It reports whether the
// target has the version.
func (gu *Guard) load(ctx context.Context, ve loan.Version) bool {
	var (
		fence uint64
		er    *core.Error
	)
	gu.loop.Do(func() {
		if fence, er = gu.orders.Next(gu.clock.Now()); er == nil {
			gu.allowPending(ve.Number)
		}
	})
	if er != nil {
		return false
	}
	startedAt := gu.clock.Now()
	octx, cancel := context.WithTimeout(ctx, gu.settings.Timing.LongestOrder.Std())
	err := gu.target.Load(octx, engine.Order{Version: ve.Number, Object: ve.Object, Fence: fence})
	cancel()
	he, readErr := gu.queryHealth(ctx)
	loaded := false
	gu.loop.Do(func() {
		gu.orders.Done()
		if readErr != nil {
			return
		}
		gu.setCurrent(he.Version)
		if loaded = he.Version == ve.Number; loaded {
			gu.versions.pending = 0
		}
	})
	gu.meters.Observe("weight-load", gu.settings.Service, gu.clock.Now().Sub(startedAt))
	if !loaded {
		gu.meters.Count("weight-load-failed", reason(err), 1)
		level.Warn(gu.logger).Log("event", "weights-not-loaded", "version", ve.Number, "has", he.Version, "err", err)
		return false
	}
	level.Info(gu.logger).Log("event", "weights-loaded", "version", ve.Number, "fence", fence)
	return true
}

// reason returns the label of a failed load in the metrics.
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

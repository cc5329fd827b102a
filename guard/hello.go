package guard

import (
	"context"

	"github.com/go-kit/log/level"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/wire"
)

// Hello takes in the configuration that an entry brings and tells the state
// of the target.
func (gu *Guard) Hello(_ context.Context, req *wire.HelloRequest) (*wire.HelloResponse, error) {
	if len(req.Slice) > 0 {
		gu.adopt(req.Slice)
	}
	res := &wire.HelloResponse{}
	gu.loop.Do(func() {
		if !req.StateOnly {
			gu.contact = gu.clock.Now()
			gu.greeters.greet(req.Entry, gu.contact, gu.phase)
		}
		for _, key := range req.Released {
			gu.table.DropAnswer(key)
		}
		gu.describe(res)
	})
	return res, nil
}

func (gu *Guard) describe(res *wire.HelloResponse) {
	now := gu.clock.Now()
	res.Target, res.Service = gu.settings.Target, gu.settings.Service
	res.Incarnation = gu.table.Incarnation
	res.GuardTimeNanos = now.UnixNano()
	res.State = string(gu.present())
	res.Revision, res.Generation = gu.slice.Revision, gu.slice.Generation
	res.InFlight, res.Capacity = int32(len(gu.running)), int32(gu.settings.Limits.Capacity)
	res.Version = gu.loaded.current
	res.RefillNanos = int64(gu.refill(now))
	for _, de := range gu.deaths {
		res.Deaths = append(res.Deaths, de.wire())
	}
}

// present is the state that the guard tells: without a configuration it is
// starting, without a target it is down.
func (gu *Guard) present() core.State {
	switch {
	case gu.phase == core.Draining:
		return core.Draining
	case !gu.targetUp:
		return core.Down
	case !gu.hasSlice:
		return core.Starting
	default:
		return core.Serving
	}
}

// adopt takes a configuration if its generation is higher than the present
// one. An older one is never taken, whoever brings it.
func (gu *Guard) adopt(raw []byte) {
	sl, err := loan.DecodeSlice(raw)
	if err != nil || sl.Target != gu.settings.Target {
		level.Warn(gu.logger).Log("event", "slice-refused", "for", sl.Target, "err", err)
		return
	}
	gu.loop.Do(func() {
		if gu.hasSlice && sl.Generation <= gu.slice.Generation {
			return
		}
		changed := !gu.hasSlice || sl.Revision != gu.slice.Revision
		gu.slice, gu.hasSlice = sl, true
		if changed {
			level.Info(gu.logger).Log("event", "configuration", "generation", sl.Generation, "revision", sl.Revision, "loans", len(sl.Loans))
		}
	})
}

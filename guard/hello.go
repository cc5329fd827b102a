package guard

import (
	"context"

	"github.com/go-kit/log/level"

	"bilberryshelf/core"
	"bilberryshelf/loan"
	"bilberryshelf/wire"
)

// Hello handles the heartbeat of an entry. It adopts the configuration that the entry
// sends and returns the state of the target.
func (gu *Guard) Hello(_ context.Context, req *wire.HelloRequest) (*wire.HelloResponse, error) {
	if len(req.Slice) > 0 {
		gu.adopt(req.Slice)
	}
	res := &wire.HelloResponse{}
	gu.loop.Do(func() {
		if !req.StateOnly {
			gu.lastContact = gu.clock.Now()
			gu.entries.recordHello(req.Entry, gu.lastContact, gu.phase)
		}
		for _, key := range req.Released {
			gu.table.DropAnswer(key)
		}
		gu.fillHello(res)
	})
	return res, nil
}

func (gu *Guard) fillHello(res *wire.HelloResponse) {
	now := gu.clock.Now()
	res.Target, res.Service = gu.settings.Target, gu.settings.Service
	res.Incarnation = gu.table.Incarnation
	res.GuardTimeNanos = now.UnixNano()
	res.State = string(gu.reportedState())
	res.Revision, res.Generation = gu.slice.Revision, gu.slice.Generation
	res.InFlight, res.Capacity = int32(len(gu.running)), int32(gu.settings.Limits.Capacity)
	res.Version = gu.versions.current
	res.RefillNanos = int64(gu.retryAfter(now))
	for _, de := range gu.deaths {
		res.Deaths = append(res.Deaths, de.wire())
	}
}

// reportedState returns the state that the guard reports: Down while the target does not
// answer, Starting while the guard has no configuration.
func (gu *Guard) reportedState() core.State {
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

// adopt replaces the configuration if the new one is valid and has a higher generation.
// An older one is ignored, whichever entry sent it.
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

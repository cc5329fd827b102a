package guard

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	"bilberryshelf/core"
	"bilberryshelf/engine"
	"bilberryshelf/wire"
)

// death is one crash of the target.
type death struct {
	id      core.AttemptID
	digests []uint64
	alone   bool
	at      time.Time
}

func (de death) wire() *wire.Death {
	return &wire.Death{Id: de.id[:], Digests: de.digests, Alone: de.alone, AtNanos: de.at.UnixNano()}
}

const (
	// deathHold is how long a death is told to entries.
	deathHold = 30 * time.Second
	// mostDeaths bounds the deaths that are told.
	mostDeaths = 16
)

func (gu *Guard) dropDeaths(now time.Time) {
	kept := gu.deaths[:0]
	for _, de := range gu.deaths {
		if now.Sub(de.at) < deathHold {
			kept = append(kept, de)
		}
	}
	gu.deaths = kept
}

// explain finds out whether a lost request went down with the target. The
// first lost request takes the digests of all that ran with it, before any of
// them is finished; the others wait for its finding.
func (gu *Guard) explain(ctx context.Context, ru *run, er *core.Error) *core.Error {
	if ctx.Err() != nil {
		return er // the entry went away or the time is over: not the target's fault
	}
	var (
		mine    chan struct{}
		others  chan struct{}
		digests []uint64
		former  string
	)
	gu.loop.Do(func() {
		if gu.probing != nil {
			others = gu.probing
			return
		}
		mine = make(chan struct{})
		gu.probing = mine
		former = gu.health.Start
		for _, other := range gu.running {
			digests = append(digests, other.digest)
		}
	})
	if others != nil {
		<-others
		return er
	}
	defer close(mine)
	if !gu.died(ctx, former) {
		gu.loop.Do(func() { gu.probing = nil })
		return er
	}
	de := death{id: core.AttemptID(uuid.New()), digests: digests, alone: ru.alone && len(digests) == 1, at: gu.clock.Now()}
	gu.loop.Do(func() {
		gu.probing = nil
		gu.targetUp = false
		gu.deaths = append(gu.deaths, de)
		if len(gu.deaths) > mostDeaths {
			gu.deaths = gu.deaths[1:]
		}
	})
	gu.meters.Count("target-deaths", "", 1)
	level.Error(gu.logger).Log("event", "target-died", "in-flight", len(digests), "alone", de.alone)
	return er
}

// died asks the target itself: one that does not answer, or has another start
// than before, has died.
func (gu *Guard) died(ctx context.Context, former string) bool {
	he, err := gu.askHealth(ctx)
	return err != nil || he.Start != former
}

func (gu *Guard) askHealth(ctx context.Context) (engine.Health, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), gu.settings.Timing.HealthTimeout.Std())
	defer cancel()
	return gu.target.Health(ctx)
}

// checkHealth keeps the target's state. A target that started anew holds none
// of the weights that it was ordered to load.
func (gu *Guard) checkHealth(ctx context.Context) {
	he, err := gu.askHealth(ctx)
	gu.loop.Do(func() {
		up := err == nil
		if up != gu.targetUp {
			level.Info(gu.logger).Log("event", "target", "up", up)
		}
		gu.targetUp = up
		if !up {
			return
		}
		gu.health = he
		gu.readBack(he.Version)
	})
}

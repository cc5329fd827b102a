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

// death describes one crash of the target. digests are those of the requests that ran
// at that time; alone is set if the only one of them had asked to run alone.
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
	// deathRetention is how long a death is reported to the entries.
	deathRetention = 30 * time.Second
	// maxDeaths bounds the deaths that are reported.
	maxDeaths = 16
)

func (gu *Guard) expireDeaths(now time.Time) {
	recent := gu.deaths[:0]
	for _, de := range gu.deaths {
		if now.Sub(de.at) < deathRetention {
			recent = append(recent, de)
		}
	}
	gu.deaths = recent
}

// detectDeath checks whether a request was lost because the target died, and records
// the death. Only the first lost request probes the target: it collects the digests of
// all requests in flight before any of them is finished. The others wait for the
// result of this probe. The error is returned unchanged.
func (gu *Guard) detectDeath(ctx context.Context, ru *run, er *core.Error) *core.Error {
	if ctx.Err() != nil {
		return er // the entry disconnected or the time limit was reached; not the target's fault
	}
	var (
		own           chan struct{}
		ongoing       chan struct{}
		digests       []uint64
		previousStart string
	)
	gu.loop.Do(func() {
		if gu.probe != nil {
			ongoing = gu.probe
			return
		}
		own = make(chan struct{})
		gu.probe = own
		previousStart = gu.health.StartID
		for _, other := range gu.running {
			if !other.sample { // exempt by rule 6 of poison
				digests = append(digests, other.digest)
			}
		}
	})
	if ongoing != nil {
		<-ongoing
		return er
	}
	defer close(own)
	if !gu.died(ctx, previousStart) {
		gu.loop.Do(func() { gu.probe = nil })
		return er
	}
	de := death{id: core.AttemptID(uuid.New()), digests: digests, alone: ru.alone && len(digests) == 1, at: gu.clock.Now()}
	gu.loop.Do(func() {
		gu.probe = nil
		gu.targetUp = false
		gu.deaths = append(gu.deaths, de)
		if len(gu.deaths) > maxDeaths {
			gu.deaths = gu.deaths[1:]
		}
	})
	gu.meters.Count("target-deaths", "", 1)
	level.Error(gu.logger).Log("event", "target-died", "in-flight", len(digests), "alone", de.alone)
	return er
}

// died queries the health of the target. It has died if it does not answer or reports
// another start than before.
func (gu *Guard) died(ctx context.Context, previousStart string) bool {
	he, err := gu.queryHealth(ctx)
	return err != nil || he.StartID != previousStart
}

func (gu *Guard) queryHealth(ctx context.Context) (engine.Health, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), gu.settings.Timing.HealthTimeout.Std())
	defer cancel()
	return gu.target.Health(ctx)
}

// checkHealth updates the state and the weight version of the target. The version may
// change without an order, because a restarted target has lost the weights that it had
// loaded.
func (gu *Guard) checkHealth(ctx context.Context) {
	he, err := gu.queryHealth(ctx)
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
		gu.setCurrent(he.Version)
	})
}

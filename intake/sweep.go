package intake

import (
	"context"
	"time"

	"bilberryshelf/logs"
)

// sweepInterval is the pause between sweeps.
const sweepInterval = 200 * time.Millisecond

// sweep periodically removes targets that did not return after an outage of the
// registry, adopts orphaned jobs, and deletes expired jobs, losses and origins of
// streams.
func (en *Entry) sweep(ctx context.Context) {
	cleanedAt := en.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-en.clock.After(sweepInterval):
		}
		en.freshness.Tick()
		en.mutex.Lock()
		removed := en.fleet.Sweep(en.clock.Now())
		en.mutex.Unlock()
		if len(removed) > 0 {
			logs.Info(en.logger, "targets removed after the registry outage", "count", len(removed))
			en.publishTargets()
		}
		en.rates.Sweep(en.clock.Now())
		en.permitIssuer.Sweep(en.clock.Now())
		en.sweepIssuers()
		heads := en.index.All()
		en.adoptOrphans(ctx, heads)
		en.deleteExpiredJob(ctx, heads)
		en.deleteExpiredLosses(ctx)
		if now := en.clock.Now(); now.Sub(cleanedAt) >= cleanInterval {
			en.cleanOrigins(ctx)
			cleanedAt = now
		}
	}
}

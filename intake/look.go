package intake

import (
	"context"
	"time"

	"bilberryshelf/logs"
)

// sweepInterval is the pause between looks for orphans and lapsed targets.
const sweepInterval = 200 * time.Millisecond

// sweep finds jobs without an owner and targets that did not come back.
func (en *Entry) sweep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-en.clock.After(sweepInterval):
		}
		en.mutex.Lock()
		gone := en.fleet.Sweep(en.clock.Now())
		en.mutex.Unlock()
		if len(gone) > 0 {
			logs.Info(en.logger, "targets did not come back", "count", len(gone))
			en.publishTargets()
		}
		heads := en.index.All()
		en.adoptOrphans(ctx, heads)
		en.deleteExpiredJob(ctx, heads)
		en.deleteLapsedLosses(ctx)
	}
}

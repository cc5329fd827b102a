package intake

import (
	"context"
	"time"

	"bilberryshelf/logs"
)

// lookEvery is the pause between looks for orphans and lapsed targets.
const lookEvery = 200 * time.Millisecond

// look finds jobs without an owner and targets that did not come back.
func (en *Entry) look(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-en.clock.After(lookEvery):
		}
		en.mutex.Lock()
		gone := en.fleet.Sweep(en.clock.Now())
		en.mutex.Unlock()
		if len(gone) > 0 {
			logs.Info(en.logger, "targets did not come back", "count", len(gone))
			en.publish()
		}
		heads := en.index.All()
		en.adoptOrphans(ctx, heads)
		en.forgetOld(ctx, heads)
		en.forgetLosses(ctx)
	}
}

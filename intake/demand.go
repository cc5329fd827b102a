package intake

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"bilberryshelf/logs"
	"bilberryshelf/order"
	"bilberryshelf/table"
)

// demandPoll is the time between two checks whether the demand of this entry's jobs has to be
// reported.
const demandPoll = 200 * time.Millisecond

// reportDemand writes the demand of this entry's jobs while a model is short of engines: when
// it changes, and each order.DemandInterval to renew it.
func (en *Entry) reportDemand(ctx context.Context) {
	var (
		written   []order.Demand
		writtenAt time.Time
		failedAt  time.Time
		renewal   uint64
	)
	for ctx.Err() == nil {
		demands := en.owner.ReportedDemand()
		now := en.clock.Now()
		due := now.Sub(writtenAt) >= order.DemandInterval
		switch {
		case len(demands) == 0 && (!en.demandStored.Load() || now.Sub(failedAt) < order.DemandInterval):
		case len(demands) == 0:
			err := en.write(ctx, table.Tx{Drops: []table.ID{order.DemandID(en.settings.Node)}})
			if err != nil {
				failedAt = now
			}
			logs.Info(en.logger, "demand withdrawn", "err", err)
			en.demandStored.Store(err != nil)
			written = nil
		case due || !slices.Equal(demands, written):
			renewal++
			if err := en.writeDemand(ctx, order.Row{Demands: demands, Renewal: renewal}); err != nil {
				logs.Warn(en.logger, "demand not reported", "models", len(demands), "err", err)
			} else if !slices.Equal(demands, written) {
				logs.Info(en.logger, "demand reported", "demands", demands)
			}
			written, writtenAt = demands, now
			en.demandStored.Store(true) // also if it is not known
		}
		select {
		case <-ctx.Done():
		case <-en.clock.After(demandPoll):
		}
	}
}

func (en *Entry) writeDemand(ctx context.Context, re order.Row) error {
	raw, err := re.Encode()
	if err != nil {
		return errors.Wrap(err, "encode the demand of an entry")
	}
	return en.write(ctx, table.Tx{Puts: []table.Put{{ID: order.DemandID(en.settings.Node), Value: raw}}})
}

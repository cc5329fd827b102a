package intake

import (
	"context"
	"fmt"
	"slices"
	"time"

	"bilberryshelf/logs"
	"bilberryshelf/order"
	"bilberryshelf/table"
)

// demandPoll is the time between two checks whether the demand of this entry's jobs has to be
// reported.
const demandPoll = 200 * time.Millisecond

// reportDemand writes the demand of this entry's jobs while a model is short of engines.
func (en *Entry) reportDemand(ctx context.Context) {
	re := demandReport{entry: en}
	for ctx.Err() == nil {
		re.update(ctx, en.owner.ReportedDemand())
		select {
		case <-ctx.Done():
		case <-en.clock.After(demandPoll):
		}
	}
}

// demandReport is the row with the demand of an entry's jobs.
type demandReport struct {
	entry *Entry
	// demands were last written at writtenAt.
	demands   []order.Demand
	writtenAt time.Time
	renewals  uint64
}

// update writes the row when the demand changes, and each order.DemandInterval to renew it. It
// deletes the row when there is no demand any more.
func (dr *demandReport) update(ctx context.Context, demands []order.Demand) {
	en, now := dr.entry, dr.entry.clock.Now()
	changed, due := !slices.Equal(demands, dr.demands), now.Sub(dr.writtenAt) >= order.DemandInterval
	if (!changed && !due) || (len(demands) == 0 && !en.demandStored.Load()) {
		return
	}
	if changed {
		logs.Info(en.logger, "demand changed", "demands", fmt.Sprintf("%+v", demands))
	}
	dr.demands, dr.writtenAt = demands, now
	if err := dr.write(ctx); err != nil {
		logs.Warn(en.logger, "demand not reported", "models", len(demands), "err", err)
	}
}

func (dr *demandReport) write(ctx context.Context) error {
	en, id := dr.entry, order.DemandID(dr.entry.settings.Node)
	if len(dr.demands) == 0 {
		err := en.write(ctx, table.Tx{Drops: []table.ID{id}})
		en.demandStored.Store(err != nil)
		return err
	}
	dr.renewals++
	raw, err := order.Row{Demands: dr.demands, Renewal: dr.renewals}.Encode()
	if err != nil {
		return err
	}
	en.demandStored.Store(true) // also if the outcome of the write is not known
	return en.write(ctx, table.Tx{Puts: []table.Put{{ID: id, Value: raw}}})
}
